package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/papayasail/papayasail/sharing"
)

const (
	msgLeaving      = "backend server takes no new work"
	msgAdded        = "backend servers added"
	msgDoubtful     = "backend server is doubtful"
	msgTrusted      = "backend server is trusted again"
	msgRestarted    = "backend server has started again under its id"
	msgInvalidEntry = "backend server is not named by its entry any more"

	// unreachableFor is how long a server gets no work after it refused or did
	// not accept a connection. Restarting a process takes about a second.
	unreachableFor = time.Second
)

// Table is the set of known backend servers. All methods are safe for
// concurrent use.
//
// Lock order: no other lock is acquired while mu is held, except the logger's and that
// of sharers.
type Table struct {
	host    string // name of this entry host
	logger  *zap.Logger
	sharers *sharing.Hosts // the entry hosts that divide what servers accept
	// OnNews is called when a server's answer has shown something that other hosts should
	// know: that its rate limit has begun or ended, or that it is cold; nil: no call. It
	// must not block.
	OnNews func()

	mu        sync.Mutex // guards all fields below
	servers   map[string]*entry
	addresses map[string]*addressUse
	added     int // servers added since the last LogAdded
	services  map[string]*service
	// evacuated is the set of failure domains whose servers get no requests.
	evacuated map[string]bool
	// leavingReports records, by server ID, the servers that reported themselves as leaving.
	leavingReports map[string]leavingReport
	// backoffs maps a server ID to the time until which the server accepts nothing from this host.
	backoffs         map[string]time.Time
	rateLimits       map[string]*rateLimit // by server ID
	rateLimitsPruned time.Time
	coldNews         map[string]coldNews // by server ID
	gossipTurn       []string            // servers whose rate limits are still to be gossiped in this round
	suspected        chan struct{}       // receives a token when a server has become a suspect
	ownChanges       chan struct{}       // receives a token when this host's work on engines has changed
	changed          chan struct{}       // closed and replaced on each change that may free capacity

	// The sets below are indexes of servers, so that reports and placements cost
	// nothing for servers without work, evidence or restrictions.

	working     map[*entry]struct{}            // has work of this host
	evident     map[*entry]struct{}            // has evidence that was not taken yet
	suspects    map[*entry]struct{}            // has a suspicion against it
	restricted  map[*entry]struct{}            // unavailable, shunned or paused now, or was recently
	othersLoads map[string]map[*entry]struct{} // by host: has a load of that host
}

type service struct {
	memoryTokens int
	coldRate     float64 // requests per second that a cold server accepts; zero: unlimited
	members      members
	brittle      brittleness               // what the newest answer of a server says
	answered     time.Time                 // last answer of a server to this host
	readings     []float64                 // reused by refreshReading
	readingAt    time.Time                 // last refreshReading
	gapsMissed   bool                      // a gap goal was missed lately
	gapsAt       time.Time                 // last refreshGaps
	usualTime    time.Duration             // mean service time of plain servers; zero: not known
	leaving      map[*entry]struct{}       // members that are leaving
	departed     map[Incarnation]time.Time // incarnations dropped from the table, and when
	leavingList  []Incarnation             // cached result of Leaving; nil: recompute
	listExpires  time.Time                 // when the first departed incarnation of leavingList expires
}

// departedTTL is how long a dropped server is still reported as leaving to
// hosts that query the list of leaving servers. Hosts that cannot reach the
// store learn of its departure this way.
const departedTTL = 10 * time.Second

