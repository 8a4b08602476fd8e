package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	msgLeaving  = "backend server takes no new work"
	msgAdded    = "backend server added"
	msgDoubtful = "backend server is doubtful"
	msgTrusted  = "backend server is trusted again"
	msgReborn   = "backend server has started again under its id"
	msgUnnamed  = "backend server is not named by its entry any more"

	// unreachableFor is how long a server gets no work after it refused or
	// did not take a connection; a restarted process needs about a second.
	unreachableFor = time.Second
)

// Table holds all servers. All methods may be called from any goroutine.
//
// Lock order: mu is a leaf, but for the logger.
type Table struct {
	host   string // this entry host
	logger *zap.Logger

	mu       sync.Mutex // guards all below
	servers  map[string]*entry
	services map[string]*service
	// evacuated are the failure domains whose servers get no requests.
	evacuated map[string]bool
	// saidLeaving holds what servers said of themselves, by ID.
	saidLeaving map[string]leavingWord
	// rests holds until when servers want nothing from this host, by ID.
	rests   map[string]time.Time
	own     chan struct{} // holds a token when this host's work on engines has changed
	changed chan struct{} // closed and replaced at each change that may free a place
}

type service struct {
	memoryTokens int
	coldRate     float64 // requests a second that a cold server takes; zero: no bound
	members      []*entry
	departed     map[Life]time.Time // those that were forgotten, and when
}

// departedKept is how long a forgotten server is told to hosts that ask which
// servers leave; those that are cut off from the store learn it so.
const departedKept = 10 * time.Second

// entry is one life of a server.
type entry struct {
	server         Server
	life           context.Context // ends with the life, once another one is known
	endLife        context.CancelFunc
	leaving        bool
	removed        bool
	unnamed        bool        // its entry cannot be read
	evacuated      bool        // its failure domain is
	slowUntil      time.Time   // it is cold, as its entry says
	coldUntil      time.Time   // the same, as it says itself or may be expected
	starts         []time.Time // of requests that this host sent or placed there, in the last coldWindow
	said           saidLoad
	shunnedUntil   time.Time // until then it gets calls only where no other has a place
	unreachable    time.Time // until then it gets no work
	health         health
	pace           pace
	evidence       Evidence             // of this host, since it was told
	witnesses      map[string]time.Time // entry hosts whose requests failed there, and when; an answer clears it
	answered       time.Time            // when it answered a request of any host last
	work           map[*Work]struct{}
	others         map[string]Load // by entry host
	sum            loadSum         // of others
	gone           chan struct{}   // closed when leaving
	leavingBecause LeavingSource
}

// NewTable returns an empty table of an entry host.
func NewTable(host string, logger *zap.Logger) *Table {
	return &Table{
		host: host, logger: logger,
		servers: map[string]*entry{}, services: map[string]*service{}, evacuated: map[string]bool{},
		saidLeaving: map[string]leavingWord{}, rests: map[string]time.Time{}, changed: make(chan struct{}), own: make(chan struct{}, 1),
	}
}

// SetMemory notes how many tokens each engine of a service holds; zero: it is
// a plain service.
func (t *Table) SetMemory(name string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(name).memoryTokens = tokens
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{departed: map[Life]time.Time{}}
		t.services[name] = s
	}
	return s
}

// Put takes in what the host list says of a server. A server that was known
// to be leaving stays so: in one life it never comes back, but for one whose
// entry had only lapsed and that has not said itself that it leaves.
//
// Failure: another writer puts a server under another service or address. Its
// requests would run at a service that no configuration allows them. In one
// life neither changes, so that such an entry is one of no server.
func (t *Table) Put(server Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[server.ID]
	if e != nil && !e.server.Life().Is(server.Life()) {
		t.replace(e, server)
		e = nil
	}
	if e == nil {
		e = t.add(server)
	}
	if e.server.Service != server.Service || e.server.Address != server.Address {
		t.disregard(e)
		return
	}
	if server.Born == 0 {
		server.Born = e.server.Born
	}
	e.server, e.unnamed, e.evacuated = server, false, t.evacuated[server.Domain]
	e.slowUntil = time.Now().Add(min(server.SlowFor, mostCold))
	delete(t.service(server.Service).departed, server.Life())
	switch {
	case t.saysLeaving(server.Life()):
		e.removed = false
		t.leave(e, SourceAnswer)
	case server.Leaving:
		t.leave(e, SourceList)
	case e.mayReturn():
		e.removed, e.leaving, e.gone = false, false, make(chan struct{})
	}
	t.wake()
}

