// Package gateway serves requests: it looks up the route and the organisation,
// selects a backend server, forwards the request, relays the answer, moves
// generations off leaving servers, and reports for each failed request whether
// it ran. It does not depend on the wire formats of callers and servers.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/bytebudget"
	"github.com/papayasail/papayasail/internal/defaults"
	"github.com/papayasail/papayasail/placement"
	"github.com/papayasail/papayasail/quarantine"
)

const (
	// retryNoConfiguration is the retry delay at a host that has just started;
	// it receives the configuration within a few hundred ms.
	retryNoConfiguration = 300 * time.Millisecond
	// retryStopping sends callers to another host immediately; retryAllStopping
	// is the retry delay while no other host accepts requests. A restarted host
	// is back after about one second, and the shortest latency goal is 1.5 s.
	retryStopping    = 20 * time.Millisecond
	retryAllStopping = time.Second
	// retryNoServer is the retry delay while no server is available or reachable,
	// another server has the address, or the configuration may be stale.
	// Replacing a server takes about one second.
	retryNoServer = 500 * time.Millisecond
	// defaultAnswerMemory is the default of Options.AnswerMemory.
	defaultAnswerMemory = 32 << 20
)

// Options configures a Gateway. All fields but RegionOf and PathLost are required.
type Options struct {
	Domain string // failure domain of this host
	// RegionOf returns the region of a failure domain, or "" if that is not known; nil: no
	// region is known.
	RegionOf func(domain string) string
	Fleet    *fleet.Table
	Backend  Backend
	// Allocator places generations and grants turns to migrate them.
	Allocator Allocator
	Budget    *Budget
	// FailedCalls recognises calls that their callers repeat after failures at other hosts.
	FailedCalls FailedCalls
	// Quarantine blocks requests that crash backend servers.
	Quarantine *quarantine.Table
	Logger     *zap.Logger
	Limits     placement.Limits
	// Confirm reports whether the configuration in force on this host is
	// certainly the newest accepted one. It may query the store.
	Confirm func(ctx context.Context) bool
	// PathLost reports whether this host itself does not reach a server's address, while
	// other hosts do; nil: not known. It may dial the server.
	PathLost func(ctx context.Context, address string) bool
	// OtherHostsAvailable reports whether another entry host accepts requests.
	OtherHostsAvailable func() bool
	// AnswerMemory bounds the memory of all answers and events that are buffered at a time,
	// in bytes; zero: defaultAnswerMemory.
	AnswerMemory int64
	Metrics      *Metrics
}

// Gateway serves requests. All methods may be called from any goroutine.
type Gateway struct {
	options       Options
	configuration atomic.Pointer[Configuration]
	stopDeadline  atomic.Pointer[time.Time] // nil: this host is not stopping
	generations   atomic.Int64              // in flight
	held          heldTable                 // generations that wait for a place
	waitingCalls  callQueues                // calls that wait for a place
	stopping      chan struct{}             // closed when this host begins to stop
	stopOnce      sync.Once
	checks        pathChecks
	retries       *retries
	answers       *bytebudget.Budget // memory of answers and events
}

// New returns a gateway without a configuration.
func New(options Options) *Gateway {
	defaults.Set(&options.AnswerMemory, defaultAnswerMemory)
	return &Gateway{options: options, stopping: make(chan struct{}), retries: newRetries(), answers: bytebudget.New(options.AnswerMemory)}
}

