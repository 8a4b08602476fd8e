package backend

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/contract"
)

var (
	reportsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayasail_backend_reports_total",
		Help: "Load reports by result: taken (applied), late (dropped as stale or from an unknown server).",
	}, []string{"result"})
	failuresTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayasail_backend_failures_total",
		Help: "Failures of backend servers by kind.",
	}, []string{"kind"})
	ejectionsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayasail_backend_ejections_total",
		Help: "Ejections of backend servers by result: done, refused (by the limit on the ejected share).",
	}, []string{"result"})
)

// Collectors returns the metrics of all pools in the process.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{reportsTotal, failuresTotal, ejectionsTotal}
}

const (
	logStateChanged = "backend server changed state"

	defaultMaxEjectedShare = 0.5
	defaultEjectAfter      = 3
	defaultEjectFor        = 2 * time.Second
	defaultMaxEjectFor     = 30 * time.Second
	defaultUnreachableFor  = time.Second
	defaultSlowStart       = 10 * time.Second
	defaultLeavingTTL      = 30 * time.Second
	maxRefusalDoublings    = 4 // doublings of UnreachableFor
)

// PoolOptions configures a Pool. Zero fields take the defaults.
type PoolOptions struct {
	// MaxEjectedShare is the largest share of a service's servers that may be
	// ejected at once, 0 to 1. Default 0.5.
	MaxEjectedShare float64
	// EjectAfter is the number of consecutive failures after which a server is
	// ejected. Default 3.
	EjectAfter int
	// EjectFor is the duration of the first ejection; it doubles with each
	// further one up to MaxEjectFor. A success resets it only if a failure was
	// recorded since the last ejection. Defaults 2 s and 30 s.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// UnreachableFor is how long a server gets no work after a failed
	// connection; it doubles with each consecutive one, at most
	// maxRefusalDoublings times. Default 1 s.
	UnreachableFor time.Duration
	// SlowStart is the duration of the slow start of a new or returning server.
	// Default 10 s.
	SlowStart time.Duration
	// LeavingTTL is how long a leaving state from a load report lasts without a
	// newer report, unless the report gives a longer time. Leaving also returns
	// it as the time to expiry of marks without one. Default 30 s.
	LeavingTTL time.Duration
	// Logger receives an entry if a server's state in a new snapshot differs
	// from the last one; StateUnloaded is not logged. Default: no logging.
	Logger *zap.Logger
}

