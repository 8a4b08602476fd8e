// Package allocation places generations, and the moves of generations, through
// one entry host for each part of a service, its allocator. In a small fleet a
// service has one part; in a large fleet it is divided into several.
//
// Each host knows only its own share of the load on an engine, and engines'
// load reports are half a second old. Hosts that choose independently send
// several prompts to the engine that looks emptiest to all of them, and the
// copies that they move off a leaving engine queue behind each other. The
// allocator knows the load of all hosts, at most one report interval old, and
// the placements that it has made since.
//
// All hosts derive the allocator from the membership: by rendezvous hashing
// among the hosts that watch the store, or, if the service is divided, among the
// live hosts of the part's failure domain, where hosts that watch the store and
// strong hosts are preferred. The allocator affects only the quality of
// placement. With two allocators, or none, a generation still does not run
// twice, because only the host that received it sends it. A host whose allocators
// do not answer places by itself.
package allocation

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/admission"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/migration"
	"github.com/papayasail/papayasail/placement"
)

const (
	msgGranted = "turn to move granted"
	// MsgPlaced and MsgNoPlace are the log messages of placement results.
	// Package explain uses them to distinguish the causes of lost generations.
	MsgPlaced  = "generation placed"
	MsgNoPlace = "no server has a place"
	msgOnward  = "generation goes to another part of the service"
)

// Allocator places work for the parts of services whose allocator this host is.
// It is safe for concurrent use.
type Allocator struct {
	fleet  *fleet.Table
	limits placement.Limits
	draw   func(n int) int
	logger *zap.Logger
	// Revision returns the revision of this host's configuration if this host is
	// certain that it is the newest, else zero. It is sent in responses to
	// reports and, if Verified is set, with offers. If it is nil, nothing is sent.
	Revision func() uint64
	// Verified returns the time since the store was queried for the value that
	// Revision returns. Nil: not sent to other allocators.
	Verified func() time.Duration
	// OnRelayedRevision is called with the Revision of another allocator and the time
	// since that allocator queried the store for it. Nil: not used. It must not
	// block.
	OnRelayedRevision func(allocator string, revision uint64, age time.Duration)
	// Evacuated returns the newest revision of an evacuation known to this
	// host. It is sent to other hosts. Nil: not sent.
	Evacuated func() uint64
	// ColdShare returns the share of the request rate of cold servers in a part
	// that this host may use. Nil: all of it.
	ColdShare func(part Part) float64
	// Metrics records the generations that wait. Nil: not recorded.
	Metrics *admission.Metrics

	mu              sync.Mutex // guards the maps below
	queues          map[Part]*moveQueue
	placementQueues map[Part]*placementQueue

	refusals   *refusals
	offerTable *offerTable
}

// PlacementRequest is a generation that needs a server.
type PlacementRequest struct {
	Request string // request ID, for the log
	// Fingerprint is the same if a request is retried with another ID; zero: unknown.
	Fingerprint uint64
	Need        placement.Need
	// Domains are the failure domains in which it may be served; none: all.
	Domains []string
	// Settled is set if another part forwarded the request. It is not forwarded again.
	Settled bool
	// Organisation is the one that the request counts against.
	Organisation string
	Rank         int // priority; 0 is served first
	// Arrived is when the caller's attempt arrived; zero: now.
	Arrived time.Time
	// Hold is how long the request may wait for a place in this call; zero: not at all.
	Hold time.Duration
	// GiveUp is when the caller gives up if its answer has not begun; zero: the
	// request does not wait, and the fields below are not used.
	GiveUp time.Time
	// Goal is until when the first event is on time.
	Goal time.Time
	// Deadline is until when the generation has to end.
	Deadline time.Time
	// HonourShare is the share of the time left to Deadline for which the caller
	// honours a retry delay.
	HonourShare float64
	// AskedBefore is set if an earlier call for this attempt ended without a place.
	AskedBefore bool
}

// Placement is the result of a placement: a server, another part to send the
// request to instead, a final refusal, or none of them.
type Placement struct {
	Server    string
	Elsewhere Part // none if its service is empty
	// Refused is set if the request is refused for good, with the reason; RetryAfter
	// is when its caller should retry.
	Refused    bool
	Reason     string
	RetryAfter time.Duration
	Held       time.Duration // how long the request has waited
	Forecast   time.Duration // expected wait until it is placed; zero: not known
}

// moveQueue is the migration queue of one part of a service.
type moveQueue struct {
	queue *migration.Queue
	wake  chan struct{} // receives a token when the queue has to be stepped
}

// NewAllocator returns an allocator that places work on the servers in table; draw breaks ties.
func NewAllocator(table *fleet.Table, limits placement.Limits, draw func(n int) int, logger *zap.Logger) *Allocator {
	return &Allocator{fleet: table, limits: limits, draw: draw, logger: logger, queues: map[Part]*moveQueue{}, placementQueues: map[Part]*placementQueue{}, refusals: newRefusals(), offerTable: newOfferTable()}
}