// SetConfiguration puts a configuration in force for new requests.
func (g *Gateway) SetConfiguration(c *Configuration) {
	g.configuration.Store(c)
	g.options.Metrics.configurationProblems.Set(float64(len(c.Problems)))
	g.retries.prune(c)
	g.waitingCalls.prune(c)
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

// lastAnswersTime is the time between the latest deadline that a stopping host accepts and the
// moment at which it cuts off its remaining requests, for sending their answers. It is longer
// than the pause of a process that has used up its processor quota.
const lastAnswersTime = 200 * time.Millisecond

// Stop makes the gateway refuse requests that it could not answer by the given time,
// at which this host cuts off its remaining requests. Short calls are still
// served for a while; long generations are refused, also those that wait for a place.
func (g *Gateway) Stop(by time.Time) {
	g.stopDeadline.Store(&by)
	g.stopOnce.Do(func() { close(g.stopping) })
}

// waitContext returns a context for the wait of a request. It ends with errStopping
// when this host begins to stop and cannot finish the request before its deadline.
func (g *Gateway) waitContext(ctx context.Context, deadline time.Time) (waiting context.Context, cancel func()) {
	waiting, end := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-g.stopping:
			if g.stopsBefore(deadline) {
				end(errStopping)
			}
		case <-waiting.Done():
		}
	}()
	return waiting, func() { end(nil) }
}

// InFlightGenerations returns the number of generations in flight.
func (g *Gateway) InFlightGenerations() int { return int(g.generations.Load()) }

// stopsBefore reports whether this host may stop before a request with the given deadline is
// answered.
func (g *Gateway) stopsBefore(deadline time.Time) bool {
	by := g.stopDeadline.Load()
	return by != nil && deadline.After(by.Add(-lastAnswersTime))
}

// stopDeadlinePassed reports whether the deadline of this host's stop has passed,
// at which it cuts off its remaining requests.
func (g *Gateway) stopDeadlinePassed() bool {
	by := g.stopDeadline.Load()
	return by != nil && !time.Now().Before(*by)
}

// stoppingOutcome returns the outcome of a request that this host cannot finish
// before it stops.
func (g *Gateway) stoppingOutcome() Outcome {
	if g.options.OtherHostsAvailable() {
		return refused(ReasonStopping, retryStopping)
	}
	return refused(ReasonStopping, retryAllStopping)
}

// task is a request in flight.
type task struct {
	gateway       *Gateway
	request       *Request
	configuration *Configuration
	route         *Route
	organisation  string
	priority      int
	service       *Service
	regions       [][]string // lists of regions, each of which binds unless it is nil
	fingerprint   uint64     // equal for retries by the caller
	admission     *quarantine.Admission
	deadline      time.Time     // the earlier of the route's timeout and the caller's deadline
	askedBefore   bool          // a call for a place ended without one
	waited        time.Duration // for a place, in turn
	retryAfter    time.Duration // as the allocator that refused the request says; zero: it did not
	refusal       string        // why the allocator refused the request; "": it did not
	sends         int           // sends to servers that may have received it, including those that reported it as not run
	ownErrors     int           // servers that answered this attempt of the caller with errors of their own
	retryDecision string        // why the call was retried after a server's own error, or not; "": there was none
	server        fleet.Server
	tried         []string        // servers that it was sent to or that refused the connection
	expected      time.Duration   // time that the last server was expected to take for the call; zero: not known
	through       string          // entry host through which the last answer came; "": directly
	shortage      *callShortage   // why a call was not placed; nil: it was, or the reason is another
	failure       error           // why the last attempt got no answer or only a part of one
	framing       backend.Framing // of the last answer; "": there was none
	events        int             // whole events relayed to the caller
	restBytes     int             // bytes of the stream that followed its last whole event
	moves         int
	firstEvent    time.Duration // from arrival
	lastEvent     time.Time
	longestPause  time.Duration       // between events
	pausedAt      time.Duration       // end of the longest pause, from arrival
	written       time.Time           // when the last event was written to the caller
	serverPause   time.Duration       // longest time that the server let this host wait for an event
	gapRecorded   bool                // the gap goal was recorded as kept or missed
	memory        *bytebudget.Account // of the answers read
}

// Serve serves one request. The context must be cancelled when the caller
// disconnects. The caller must call Release of the outcome.
func (g *Gateway) Serve(ctx context.Context, request *Request, sink Sink) Outcome {
	t := &task{gateway: g, request: request, configuration: g.configuration.Load(), memory: g.answers.NewAccount()}
	outcome := t.serve(ctx, sink)
	t.log(outcome)
	if outcome.Body == nil {
		t.memory.Release()
	} else {
		outcome.memory = t.memory
	}
	return outcome
}

