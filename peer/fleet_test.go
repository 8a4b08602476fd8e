package peer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

const testPort = "7946"

// tableFake is a ConfigurationTable that keeps the newest version of each
// object and counts objects offered in an older version.
type tableFake struct {
	mu      sync.Mutex // guards all below
	objects map[string]store.Object
	older   int // objects offered in an older version than the stored one
}

func newTableFake() *tableFake { return &tableFake{objects: make(map[string]store.Object)} }

func (t *tableFake) Version() (v store.Version) {
	for _, o := range t.Since(0) {
		v = max(v, o.Version)
	}
	return v
}

func (t *tableFake) Digest() (digest uint64) {
	for _, o := range t.Since(0) {
		digest ^= xxhash.Sum64String(fmt.Sprint(o.Kind, o.Name, o.Version))
	}
	return digest
}

func (t *tableFake) Since(after store.Version) (list []store.Object) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.objects {
		if o.Version > after {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b store.Object) int { return cmp.Compare(a.Version, b.Version) })
	return list
}

func (t *tableFake) Adopt(list []store.Object) (count int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range list {
		held := t.objects[o.Kind+"/"+o.Name]
		if o.Version < held.Version {
			t.older++
		}
		if o.Version > held.Version {
			t.objects[o.Kind+"/"+o.Name] = o
			count++
		}
	}
	return count, nil
}

func (t *tableFake) put(name string, version store.Version) {
	_, _ = t.Adopt([]store.Object{{Kind: "service", Name: name, Version: version, Value: []byte(name)}})
}

// String lists the objects as name@version.
func (t *tableFake) String() string {
	var parts []string
	for _, o := range t.Since(0) {
		parts = append(parts, fmt.Sprintf("%s@%d", o.Name, o.Version))
	}
	return strings.Join(parts, " ")
}

type handlerFake struct {
	mu      sync.Mutex // guards records
	records []*peerpb.Record
}

func (h *handlerFake) Forward(_ context.Context, r *peerpb.ForwardRequest) *peerpb.ForwardResponse {
	return &peerpb.ForwardResponse{Status: 200, Body: r.Body}
}

func (h *handlerFake) HandOver(_ context.Context, r *peerpb.HandOverRequest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r.Records...)
	return nil
}

// testFleet runs nodes in one synctest bubble. The first letter of a host's name
// is its failure domain.
type testFleet struct {
	t      testing.TB
	fabric *network.Fabric
	seeds  []string // peer addresses
	ips    map[string]string
	hosts  map[string]*fleetHost
}

type fleetHost struct {
	*Node
	table  *tableFake
	cancel context.CancelFunc
	done   chan error
}

func newFleet(t testing.TB, seeds ...string) *testFleet {
	f := &testFleet{t: t, fabric: network.New(network.Options{}), ips: make(map[string]string), hosts: make(map[string]*fleetHost)}
	for _, seed := range seeds {
		f.seeds = append(f.seeds, f.address(seed))
	}
	return f
}

// ip returns the IP address of a host; each host name has its own.
func (f *testFleet) ip(host string) string {
	if f.ips[host] == "" {
		f.ips[host] = fmt.Sprintf("10.0.0.%d", len(f.ips)+1)
	}
	return f.ips[host]
}

func (f *testFleet) address(host string) string { return f.ip(host) + ":" + testPort }

func (f *testFleet) start(hosts ...string) {
	for _, host := range hosts {
		ctx, cancel := context.WithCancel(context.Background())
		table := newTableFake()
		h := &fleetHost{table: table, cancel: cancel, done: make(chan error, 1)}
		h.Node = New(Options{
			Self:          Member{Host: host, FailureDomain: host[:1], PeerAddress: f.address(host), CallerAddress: "http://" + host},
			Network:       f.fabric.Host(f.ip(host)),
			Seeds:         f.seeds,
			Configuration: table,
			Handler:       &handlerFake{},
		})
		f.hosts[host] = h
		go func() { h.done <- h.Run(ctx) }()
		time.Sleep(10 * time.Millisecond) // incarnations differ
	}
}

// end stops a host's node; after Leave it announces that it is gone.
func (f *testFleet) end(host string) {
	f.hosts[host].cancel()
	if err := <-f.hosts[host].done; err != nil {
		f.t.Errorf("%s: %v", host, err)
	}
	delete(f.hosts, host)
}

// kill stops a host without an announcement; its node fails on the closed
// listener.
func (f *testFleet) kill(host string) {
	f.fabric.Kill(f.ip(host))
	f.hosts[host].cancel()
	<-f.hosts[host].done
	delete(f.hosts, host)
}

func (f *testFleet) stop() {
	f.fabric.HealAll()
	for _, host := range f.names() {
		f.end(host)
	}
	time.Sleep(time.Minute) // lets the timers of connections expire
	synctest.Wait()
}

func (f *testFleet) names() []string {
	var names []string
	for host := range f.hosts {
		names = append(names, host)
	}
	slices.Sort(names)
	return names
}

// states returns the states of all members in the view of a host.
func (f *testFleet) states(host string) map[string]State {
	states := make(map[string]State)
	for _, m := range f.hosts[host].Members() {
		states[m.Host] = m.State
	}
	return states
}
