// Package gateway serves requests: it finds the route and the organisation,
// chooses a backend server, sends the request there and passes the answer on,
// moves generations off servers that leave, and says of each request that
// fails whether it ran. It knows neither how callers nor how servers spell
// what they say.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/placement"
	"github.com/papayasail/papayasail/quarantine"
)

const (
	// retryNoConfiguration is when to come back to a host that has just
	// started; it learns the configuration within a few hundred ms.
	retryNoConfiguration = 300 * time.Millisecond
	// retryStopping sends callers to another host at once; retryAllStopping is
	// when to come back while no other host takes requests. A host that has
	// stopped is back after about a second, and the shortest goal is 1.5 s.
	retryStopping    = 20 * time.Millisecond
	retryAllStopping = time.Second
	// retryNoServer is when to come back while no server is known or
	// reachable; a replaced one takes about a second.
	retryNoServer = 500 * time.Millisecond
)

// Options sets up a Gateway. All fields are required.
type Options struct {
	Domain  string // failure domain of this host
	Fleet   *fleet.Table
	Backend Backend
	// Allocator places generations and gives turns to their moves.
	Allocator Allocator
	Budget    *Budget
	// Quarantine keeps requests from servers that crash them.
	Quarantine *quarantine.Table
	Logger     *zap.Logger
	Limits     placement.Limits
	// Confirm reports whether the configuration in force here is surely the
	// newest that was accepted. It may ask the store.
	Confirm func(ctx context.Context) bool
	// Others reports whether another entry host takes requests.
	Others  func() bool
	Metrics *Metrics
}

// Gateway serves requests. All methods may be called from any goroutine.
type Gateway struct {
	options       Options
	configuration atomic.Pointer[Configuration]
	stopBy        atomic.Pointer[time.Time] // nil: this host does not stop
	generations   atomic.Int64              // in work
}

// New returns a gateway without a configuration.
func New(options Options) *Gateway {
	return &Gateway{options: options}
}

// SetConfiguration puts a configuration in force for requests that come now.
func (g *Gateway) SetConfiguration(c *Configuration) {
	g.configuration.Store(c)
	for _, service := range c.Services {
		memory := 0
		if service.Engine != nil {
			memory = service.Engine.MemoryTokens
		}
		g.options.Fleet.SetMemory(service.Name, memory)
		g.options.Fleet.SetColdRate(service.Name, service.ColdRate)
	}
}

// Configuration returns the configuration in force, or nil.
func (g *Gateway) Configuration() *Configuration { return g.configuration.Load() }

// Stop makes the gateway take only requests whose time ends before the host
// does: calls for a while, and no long generations.
func (g *Gateway) Stop(by time.Time) { g.stopBy.Store(&by) }

// Generations returns how many generations are in work.
func (g *Gateway) Generations() int { return int(g.generations.Load()) }

// stopsBefore reports whether this host may end before a moment.
func (g *Gateway) stopsBefore(moment time.Time) bool {
	by := g.stopBy.Load()
	return by != nil && moment.After(*by)
}

// ended reports whether this host has cut off what it had, at the end of its
// stop.
func (g *Gateway) ended() bool {
	by := g.stopBy.Load()
	return by != nil && !time.Now().Before(*by)
}

// stopped is the answer to a request that this host cannot finish any more.
func (g *Gateway) stopped() Outcome {
	if g.options.Others() {
		return refused(ReasonStopping, retryStopping)
	}
	return refused(ReasonStopping, retryAllStopping)
}

// task is a request in work.
type task struct {
	gateway       *Gateway
	request       *Request
	configuration *Configuration
	route         *Route
	organisation  string
	priority      int
	service       *Service
	fingerprint   uint64          // the same when its caller sends it again
	until         time.Time       // the earlier of the route's timeout and the caller's deadline
	sends         int             // to servers that may have run it
	sent          quarantine.Mark // what was known of the request when it was sent last
	server        fleet.Server
	tried         []string // servers that it was sent to, or that took no connection
	moves         int
	firstEvent    time.Duration // from arrival
	lastEvent     time.Time
	longestPause  time.Duration // between events
	pausedAt      time.Duration // from arrival, when the longest pause ended
}

// Serve serves one request. The context ends when the caller is gone.
func (g *Gateway) Serve(ctx context.Context, request *Request, sink Sink) Outcome {
	t := &task{gateway: g, request: request, configuration: g.configuration.Load()}
	outcome := t.serve(ctx, sink)
	t.log(outcome)
	return outcome
}

func (t *task) serve(ctx context.Context, sink Sink) Outcome {
	if t.configuration == nil {
		return refused(ReasonNoConfiguration, retryNoConfiguration)
	}
	if denial, ok := t.admit(ctx); !ok {
		return denial
	}
	t.until = t.request.Arrived.Add(t.route.Timeout)
	if t.request.Deadline.Before(t.until) {
		t.until = t.request.Deadline
	}
	if t.gateway.stopsBefore(t.until) {
		return t.gateway.stopped()
	}
	ctx, cancel := context.WithDeadline(ctx, t.until)
	defer cancel()
	t.fingerprint = t.request.fingerprint(t.organisation)
	ctx, over, left := t.untilQuarantined(ctx)
	defer over()
	if left > 0 {
		return refused(ReasonQuarantined, left)
	}
	outcome := t.run(ctx, sink)
	if context.Cause(ctx) == errQuarantined && !outcome.Complete {
		return t.quarantined(outcome)
	}
	return outcome
}

// run serves a request that is admitted.
func (t *task) run(ctx context.Context, sink Sink) Outcome {
	if t.route.Kind == Generation {
		t.gateway.generations.Add(1)
		defer t.gateway.generations.Add(-1)
		return t.generate(ctx, sink)
	}
	return t.call(ctx)
}

// admit finds the route and the organisation.
//
// Failure: this host is behind, as it is cut off from the store or has just
// started, and calls a route or key unknown that was added a moment ago. The
// caller would give up for good on a proper request. Such an answer is given
// only when the configuration is surely the newest; until then the request is
// refused as not run.
func (t *task) admit(ctx context.Context) (Outcome, bool) {
	if _, ok := t.lookUp(); ok {
		return Outcome{}, true
	}
	if !t.gateway.options.Confirm(ctx) {
		return refused(ReasonStale, retryNoServer), false
	}
	// What was confirmed may be newer than what the request began with.
	t.configuration = t.gateway.configuration.Load()
	return t.lookUp()
}

func (t *task) lookUp() (Outcome, bool) {
	t.route = t.configuration.Route(t.request.Host, t.request.Path)
	if t.route == nil {
		return denied(http.StatusNotFound, ReasonNoRoute), false
	}
	t.priority = t.route.Priority
	if t.configuration.NeedsKey(t.route) {
		organisation, ok := t.configuration.Organisation(t.request.Key)
		if !ok {
			return denied(http.StatusUnauthorized, ReasonBadKey), false
		}
		t.organisation = organisation.Name
		if organisation.Priority != nil {
			t.priority = *organisation.Priority
		}
	}
	name := t.route.target(rand.IntN)
	t.service = t.configuration.Services[name]
	if t.service == nil {
		t.service = &Service{Name: name}
	}
	return Outcome{}, true
}

func (t *task) callTo(server fleet.Server) Call {
	return Call{
		Server: server, Request: t.request, Organisation: t.organisation, Priority: t.priority,
		Until: t.until, Stream: t.route.Kind == Generation,
	}
}
