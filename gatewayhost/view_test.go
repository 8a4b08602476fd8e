package gatewayhost

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/store"
)

// What the store does with the calls of one host.
const (
	storeServes = iota
	storeRefuses
	storeSilent
)

// partialStore serves some hosts and not others.
type partialStore struct {
	checkedStore
	mode  atomic.Int32
	reads *atomic.Int64 // calls of all hosts, other than checks
}

func (s *partialStore) turn(mode int32) { s.mode.Store(mode) }

// admit returns an error if the store does not serve the call, after ctx has ended if it
// is silent.
func (s *partialStore) admit(ctx context.Context) error {
	switch s.mode.Load() {
	case storeRefuses:
		return store.ErrUnavailable
	case storeSilent:
		<-ctx.Done()
		return store.ErrUnavailable
	}
	return nil
}

func (s *partialStore) Check(ctx context.Context) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	return s.checkedStore.Check(ctx)
}

func (s *partialStore) List(ctx context.Context, kind string) ([]store.Object, store.Version, error) {
	s.reads.Add(1)
	if err := s.admit(ctx); err != nil {
		return nil, 0, err
	}
	return s.checkedStore.List(ctx, kind)
}

// Watch ends when the store stops to serve its host.
func (s *partialStore) Watch(ctx context.Context, kind string, after store.Version) ([]store.Object, store.Version, error) {
	s.reads.Add(1)
	if err := s.admit(ctx); err != nil {
		return nil, 0, err
	}
	objects, revision, err := s.checkedStore.Watch(ctx, kind, after)
	if refused := s.admit(ctx); refused != nil {
		return nil, 0, refused
	}
	return objects, revision, err
}

func (s *partialStore) Changes(ctx context.Context, kind string, after store.Version) ([]store.Object, store.Version, error) {
	s.reads.Add(1)
	if err := s.admit(ctx); err != nil {
		return nil, 0, err
	}
	return s.checkedStore.Changes(ctx, kind, after)
}

// viewFleet is a fleet of hosts in several failure domains.
type viewFleet struct {
	memory *store.Memory
	fabric *network.Fabric
	hosts  []*Host
	stores []*partialStore
	reads  atomic.Int64
}

func ipOfHost(i int) string { return fmt.Sprintf("10.0.%d.%d", i/200, i%200+1) }

// startViewFleet starts hosts, and stores a server and a configuration.
func startViewFleet(ctx context.Context, is *is.I, count, domains int) *viewFleet {
	f := &viewFleet{memory: store.NewMemory(), fabric: network.New(network.Options{})}
	f.memory.Set(kindOfServers, "i-1", []byte("ready"))
	f.memory.Set(kindOfConfiguration, "main", []byte{1})
	seeds := []string{ipOfHost(0) + peerPort, ipOfHost(count/2) + peerPort, ipOfHost(count-1) + peerPort}
	for i := range count {
		through := &partialStore{checkedStore: checkedStore{f.memory}, reads: &f.reads}
		h := New(Options{
			Name: fmt.Sprintf("h%03d", i), Domain: fmt.Sprintf("d%d", i%domains), Capacity: 400, PeerAddress: ipOfHost(i) + peerPort, CallerAddress: ipOfHost(i) + ":8000",
			Seeds: seeds, Network: f.fabric.Host(ipOfHost(i)), Store: through, Objects: objects(),
			NewBackend:  func(link.Network) Backend { return servers{queryLeaving: notLeaving} },
			RepeatRatio: 0.2, RepeatAllowance: 54, RepeatWindow: 10 * time.Second, StopGrace: 8 * time.Second,
			Logger: zap.NewNop(), Registerer: prometheus.NewRegistry(),
		})
		h.booting.Store(true)
		f.hosts, f.stores = append(f.hosts, h), append(f.stores, through)
		for _, run := range []func(context.Context) error{h.runNode, h.boot, h.servers.Run, h.configuration.Run, h.evacuations.Run, h.watch.Run, h.views.Run, h.decideRemovals} {
			go func() { _ = run(ctx) }()
		}
	}
	return f
}

// end stops all hosts.
func (f *viewFleet) end(stop func()) {
	stop()
	time.Sleep(time.Minute) // lets connection timers expire
	f.fabric.HealAll()
	for i := range f.hosts {
		f.fabric.Kill(ipOfHost(i))
	}
	synctest.Wait()
}

// watching returns the indexes of the hosts that watch the store.
func (f *viewFleet) watching() (watching []int) {
	for i, h := range f.hosts {
		if h.watch.Watches() {
			watching = append(watching, i)
		}
	}
	return watching
}

// others returns the indexes of the hosts that are not among the given ones.
func (f *viewFleet) others(than []int) (others []int) {
	for i := range f.hosts {
		if !slices.Contains(than, i) {
			others = append(others, i)
		}
	}
	return others
}