func (o PoolOptions) withDefaults() PoolOptions {
	if o.MaxEjectedShare <= 0 {
		o.MaxEjectedShare = defaultMaxEjectedShare
	}
	if o.EjectAfter <= 0 {
		o.EjectAfter = defaultEjectAfter
	}
	if o.EjectFor <= 0 {
		o.EjectFor = defaultEjectFor
	}
	if o.MaxEjectFor <= 0 {
		o.MaxEjectFor = defaultMaxEjectFor
	}
	if o.UnreachableFor <= 0 {
		o.UnreachableFor = defaultUnreachableFor
	}
	if o.SlowStart <= 0 {
		o.SlowStart = defaultSlowStart
	}
	if o.LeavingTTL <= 0 {
		o.LeavingTTL = defaultLeavingTTL
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

// Pool is the table of the backend servers of all services in force. Its
// methods are safe for concurrent use.
//
// Lock order: Pool.mu is a leaf lock; only the logger is called while it is
// held.
type Pool struct {
	options PoolOptions

	mu       sync.Mutex // guards the fields below
	services map[string]*poolService
	servers  map[string]*poolServer // by address
	updated  bool                   // Update has been called
	onChange []func()               // see OnChange; called without mu held
}

// poolService is one service in force and its cached snapshot.
type poolService struct {
	document          *contract.Document
	serverListVersion uint64 // increases when the list of servers changes
	members           []*poolServer
	snapshot          *Snapshot // nil if it must be rebuilt
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	return &Pool{
		options:  options.withDefaults(),
		services: map[string]*poolService{},
		servers:  map[string]*poolServer{},
	}
}

// OnChange registers f to be called, without locks held, after Update, an applied
// report, MarkLeaving for a server in the table, and ClearLeaving that removed a
// mark. Recorded failures and successes do not call it. f must not block.
func (p *Pool) OnChange(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onChange = append(p.onChange, f)
}

func (p *Pool) notifyListeners() {
	p.mu.Lock()
	listeners := p.onChange
	p.mu.Unlock()
	for _, f := range listeners {
		f()
	}
}

// Update replaces all documents in force. Servers that remain keep their state;
// new ones go through a slow start, except in the first call of Update.
func (p *Pool) Update(documents []*contract.Document) {
	p.mu.Lock()
	now := time.Now()
	services := make(map[string]*poolService, len(documents))
	servers := make(map[string]*poolServer, len(p.servers))
	for _, document := range documents {
		services[document.Service] = p.updateService(document, servers, now)
	}
	p.services, p.servers, p.updated = services, servers, true
	p.mu.Unlock()
	p.notifyListeners()
}

// updateService builds the entry of one service from its document. The caller
// holds mu.
func (p *Pool) updateService(document *contract.Document, servers map[string]*poolServer, now time.Time) *poolService {
	service := &poolService{document: document, serverListVersion: 1}
	for _, declared := range document.BackendServers {
		server := servers[declared.Address]
		if server == nil {
			server = p.getOrAddServer(declared.Address, now)
			servers[declared.Address] = server
		}
		service.members = append(service.members, server)
	}
	if before := p.services[document.Service]; before != nil {
		service.serverListVersion = before.serverListVersion
		if !sameServers(before.document, document) {
			service.serverListVersion++
		}
	}
	return service
}

// getOrAddServer returns the state of a server and creates it if there is none.
// The caller holds mu.
func (p *Pool) getOrAddServer(address string, now time.Time) *poolServer {
	if server := p.servers[address]; server != nil {
		return server
	}
	server := &poolServer{address: address, leaving: map[LeavingSource]time.Time{}}
	if p.updated {
		server.readySince = now
	}
	return server
}

func sameServers(a, b *contract.Document) bool {
	return slices.Equal(a.BackendServers, b.BackendServers)
}

// Report applies a load report of the server at address, received at
// receivedAt.
//
// A response that was overtaken by a later one has a lower sequence number and
// would restore an old load or undo a leaving state, so it is dropped. A server
// counts as restarted if the report after a dropped one has the same or a higher
// sequence number than the dropped one.
func (p *Pool) Report(address string, report LoadReport, receivedAt time.Time) {
	p.applyReport(address, report, receivedAt, (*poolServer).acceptSequence)
}

// StreamReport applies a load report that was received in a stream of the
// server.
//
// Many streams carry reports of one server and overtake each other, so two
// increasing lower sequence numbers do not show a restart here: only newer
// reports are applied, and a restart is detected by the next poll.
func (p *Pool) StreamReport(address string, report LoadReport, receivedAt time.Time) {
	p.applyReport(address, report, receivedAt, (*poolServer).isNewer)
}

func (p *Pool) applyReport(address string, report LoadReport, receivedAt time.Time, accept func(*poolServer, uint64) bool) {
	p.mu.Lock()
	server := p.servers[address]
	if server == nil || !accept(server, report.Sequence) {
		p.mu.Unlock()
		reportsTotal.WithLabelValues("late").Inc()
		return
	}
	server.markReachable(receivedAt)
	server.load, server.reportedAt = report, receivedAt
	p.applyLeaving(server, report, receivedAt)
	p.invalidate(server)
	p.mu.Unlock()
	reportsTotal.WithLabelValues("taken").Inc()
	p.notifyListeners()
}

// applyLeaving applies the leaving state in a server's own report. The caller
// holds mu.
func (p *Pool) applyLeaving(server *poolServer, report LoadReport, now time.Time) {
	if !report.Leaving {
		delete(server.leaving, SourceReport)
		return
	}
	hold := max(p.options.LeavingTTL, time.Duration(report.LeaveInMillis)*time.Millisecond)
	server.leaving[SourceReport] = now.Add(hold)
}

// MarkLeaving records that a source reports the server at address as leaving.
// The mark expires at until; with the zero time it lasts until ClearLeaving.
func (p *Pool) MarkLeaving(address string, source LeavingSource, until time.Time) {
	p.mu.Lock()
	server := p.servers[address]
	if server == nil {
		p.mu.Unlock()
		return
	}
	before, marked := server.leaving[source]
	if !marked || until.IsZero() || (!before.IsZero() && until.After(before)) {
		server.leaving[source] = until
		p.invalidate(server)
	}
	p.mu.Unlock()
	p.notifyListeners()
}

// ClearLeaving removes the mark of one source; marks of other sources remain.
func (p *Pool) ClearLeaving(address string, source LeavingSource) {
	p.mu.Lock()
	server := p.servers[address]
	marked := false
	if server != nil {
		_, marked = server.leaving[source]
	}
	if !marked { // otherwise each change of a document would put all servers in slow start
		p.mu.Unlock()
		return
	}
	delete(server.leaving, source)
	server.readySince = time.Now()
	p.invalidate(server)
	p.mu.Unlock()
	p.notifyListeners()
}

// RecordFailure records a failure of the server at address. A failed connection
// (FailureRefusedConnection) makes it unreachable at once. EjectAfter consecutive
// failures of other kinds eject it, unless that would exceed MaxEjectedShare of a
// service's servers.
func (p *Pool) RecordFailure(address string, kind FailureKind) {
	failuresTotal.WithLabelValues(string(kind)).Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[address]
	if server == nil {
		return
	}
	now := time.Now()
	if kind == FailureRefusedConnection {
		server.recordRefusal(now, p.options.UnreachableFor)
		p.invalidate(server)
		return
	}
	server.failures++
	if server.failures < p.options.EjectAfter || server.ejectedUntil.After(now) {
		return
	}
	if !p.mayEject(server, now) {
		ejectionsTotal.WithLabelValues("refused").Inc()
		return
	}
	ejectionsTotal.WithLabelValues("done").Inc()
	server.eject(now, p.options.EjectFor, p.options.MaxEjectFor)
	p.invalidate(server)
}

// RecordCrash records that the process of the server at address has ended. Its failures
// say nothing of the process that starts there next; the server gets no work until it
// answers, or for UnreachableFor.
func (p *Pool) RecordCrash(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[address]
	if server == nil {
		return
	}
	server.failures, server.ejections, server.ejectedUntil = 0, 0, time.Time{}
	if server.refusals == 0 {
		server.recordRefusal(time.Now(), p.options.UnreachableFor)
	}
	p.invalidate(server)
}

// mayEject reports whether the limit on ejected servers allows one more. A
// shared cause, such as a bad request or a slow link of this host, makes requests
// fail on every server: without a limit all of them would be ejected and no work
// could be placed. The caller holds mu.
func (p *Pool) mayEject(candidate *poolServer, now time.Time) bool {
	for _, service := range p.services {
		ejected, member := 0, false
		for _, server := range service.members {
			member = member || server == candidate
			if server.ejectedUntil.After(now) {
				ejected++
			}
		}
		limit := int(math.Floor(p.options.MaxEjectedShare * float64(len(service.members))))
		if member && ejected+1 > limit {
			return false
		}
	}
	return true
}

// RecordSuccess records a successful exchange with the server at address.
func (p *Pool) RecordSuccess(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[address]
	if server == nil {
		return
	}
	if server.failures == 0 && server.refusals == 0 {
		return
	}
	server.failures, server.ejections = 0, 0
	if server.markReachable(time.Now()) {
		p.invalidate(server)
	}
}

// Leaving lists the servers that are marked as leaving by any source not in
// without. A mark with an expiry keeps it, so that marks received from peers
// and forwarded still expire; a mark without one expires after
// LeavingTTL.
func (p *Pool) Leaving(without ...LeavingSource) []LeavingMark {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var marks []LeavingMark
	for address, server := range p.servers {
		if until, leaving := server.leavingUntil(now, without...); leaving {
			if until.IsZero() {
				until = now.Add(p.options.LeavingTTL)
			}
			marks = append(marks, LeavingMark{Address: address, Until: until})
		}
	}
	return marks
}

// Services returns the names of the services in force, in no particular order.
func (p *Pool) Services() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.services))
	for name := range p.services {
		names = append(names, name)
	}
	return names
}

// ServiceAt returns a service in force that has a server at the address. ok is false
// if there is none.
func (p *Pool) ServiceAt(address string) (service string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[address]
	if server == nil {
		return "", false
	}
	for name, s := range p.services {
		if slices.Contains(s.members, server) && (service == "" || name < service) {
			service = name
		}
	}
	return service, true
}

// invalidate discards the cached snapshots that contain the server. The caller
// holds mu.
func (p *Pool) invalidate(server *poolServer) {
	server.view = nil
	for _, service := range p.services {
		if service.snapshot != nil && service.snapshot.contains(server.address) {
			service.snapshot = nil
		}
	}
}