// entry is the state of one incarnation of a server.
type entry struct {
	server             Server
	hash               uint64 // of the server's ID
	slot               slot
	incarnationContext context.Context // cancelled once another incarnation is known
	endIncarnation     context.CancelFunc
	leaving            bool
	removed            bool
	invalid            bool        // its host list entry is invalid
	conflicting        *Server     // newest entry, of another service or address; nil: there is none
	conflictingSince   time.Time   // when conflicting first had this service and address
	evacuated          bool        // its failure domain is evacuated
	listedColdUntil    time.Time   // cold until then, according to its host list entry
	coldUntil          time.Time   // cold until then, as it reported itself or as assumed after an evacuation
	assumedColdUntil   time.Time   // counts as cold until then, unless it reports otherwise
	unobserved         bool        // may have started again while this host had no connection to it
	nextColdCheck      time.Time   // not queried by ColdCheckDue before
	starts             []time.Time // times of requests that this host sent or placed there within coldWindow
	reported           reportedLoad
	calls              calls
	shunnedUntil       time.Time // until then it gets calls only if no other server has capacity
	unavailableUntil   time.Time // until then it gets no work
	brittle            brittleness
	callTime           time.Duration // moving mean of this host's calls; zero: not known
	callRate           *rate.Limiter // this host's calls while the server is brittle; nil: not limited
	pausedUntil        time.Time     // until then it gets no request of this host, if it is brittle
	health             health
	pace               pace
	reading            reading
	gaps               gapCounts
	gapMisses          float64              // share of generations that miss their gap goal; zero: not known
	firstEvent         *FirstEvent          // newest one of this host's generations
	evidence           Evidence             // outcomes of this host's requests since the last report
	failedHosts        map[string]time.Time // entry hosts whose requests failed there, and when; cleared by an answer
	lastAnswer         time.Time            // when it last answered a request of any host
	work               map[*Work]struct{}
	reserved           map[string]ownReservation // by short request ID; see Reserve
	others             map[string]Load           // load of other entry hosts, by host name
	sum                loadSum                   // cached sum of others
	leavingCh          chan struct{}             // closed when the server starts leaving
	leavingBecause     LeavingSource
	peerReport         time.Time // when another host reported it as leaving
	noPeerReports      time.Time // until then such reports do not count
	suspicion          suspicionState
}

// NewTable returns an empty table for the entry host of that name.
func NewTable(host string, logger *zap.Logger) *Table {
	return &Table{
		host: host, logger: logger, sharers: sharing.NewHosts(host),
		servers: map[string]*entry{}, addresses: map[string]*addressUse{}, services: map[string]*service{}, evacuated: map[string]bool{},
		leavingReports: map[string]leavingReport{}, backoffs: map[string]time.Time{}, rateLimits: map[string]*rateLimit{}, coldNews: map[string]coldNews{}, changed: make(chan struct{}), ownChanges: make(chan struct{}, 1), suspected: make(chan struct{}, 1),
		working: map[*entry]struct{}{}, evident: map[*entry]struct{}{}, suspects: map[*entry]struct{}{}, restricted: map[*entry]struct{}{}, othersLoads: map[string]map[*entry]struct{}{},
	}
}

// SetMemory sets the memory of each engine of a service, in tokens. Zero marks a plain service.
func (t *Table) SetMemory(name string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(name).memoryTokens = tokens
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{members: newMembers(), leaving: map[*entry]struct{}{}, departed: map[Incarnation]time.Time{}}
		t.services[name] = s
	}
	return s
}

// Put applies a server's host list entry. A leaving server remains leaving for
// the rest of its incarnation, with one exception: if its entry was missing
// here, or if this host has only another host's report that it is leaving, an
// entry that is not marked as leaving makes the server usable again. A server
// that reported itself as leaving does not become usable again.
//
// Service and address never change within one incarnation. Of two entries that
// differ in either, one was written by somebody else. The server gets no work
// while its entry differs from the first one: using it could send requests to a
// service for which they are not configured. Put then reports a conflict, once
// for each such entry; see ResolveConflict.
func (t *Table) Put(server Server) (conflict bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.put(server)
}