// lateness waits until some hosts have what has reports, and returns the time that the last one took.
func (f *viewFleet) lateness(hosts []int, has func(*Host) bool) time.Duration {
	began := time.Now()
	for time.Since(began) < 10*time.Second && slices.ContainsFunc(hosts, func(i int) bool { return !has(f.hosts[i]) }) {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// change is a change at the store, and whether a host has it.
type change struct {
	name string
	make func(memory *store.Memory)
	has  func(h *Host) bool
}

func changes() []change {
	usable := func(h *Host) bool { return len(h.fleet.Usable("s")) > 0 }
	return []change{
		{"configuration", func(m *store.Memory) { m.Set(kindOfConfiguration, "main", []byte{2}) }, func(h *Host) bool {
			return h.gateway.Configuration().Version == 2
		}},
		{"server drains", func(m *store.Memory) { m.Set(kindOfServers, "i-1", []byte("leaving")) }, func(h *Host) bool { return !usable(h) }},
		{"server registers", func(m *store.Memory) { m.Set(kindOfServers, "i-2", []byte("ready")) }, usable},
		{"server is removed", func(m *store.Memory) { m.Remove(kindOfServers, "i-2") }, func(h *Host) bool { return !usable(h) }},
		{"another registers", func(m *store.Memory) { m.Set(kindOfServers, "i-3", []byte("ready")) }, usable},
		{"evacuation", func(m *store.Memory) { m.Set(kindOfEvacuations, "d", []byte("{}")) }, func(h *Host) bool {
			return len(h.fleet.Candidates("s", "d")) == 0
		}},
	}
}

// operatorBound is the time in which operators of small deployments want each change in force
// everywhere.
const operatorBound = 2 * time.Second

// checkChanges makes one change after the other, each a while after trouble befell the fleet, and
// checks that the hosts have it in time.
func (f *viewFleet) checkChanges(t *testing.T, is *is.I, hosts []int) {
	t.Helper()
	for _, c := range changes() {
		c.make(f.memory)
		late := f.lateness(hosts, c.has)
		t.Logf("%s: %v", c.name, late)
		is.True(late < operatorBound) // for the last host
	}
}

// troubles are what may befall hosts while the store serves the others.
var troubles = map[string]func(f *viewFleet, host int){
	"refused":    func(f *viewFleet, host int) { f.stores[host].turn(storeRefuses) },
	"not served": func(f *viewFleet, host int) { f.stores[host].turn(storeSilent) },
	"killed":     func(f *viewFleet, host int) { f.fabric.Kill(ipOfHost(host)) },
	"frozen":     func(f *viewFleet, host int) { f.fabric.Freeze(ipOfHost(host)) },
	"cut off": func(f *viewFleet, host int) {
		for other := range f.hosts {
			if other != host {
				f.fabric.Silence(ipOfHost(host), ipOfHost(other))
			}
		}
	},
	"not heard": func(f *viewFleet, host int) {
		for other := range f.hosts {
			if other != host {
				f.fabric.SilenceOneWay(ipOfHost(host), ipOfHost(other))
			}
		}
	},
}

// testTrouble plays a trouble of some hosts on a fleet, and the same for the hosts that come
// after them a second later.
func testTrouble(t *testing.T, count, domains int, trouble func(f *viewFleet, host int), more ...int) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		f := startViewFleet(ctx, is, count, domains)
		time.Sleep(6 * time.Second)
		affected := append(f.watching(), more...)
		for _, i := range affected {
			trouble(f, i)
		}
		c := changes()[0]
		c.make(f.memory)
		late := f.lateness(f.others(affected), c.has)
		t.Logf("%s: %v", c.name, late)
		is.True(late < operatorBound) // the last host, after the first change
		f.checkChanges(t, is, f.others(affected))
		f.end(stop)
	})
}

// Guards against hosts that miss changes while the store turns away, or something befalls,
// all hosts that watch it.
func TestChangesArriveWithoutTheWatchingHosts(t *testing.T) {
	for name, trouble := range troubles {
		for _, size := range []struct{ hosts, domains int }{{7, 3}, {30, 3}} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, size.hosts), func(t *testing.T) { testTrouble(t, size.hosts, size.domains, trouble) })
		}
	}
}

// Guards against the same in fleets whose hosts ask through relays.
func TestChangesArriveWithoutTheWatchingHostsOfLargeFleets(t *testing.T) {
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) { testTrouble(t, 120, 3, trouble) })
	}
}

// Guards against hosts that miss changes when trouble befalls those that would be asked next, at the
// same time and a second later.
func TestChangesArriveWithoutTheSuccessors(t *testing.T) {
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				f := startViewFleet(ctx, is, 30, 3)
				time.Sleep(6 * time.Second)
				sources := domain.ViewSources(f.hosts[0].Members(), f.hosts[0].Self()).Readers
				var affected []int
				for _, wave := range [][]string{sources[:3], sources[3:5]} { // the firsts of two domains with the next one
					for _, name := range wave {
						i := slices.IndexFunc(f.hosts, func(h *Host) bool { return h.options.Name == name })
						trouble(f, i)
						affected = append(affected, i)
					}
					f.memory.Set(kindOfConfiguration, "main", []byte{byte(len(affected))})
					late := f.lateness(f.others(affected), func(h *Host) bool { return h.gateway.Configuration().Version == uint64(len(affected)) })
					t.Log(late)
					is.True(late < operatorBound)
					time.Sleep(time.Second - late%time.Second)
				}
				f.checkChanges(t, is, f.others(affected))
				f.end(stop)
			})
		})
	}
}

// Guards against hosts that miss changes because all relays of their domain have failed.
func TestChangesArriveWithoutTheRelays(t *testing.T) {
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				f := startViewFleet(ctx, is, 60, 3)
				time.Sleep(6 * time.Second)
				var affected []int
				for i, h := range f.hosts {
					if h.options.Domain == "d0" && domain.ViewSources(h.Members(), h.Self()).Role != domain.NoSource {
						affected = append(affected, i)
					}
				}
				is.True(len(affected) > 2)
				for _, i := range affected {
					trouble(f, i)
				}
				f.memory.Set(kindOfConfiguration, "main", []byte{3})
				late := f.lateness(f.others(affected), func(h *Host) bool { return h.gateway.Configuration().Version == 3 })
				t.Log(late)
				is.True(late < operatorBound)
				f.checkChanges(t, is, f.others(affected))
				f.end(stop)
			})
		})
	}
}