func (t *task) serve(ctx context.Context, sink Sink) Outcome {
	if t.configuration == nil {
		return refused(ReasonNoConfiguration, retryNoConfiguration)
	}
	if denial, ok := t.admit(ctx); !ok {
		return denial
	}
	t.deadline = t.request.Arrived.Add(t.route.Timeout)
	if t.request.Deadline.Before(t.deadline) {
		t.deadline = t.request.Deadline
	}
	if t.gateway.stopsBefore(t.deadline) {
		return t.gateway.stoppingOutcome()
	}
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	t.fingerprint = t.request.fingerprint(t.organisation)
	ctx, over, left := t.withQuarantine(ctx)
	defer over()
	if left > 0 {
		return refused(ReasonQuarantined, left)
	}
	outcome := t.run(ctx, sink)
	if context.Cause(ctx) == errQuarantined && !outcome.Complete {
		return t.quarantinedOutcome(outcome)
	}
	return outcome
}

// run serves an admitted request.
func (t *task) run(ctx context.Context, sink Sink) Outcome {
	if t.route.Kind == Generation {
		t.gateway.generations.Add(1)
		defer t.gateway.generations.Add(-1)
		return t.generate(ctx, sink)
	}
	outcome := t.call(ctx)
	t.recordCallEnd(outcome)
	return outcome
}

// admit looks up the route and the organisation.
//
// A host that is cut off from the store or has just started may lack a route or
// key that was added recently. A denial would make the caller give up a valid
// request permanently, so it is returned only if the local configuration is
// confirmed as the newest and was read in full; otherwise the request is refused as not
// run.
func (t *task) admit(ctx context.Context) (Outcome, bool) {
	if _, ok := t.lookUp(); ok {
		return Outcome{}, true
	}
	if !t.gateway.options.Confirm(ctx) {
		return refused(ReasonStale, retryNoServer), false
	}
	// The confirmed configuration may be newer than the one loaded on arrival.
	t.configuration = t.gateway.configuration.Load()
	outcome, ok := t.lookUp()
	if !ok && len(t.configuration.Problems) > 0 {
		return refused(ReasonUnreadable, retryNoServer), false
	}
	return outcome, ok
}

// lookUp looks up the route, the organisation and the service. It returns the outcome of a
// request that the configuration does not allow.
func (t *task) lookUp() (Outcome, bool) {
	t.route = t.configuration.Route(t.request.Host, t.request.Path)
	if t.route == nil {
		return denied(http.StatusNotFound, ReasonNoRoute), false
	}
	if t.route.Unreadable {
		return refused(ReasonUnreadable, retryNoServer), false
	}
	t.priority, t.regions = t.route.Priority, nil
	if t.configuration.NeedsKey(t.route) {
		organisation, ok := t.configuration.Organisation(t.request.Key)
		if !ok {
			return denied(http.StatusUnauthorized, ReasonBadKey), false
		}
		t.organisation, t.regions = organisation.Name, [][]string{organisation.Regions}
		if organisation.Priority != nil {
			t.priority = *organisation.Priority
		}
	}
	t.regions = append(t.regions, t.route.Regions)
	t.service = t.configuration.Services[t.route.target(rand.IntN)]
	if t.service == nil {
		return refused(ReasonNoService, retryNoServer), false
	}
	return Outcome{}, true
}

func (t *task) callTo(server fleet.Server) Call {
	return Call{
		Server: server, Request: t.request, Organisation: t.organisation, Priority: t.priority,
		Deadline: t.deadline, Stream: t.route.Kind == Generation, LastEventID: t.resumedAfter(),
	}
}

// resumedAfter returns the event after which the caller resumes a generation, or "".
func (t *task) resumedAfter() string {
	if t.route.Kind != Generation || !t.route.Resumable {
		return ""
	}
	return t.request.LastEventID
}