// put requires mu.
func (t *Table) put(server Server) (conflict bool) {
	e := t.servers[server.ID]
	if e != nil && !e.server.Incarnation().Is(server.Incarnation()) {
		t.replace(e, server)
		e = nil
	}
	// A list that is read again repeats the cold time of the entry, which has passed since.
	repeated := e != nil && e.server.SlowFor == server.SlowFor
	if e == nil {
		e = t.add(server)
	}
	if !e.server.sameIdentity(server) {
		t.markInvalid(e)
		conflict = e.conflicting == nil || !e.conflicting.sameIdentity(server)
		if conflict {
			e.conflictingSince = time.Now()
		}
		e.conflicting = &server
		return conflict
	}
	e.conflicting = nil
	if server.Born == 0 {
		server.Born = e.server.Born
	}
	renewed := server.Writes > e.server.Writes
	if server.Domain != e.server.Domain {
		s := t.service(server.Service)
		s.members.remove(e)
		e.server.Domain = server.Domain
		s.members.add(e)
	}
	e.server, e.invalid, e.evacuated = server, false, t.evacuated[server.Domain]
	if !repeated {
		e.listedColdUntil = time.Now().Add(min(server.SlowFor, maxColdTime))
	}
	t.service(server.Service).returned(server.Incarnation())
	switch {
	case t.reportedLeaving(server.Incarnation()):
		e.removed = false
		t.setLeaving(e, SourceAnswer)
	case server.Leaving:
		t.setLeaving(e, SourceList)
	case e.mayReturn():
		t.endLeaving(e)
	case renewed:
		t.refute(e, RefutedByEntry)
	}
	t.notifyChanged()
	return false
}

// add requires mu.
func (t *Table) add(server Server) *entry {
	e := &entry{
		server: server, hash: xxhash.Sum64String(server.ID), health: newHealth(), work: map[*Work]struct{}{}, others: map[string]Load{}, failedHosts: map[string]time.Time{},
		leavingCh: make(chan struct{}),
	}
	e.coldUntil = t.coldNews[server.ID].until
	e.incarnationContext, e.endIncarnation = context.WithCancel(context.Background())
	t.servers[server.ID] = e
	t.useAddress(server)
	t.service(server.Service).members.add(e)
	t.added++
	t.logger.Debug("backend server added", zap.String("server", server.ID), zap.Int64("born", server.Born),
		zap.String("address", server.Address), zap.String("service", server.Service))
	return e
}

// LogAdded logs how many servers were added since the last call, if any. A line for
// each would be most of the log of a large fleet.
func (t *Table) LogAdded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.added > 0 {
		t.logger.Info(msgAdded, zap.Int("count", t.added), zap.Int("servers", len(t.servers)))
	}
	t.added = 0
}

// mayReturn reports whether a host list entry that is not marked as leaving makes
// a leaving server usable again: its entry was missing here, or only another host,
// whose entry may have been missing, has reported it as leaving.
func (e *entry) mayReturn() bool {
	return e.leaving && (e.removed || e.leavingBecause == SourcePeer)
}

// Remove records that the host list no longer has an entry for a server.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		e.removed = true
		t.setLeaving(e, SourceRemoved)
		t.forget(e)
	}
}

// MarkLeaving records that an incarnation of a server accepts no new work.
func (t *Table) MarkLeaving(incarnation Incarnation, because LeavingSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if because == SourceAnswer {
		t.recordLeavingReport(incarnation)
	}
	if e := t.entryOf(incarnation); e != nil {
		t.setLeaving(e, because)
	}
}

// setLeaving requires mu.
func (t *Table) setLeaving(e *entry, because LeavingSource) {
	if e.leaving {
		if because != SourcePeer {
			e.leavingBecause = because // its own knowledge counts, whoever reported first
		}
		return
	}
	if because == SourcePeer {
		if time.Now().Before(e.noPeerReports) {
			return
		}
		e.peerReport = time.Now()
	}
	t.endSuspicion(e)
	e.leaving, e.leavingBecause = true, because
	t.service(e.server.Service).setLeaving(e, true)
	close(e.leavingCh)
	t.logger.Info(msgLeaving, zap.String("server", e.server.ID), zap.String("address", e.server.Address),
		zap.String("because", string(because)), zap.Int("own_work", len(e.work)))
}