// Place chooses a server for a host's generation and reserves capacity for it
// there until the host's own report includes it. If no server of the part has a
// place, or another part is cheaper by more than the cost of crossing failure
// domains, that other part is returned instead, provided it has an offer. Parts
// of undivided services and settled requests are not sent to another part.
//
// Without a place, the request waits for its turn for at most req.Hold, or until
// ctx ends.
func (a *Allocator) Place(ctx context.Context, host, domain string, part Part, req PlacementRequest, except []string) Placement {
	if part.Domain != "" && !req.Settled {
		a.offerTable.observe(req.Need)
	}
	t := &ticket{host: host, domain: domain, except: except, request: req, result: make(chan Placement, 1)}
	return a.placementQueue(part).place(ctx, t)
}

// betterPart returns the part to send the request to instead, if any. Costs are compared
// for a typical generation, because other parts make their offers for one.
func (a *Allocator) betterPart(part Part, req PlacementRequest, candidates []placement.Candidate, placeHere bool) (Part, bool) {
	if part.Domain == "" || req.Settled {
		return Part{}, false
	}
	brief := req.Need.Brief()
	limit := math.Inf(1)
	if placeHere {
		typical := a.offerTable.typical(brief)
		if own := placement.Costs(typical, candidates, a.limits, 1); len(own) > 0 {
			limit = own[0] - placement.OtherDomainCost(typical)
		}
	}
	return a.offerTable.takeCheapest(part, req.Domains, brief, limit)
}

// offers returns the costs at which a part offers places to generations of other
// parts. Servers with a rate limit take requests of few hosts only.
func (a *Allocator) offers(part Part) (brief, long []float64) {
	candidates := a.candidates(part, part.Domain, a.fleet.RateLimited(part.Service)...)
	return placement.Costs(a.offerTable.typical(true), candidates, a.limits, offersPerPart),
		placement.Costs(a.offerTable.typical(false), candidates, a.limits, offersPerPart)
}

// candidates returns the servers of a part that may get work.
func (a *Allocator) candidates(part Part, domain string, except ...string) []placement.Candidate {
	return a.candidatesIn(nil, part, domain, a.coldShare(part), except...)
}

// coldShare returns the share of the request rate of cold servers that this host may
// use; zero: all of it.
func (a *Allocator) coldShare(part Part) float64 {
	if a.ColdShare == nil {
		return 0
	}
	return a.ColdShare(part)
}

// candidatesIn returns those of the candidates that are in the given failure domains; none:
// all of them.
func (a *Allocator) candidatesIn(domains []string, part Part, domain string, coldShare float64, except ...string) []placement.Candidate {
	if len(domains) == 0 {
		domains = nil
	}
	return a.fleet.CandidatesFor(fleet.Query{
		Service: part.Service, Domain: domain, Share: part.share(), Domains: domains, Except: except, ForOthers: true, ColdShare: coldShare,
	})
}

// TakeTurn waits until a host's run may move. If it succeeds, the turn has to
// be ended with EndTurn. If the part has no server left, another part is
// returned.
func (a *Allocator) TakeTurn(ctx context.Context, host string, part Part, move migration.Move) (to Placement, err error) {
	m := a.moveQueue(part)
	entered := time.Now()
	granted, cancel := m.queue.Enqueue(move)
	m.signal()
	select {
	case grant := <-granted:
		a.logger.Info(msgGranted, zap.String("request", move.Run), zap.String("for", host), zap.String("from", move.Source),
			zap.String("to", grant.Destination), zap.Duration("waited", time.Since(entered)), zap.Int("tokens", move.Need.PromptTokens))
		if grant.Destination != "" {
			a.fleet.ReserveFor(host, grant.Destination, fleet.LoadOf(move.Need, 0, true))
			return Placement{Server: grant.Destination}, nil
		}
		elsewhere, _ := a.offerTable.takeCheapest(part, nil, false, math.Inf(1))
		return Placement{Elsewhere: elsewhere}, nil
	case <-ctx.Done():
	}
	cancel()
	select {
	case <-granted: // granted between the end of ctx and cancel
		a.EndTurn(part, move.Source, move.Run)
	default:
	}
	return Placement{}, ctx.Err()
}

// EndTurn ends a run's turn.
func (a *Allocator) EndTurn(part Part, source, run string) {
	m := a.moveQueue(part)
	m.queue.End(source, run)
	m.signal()
}

// moveQueue returns the migration queue of a part, and starts it on first use.
func (a *Allocator) moveQueue(part Part) *moveQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.queues[part]
	if m == nil {
		m = &moveQueue{wake: make(chan struct{}, 1)}
		m.queue = migration.NewQueue(func(source string) []placement.Candidate {
			server, _ := a.fleet.Get(source)
			return a.candidates(part, server.Domain)
		}, time.Now)
		a.queues[part] = m
		go m.run()
	}
	return m
}

func (m *moveQueue) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run steps the queue until the process ends. There are few parts, so queues are never stopped.
func (m *moveQueue) run() {
	for range m.wake {
		for next := m.queue.GrantReady(); next > 0; next = m.queue.GrantReady() {
			select {
			case <-m.wake:
			case <-time.After(next):
			}
		}
	}
}
