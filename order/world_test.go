package order

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const (
	testMaxExecutionTime = 30 * time.Second
	testTerm             = 20 * time.Second
	testPerMinute        = 12
	testBurst            = 3
)

// world is a store, entry hosts that each run a Controller, and engines, in one
// synctest bubble.
type world struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	memory    *store.Memory
	engineSet *engineSet
	hosts     map[string]*host
	gates     []*gate                   // of all hosts, including stopped ones
	accepted  map[string]acceptedChange // by change id
	changes   int

	mu         sync.Mutex // guards violations and the hosts' versions
	violations []string   // violated invariants
}

// host is the part of an entry host that sends orders.
type host struct {
	name     string
	gate     *gate
	cancel   context.CancelFunc
	table    *configuration.Table
	acceptor *configuration.Acceptor
	duty     *Controller
	versions map[string]store.Version // highest version in force, by service
}

type acceptedChange struct {
	service string
	version store.Version
}

func newWorld() *world {
	ctx, cancel := context.WithCancel(context.Background())
	return &world{
		ctx: ctx, cancel: cancel, memory: store.NewMemory(),
		engineSet: &engineSet{engines: map[string]*testEngine{}}, hosts: map[string]*host{}, accepted: map[string]acceptedChange{},
	}
}

// close ends every goroutine, as synctest requires.
func (w *world) close() {
	w.cancel()
	w.resumeAll()
	w.group.Wait()
}

// resumeAll resumes every host, including those stopped while paused.
func (w *world) resumeAll() {
	for _, g := range w.gates {
		g.resume()
	}
}

// gate simulates a host's process: while it is paused, calls neither start nor
// return; once it is dead, all calls fail.
type gate struct {
	mu     sync.Mutex // guards all below
	paused chan struct{}
	dead   bool
	// afterIntent pauses the host after its next write of a server record (an
	// intent or an outcome).
	afterIntent bool
}

// intentWritten pauses the host if pauseAfterIntent was called.
func (g *gate) intentWritten() {
	g.mu.Lock()
	due := g.afterIntent
	g.afterIntent = false
	g.mu.Unlock()
	if due {
		g.pause()
	}
}

var errDead = errors.New("host is dead")

func (g *gate) pass() error {
	for {
		g.mu.Lock()
		paused, dead := g.paused, g.dead
		g.mu.Unlock()
		if dead {
			return errDead
		}
		if paused == nil {
			return nil
		}
		<-paused
	}
}

func (g *gate) pauseAfterIntent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.afterIntent = true
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.afterIntent = false
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.resume()
}

// gatedStore is the store behind a host's gate.
type gatedStore struct {
	*store.Memory
	gate *gate
}

func (s gatedStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return throughGate(s.gate, func() (store.Object, error) { return s.Memory.Get(ctx, kind, name) })
}

func (s gatedStore) Put(ctx context.Context, kind, name string, value []byte, expect store.Version) (store.Version, error) {
	return throughGate(s.gate, func() (store.Version, error) {
		version, err := s.Memory.Put(ctx, kind, name, value, expect)
		if kind == audit.OrderKind {
			s.gate.intentWritten()
		}
		return version, err
	})
}

// throughGate passes the gate before and after a call.
func throughGate[T any](g *gate, call func() (T, error)) (T, error) {
	var zero T
	if err := g.pass(); err != nil {
		return zero, errors.Mark(err, store.ErrUnavailable)
	}
	answer, err := call()
	if dead := g.pass(); dead != nil {
		return zero, errors.Mark(dead, store.ErrOutcomeUnknown)
	}
	return answer, err
}

// gatedEngine is the set of engines behind a host's gate.
type gatedEngine struct {
	*engineSet
	host string
	gate *gate
}

func (e gatedEngine) Order(ctx context.Context, address string, order backend.OrderRequest) (backend.EngineState, error) {
	if err := e.gate.pass(); err != nil || ctx.Err() != nil {
		return backend.EngineState{}, &backend.CallError{Evidence: backend.NothingSent, Err: errTest}
	}
	state, err := e.order(ctx, e.host, address, order)
	if dead := e.gate.pass(); dead != nil {
		return backend.EngineState{}, &backend.CallError{Evidence: backend.Broken, Err: dead}
	}
	return state, err
}

func parseJSON(_ string, data []byte) (*contract.Document, error) {
	var document contract.Document
	err := json.Unmarshal(data, &document)
	return &document, err
}