// forget drops a removed server on which this host has no work. Requires mu.
func (t *Table) forget(e *entry) {
	if !e.removed || len(e.work) > 0 || t.servers[e.server.ID] != e {
		return
	}
	t.drop(e)
}

// drop deletes an entry from the table. Requires mu.
func (t *Table) drop(e *entry) {
	delete(t.servers, e.server.ID)
	if use := t.addresses[e.server.Address]; use.servers > 1 {
		use.servers--
	} else {
		delete(t.addresses, e.server.Address)
	}
	s := t.service(e.server.Service)
	s.members.remove(e)
	s.setLeaving(e, false)
	s.departed[e.server.Incarnation()] = time.Now()
	delete(t.working, e)
	delete(t.evident, e)
	t.endSuspicion(e)
	delete(t.restricted, e)
	for host := range e.others {
		t.deleteOthersLoad(host, e)
	}
}

// Get returns a server and whether requests may be sent to it. Servers in
// evacuated failure domains get no requests. The ID is empty if the server is
// not in the table.
func (t *Table) Get(id string) (server Server, accepts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil {
		return Server{}, false
	}
	return e.server, e.acceptsRequests()
}

// addressUse is the use of an address. A new server may be listed there before the
// entry of the old one is gone.
type addressUse struct {
	servers int
	service string // of the newest server
}

// useAddress requires mu.
func (t *Table) useAddress(server Server) {
	use := t.addresses[server.Address]
	if use == nil {
		use = &addressUse{}
		t.addresses[server.Address] = use
	}
	use.servers++
	use.service = server.Service
}

// ServiceAt returns the service of the newest server in the table that has the
// address. ok is false if there is none.
func (t *Table) ServiceAt(address string) (service string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	use := t.addresses[address]
	if use == nil {
		return "", false
	}
	return use.service, true
}

// acceptsWork reports whether the server is neither leaving nor replaced, nor has
// an invalid host list entry. Unlike acceptsRequests, it ignores evacuations.
func (e *entry) acceptsWork() bool { return !e.leaving && !e.invalid && !e.suspicion.unusable() }

// Usable returns the servers of a service that accept work, including those in
// evacuated failure domains.
func (t *Table) Usable(name string) []Server {
	return t.usable(name, func(*entry) bool { return true })
}

// UsableWithWork returns the usable servers of a service on which this host has work.
func (t *Table) UsableWithWork(name string) []Server {
	return t.usable(name, func(e *entry) bool { return len(e.work) > 0 })
}

func (t *Table) usable(name string, wanted func(*entry) bool) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var usable []Server
	for _, e := range t.service(name).members.all {
		if e.acceptsWork() && wanted(e) {
			usable = append(usable, e.server)
		}
	}
	return usable
}

// Domains returns, in order, the failure domains in which a service has servers.
func (t *Table) Domains(name string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.service(name).members.byDomain))
}

// EngineServices returns, in order, the names of the services that run on model engines.
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

// Changed returns a channel that is closed when capacity may have become available.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// OwnChanged returns a channel that receives a token when this host's view of
// its own work has changed: a generation produced its first token or ended, or
// the outcome of a request has to be reported.
func (t *Table) OwnChanged() <-chan struct{} { return t.ownChanges }

// isEngine requires mu.
func (t *Table) isEngine(e *entry) bool { return t.service(e.server.Service).memoryTokens > 0 }

// engineWorkChanged requires mu. Only work on engines is reported to other hosts.
func (t *Table) engineWorkChanged(e *entry) {
	if t.isEngine(e) {
		t.notifyOwnChange()
	}
}

// notifyOwnChange requests an early report of this host's own work to other hosts.
func (t *Table) notifyOwnChange() {
	select {
	case t.ownChanges <- struct{}{}:
	default:
	}
}

// notifyChanged requires mu.
func (t *Table) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}
