package configuration

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/store"
)

// propagation is the state machine of configuration that propagates from the
// store to hosts and between hosts, with delayed and reordered answers.
type propagation struct {
	store    *store.Memory
	tables   []*Table
	served   []map[string]store.Version // by table: highest served version of each service
	inFlight []func(*Table)             // answers in flight
	counts   map[string]int             // number of runs of each action
}

const (
	fuzzTables   = 4
	fuzzServices = 3
)

func TestFuzzSpread(t *testing.T) {
	// Guards against hosts that go back to an older version, or do not converge
	// to the store's, after stale answers, replaced hosts and removals.
	reached := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := &propagation{store: store.NewMemory(), counts: reached}
		for range fuzzTables {
			s.tables = append(s.tables, NewTable(parseTest))
			s.served = append(s.served, map[string]store.Version{})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"write":   s.write,
			"remove":  s.remove,
			"list":    s.list,
			"watch":   s.watch,
			"pull":    s.pull,
			"deliver": s.deliver,
			"replace": s.replace,
			"":        s.check,
		})
		s.settle(rt)
	})
	for _, key := range slices.Sorted(maps.Keys(reached)) {
		t.Logf("reached %-10s %d", key, reached[key])
	}
}

func (s *propagation) count(action string) context.Context {
	s.counts[action]++
	return context.Background()
}

func (s *propagation) current(service string) store.Version {
	object, err := s.store.Get(context.Background(), Kind, ServiceName(service))
	if err != nil {
		return 0
	}
	return object.Version
}

func service(t *rapid.T) string {
	return fmt.Sprintf("s%d", rapid.IntRange(0, fuzzServices-1).Draw(t, "service"))
}

func (s *propagation) table(t *rapid.T) int { return rapid.IntRange(0, fuzzTables-1).Draw(t, "table") }

func (s *propagation) write(t *rapid.T) {
	name := service(t)
	text := name + " x"
	if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
		text = "unreadable"
	}
	value, err := Envelope{Document: text}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.store.Put(s.count("write"), Kind, ServiceName(name), value, s.current(name)); err != nil {
		t.Fatal(err)
	}
}

func (s *propagation) remove(t *rapid.T) {
	name := service(t)
	if version := s.current(name); version != 0 {
		if _, err := s.store.Delete(s.count("remove"), Kind, ServiceName(name), version); err != nil {
			t.Fatal(err)
		}
	}
}

func (s *propagation) list(*rapid.T) {
	objects, revision, err := s.store.List(s.count("list"), Kind)
	if err == nil {
		s.inFlight = append(s.inFlight, func(table *Table) { table.AdoptList(Kind, objects, revision) })
	}
}

func (s *propagation) watch(t *rapid.T) {
	after := s.tables[s.table(t)].Version()
	ctx, cancel := context.WithCancel(s.count("watch"))
	cancel() // returns available changes without waiting
	objects, _, err := s.store.Watch(ctx, Kind, after)
	if err == nil {
		s.inFlight = append(s.inFlight, func(table *Table) { table.Adopt(objects) })
	}
}

// pull requests objects from one host; the answer is in flight.
func (s *propagation) pull(t *rapid.T) {
	s.count("pull")
	objects := s.tables[s.table(t)].Since(store.Version(rapid.IntRange(0, 5).Draw(t, "after")))
	s.inFlight = append(s.inFlight, func(table *Table) { table.Adopt(objects) })
}

// deliver delivers any answer in flight, possibly a second time, to any host.
func (s *propagation) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return // nothing in flight
	}
	s.count("deliver")
	s.inFlight[rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "answer")](s.tables[s.table(t)])
}

func (s *propagation) replace(t *rapid.T) {
	s.count("replace")
	i := s.table(t)
	s.tables[i], s.served[i] = NewTable(parseTest), map[string]store.Version{}
}

// check fails if a host serves an older version of a service than it has served
// before. It runs after each action.
func (s *propagation) check(t *rapid.T) {
	for i, table := range s.tables {
		for _, document := range table.Documents() {
			_, version, _ := table.Document(document.Service)
			if version < s.served[i][document.Service] {
				t.Fatalf("host %d serves %s at %d after %d", i, document.Service, version, s.served[i][document.Service])
			}
			s.served[i][document.Service] = version
		}
	}
}

// settle makes one host list, lets all hosts pull from each other repeatedly,
// and compares them with the store.
func (s *propagation) settle(t *rapid.T) {
	ctx := context.Background()
	objects, revision, err := s.store.List(ctx, Kind)
	if err != nil {
		t.Fatal(err)
	}
	s.tables[0].AdoptList(Kind, objects, revision)
	for range 2 * fuzzTables {
		for i, table := range s.tables {
			table.Adopt(s.tables[(i+1)%fuzzTables].Since(0))
		}
	}
	for i, table := range s.tables {
		if table.Digest() != s.tables[0].Digest() {
			t.Fatalf("digest of host %d differs", i)
		}
		for n := range fuzzServices {
			name := fmt.Sprintf("s%d", n)
			if _, version, ok := table.Source(name); ok != (s.current(name) != 0) || version != s.current(name) {
				t.Fatalf("host %d has %s at %d, the store at %d", i, name, version, s.current(name))
			}
		}
	}
	s.check(t)
}