// addHost starts a host. A host that does not watch the store receives documents
// only when it becomes the lease holder.
func (w *world) addHost(name, failureDomain string, watches bool) {
	ctx, cancel := context.WithCancel(w.ctx)
	h := &host{name: name, gate: &gate{}, cancel: cancel, table: configuration.NewTable(parseJSON), versions: map[string]store.Version{}}
	memory := gatedStore{Memory: w.memory, gate: h.gate}
	engine := gatedEngine{engineSet: w.engineSet, host: name, gate: h.gate}
	h.acceptor = configuration.NewAcceptor(memory, parseJSON)
	watcher := &replica.Follower{Store: memory, Kind: configuration.Kind, Table: h.table.Table, Active: func() bool { return watches }}
	h.duty = New(Options{
		Host: name, FailureDomain: failureDomain, Store: memory, Engine: engine, Documents: h.table, Refresh: watcher.Refresh,
		LoadsPerMinute: testPerMinute, LoadBurst: testBurst, Term: testTerm, MaxExecutionTime: testMaxExecutionTime,
	})
	h.table.Subscribe(func() { w.checkVersions(h) })
	w.hosts[name] = h
	w.gates = append(w.gates, h.gate)
	w.group.Go(func() { _ = watcher.Run(ctx) })
	w.group.Go(func() { _ = h.duty.Run(ctx) })
}

// checkVersions records a violation if a host's version in force decreased.
func (w *world) checkVersions(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, document := range h.table.Documents() {
		_, version, _ := h.table.Document(document.Service)
		if version < h.versions[document.Service] {
			w.recordViolation("host %s has %s in force at version %d after %d", h.name, document.Service, version, h.versions[document.Service])
		}
		h.versions[document.Service] = version
	}
}

// recordViolation records a violated invariant. The caller holds mu or is the only
// goroutine that uses violations.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// killHost ends a host without notifying any peer.
func (w *world) killHost(name string) {
	h := w.hosts[name]
	h.gate.kill()
	h.cancel()
	delete(w.hosts, name)
}

// stopHost stops a host gracefully.
func (w *world) stopHost(name string) {
	w.hosts[name].cancel()
	delete(w.hosts, name)
}

func (w *world) addEngine(address string, honours bool) {
	w.engineSet.engines[address] = &testEngine{honours: honours, alive: true, executionTime: time.Second}
}

// apply submits a document to a host.
func (w *world) apply(h *host, document contract.Document, expect store.Version) (configuration.Result, error) {
	w.changes++
	id := fmt.Sprintf("c%d", w.changes)
	result, err := h.acceptor.Put(w.ctx, changeOf(document, expect, id, h.name))
	if result.Outcome == configuration.Accepted {
		w.accepted[id] = acceptedChange{document.Service, result.Version}
	}
	return result, err
}

func changeOf(document contract.Document, expect store.Version, id, who string) configuration.Change {
	text, err := json.Marshal(document)
	if err != nil {
		panic(err) // cannot happen: plain data
	}
	return configuration.Change{Service: document.Service, Document: text, Expect: expect, ChangeID: id, Who: who}
}

// stored returns the stored version of a service, with store faults disabled
// during the read.
func (w *world) stored(service string) store.Version {
	faults := w.memory.Faults()
	w.memory.SetFaults(store.Faults{})
	defer w.memory.SetFaults(faults)
	object, err := w.memory.Get(w.ctx, configuration.Kind, configuration.ServiceName(service))
	if err != nil {
		return 0
	}
	return object.Version
}

func (w *world) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// show renders the engines, the lease holders and the violations.
func (w *world) show() string {
	var b strings.Builder
	for _, address := range slices.Sorted(maps.Keys(w.engineSet.engines)) {
		fmt.Fprintf(&b, "%s %s\n", address, w.engineSet.engines[address])
	}
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		if w.hosts[name].duty.Holding() {
			fmt.Fprintf(&b, "holder %s\n", name)
		}
	}
	for _, line := range w.violations {
		fmt.Fprintf(&b, "INVARIANT VIOLATED: %s\n", line)
	}
	return b.String()
}

// checkEffects checks the invariants of the orders that took effect: one holder
// per fencing number, and fencing numbers that never decrease.
func (w *world) checkEffects(jitter time.Duration) {
	holders := map[uint64]string{}
	highest := uint64(0)
	byEngine := map[string]uint64{}
	for _, e := range w.engineSet.effects {
		if holder, ok := holders[e.order.Fence]; ok && holder != e.holder {
			w.recordViolation("fence %d was used by %s and %s", e.order.Fence, holder, e.holder)
		}
		holders[e.order.Fence] = e.holder
		if e.order.Fence < byEngine[e.address] {
			w.recordViolation("%s executed an order under fence %d after %d (honours: %v)", e.address, e.order.Fence, byEngine[e.address], e.honours)
		}
		byEngine[e.address] = e.order.Fence
		if e.order.Fence < highest {
			w.recordViolation("an order under fence %d took effect after one under %d", e.order.Fence, highest)
		}
		highest = max(highest, e.order.Fence)
	}
	w.checkRate(jitter)
}

// checkRate checks that loads stayed within the weight store's rate across lease
// holders. Jitter is the maximum delay between taking a load from the bucket and
// its arrival at the engine.
func (w *world) checkRate(jitter time.Duration) {
	loads := w.engineSet.loads
	for i := range loads {
		for j := i; j < len(loads); j++ {
			allowed := testBurst + (loads[j].Sub(loads[i])+jitter).Minutes()*testPerMinute
			if float64(j-i+1) > allowed+1e-6 {
				w.recordViolation("%d loads in %v", j-i+1, loads[j].Sub(loads[i]))
				return
			}
		}
	}
}