// add is called with mu held.
func (t *Table) add(server Server) *entry {
	e := &entry{
		server: server, health: newHealth(), work: map[*Work]struct{}{}, others: map[string]Load{}, witnesses: map[string]time.Time{},
		gone: make(chan struct{}),
	}
	e.life, e.endLife = context.WithCancel(context.Background())
	t.servers[server.ID] = e
	s := t.service(server.Service)
	s.members = append(s.members, e)
	t.logger.Info(msgAdded, zap.String("server", server.ID), zap.Int64("born", server.Born),
		zap.String("address", server.Address), zap.String("service", server.Service))
	return e
}

// mayReturn reports whether the server counts as leaving only because its
// entry was gone, here or at another host.
func (e *entry) mayReturn() bool {
	return e.leaving && (e.removed || e.leavingBecause == SourcePeer)
}

// Remove notes that the host list has no entry of a server any more.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		e.removed = true
		t.leave(e, SourceRemoved)
		t.forget(e)
	}
}

// MarkLeaving notes that a life of a server takes no new work.
func (t *Table) MarkLeaving(life Life, because LeavingSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if because == SourceAnswer {
		t.noteWord(life)
	}
	if e := t.entryOf(life); e != nil {
		t.leave(e, because)
	}
}

// leave is called with mu held.
func (t *Table) leave(e *entry, because LeavingSource) {
	if e.leaving {
		return
	}
	e.leaving, e.leavingBecause = true, because
	close(e.gone)
	t.logger.Info(msgLeaving, zap.String("server", e.server.ID), zap.String("address", e.server.Address),
		zap.String("because", string(because)), zap.Int("own_work", len(e.work)))
}

// forget drops a removed server on which nothing of ours runs. Called with mu
// held.
func (t *Table) forget(e *entry) {
	if !e.removed || len(e.work) > 0 || t.servers[e.server.ID] != e {
		return
	}
	t.drop(e)
}

// drop takes an entry out of the table. Called with mu held.
func (t *Table) drop(e *entry) {
	delete(t.servers, e.server.ID)
	s := t.service(e.server.Service)
	s.members = slices.DeleteFunc(s.members, func(m *entry) bool { return m == e })
	s.departed[e.server.Life()] = time.Now()
}

// Get returns a server and whether requests may be sent there. One that is not
// known has no ID.
func (t *Table) Get(id string) (server Server, usable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil {
		return Server{}, false
	}
	return e.server, e.takesRequests()
}

// takesWork reports whether the server may get new work, as far as its entry
// and its own word go.
func (e *entry) takesWork() bool { return !e.leaving && !e.unnamed }

// Leaving returns the lives of servers of a service that are leaving or left a
// moment ago, in order.
func (t *Table) Leaving(name string) []Life {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lives []Life
	s := t.service(name)
	for _, e := range s.members {
		if e.leaving {
			lives = append(lives, e.server.Life())
		}
	}
	for life, at := range s.departed {
		if time.Since(at) > departedKept {
			delete(s.departed, life)
			continue
		}
		lives = append(lives, life)
	}
	slices.SortFunc(lives, func(a, b Life) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born)) })
	return lives
}

// Usable returns the servers of a service that take new work.
func (t *Table) Usable(name string) []Server {
	return t.usable(name, func(*entry) bool { return true })
}

// UsableWithWork returns those of them on which this host has work.
func (t *Table) UsableWithWork(name string) []Server {
	return t.usable(name, func(e *entry) bool { return len(e.work) > 0 })
}

func (t *Table) usable(name string, wanted func(*entry) bool) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var usable []Server
	for _, e := range t.service(name).members {
		if e.takesWork() && wanted(e) {
			usable = append(usable, e.server)
		}
	}
	return usable
}

// Domains returns the failure domains in which a service has servers, in order.
func (t *Table) Domains(name string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	domains := map[string]bool{}
	for _, e := range t.service(name).members {
		domains[e.server.Domain] = true
	}
	return slices.Sorted(maps.Keys(domains))
}

// EngineServices returns the names of the services with model engines.
func (t *Table) EngineServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.services {
		if s.memoryTokens > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Changed returns a channel that is closed when a place may have come free.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// OwnChanged returns a channel that gets a token when a generation of this
// host has had its first token or has ended.
func (t *Table) OwnChanged() <-chan struct{} { return t.own }

// isEngine is called with mu held.
func (t *Table) isEngine(e *entry) bool { return t.service(e.server.Service).memoryTokens > 0 }

// ownChanged is called with mu held. Only engines' work is told to others.
func (t *Table) ownChanged(e *entry) {
	if t.isEngine(e) {
		t.tellOwn()
	}
}

// tellOwn has what this host knows of its own work told to others soon.
func (t *Table) tellOwn() {
	select {
	case t.own <- struct{}{}:
	default:
	}
}

// wake is called with mu held.
func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}
