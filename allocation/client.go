package allocation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/papayasail/papayasail/allocation/allocationpb"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/migration"
	"github.com/papayasail/papayasail/peer"
)

const (
	msgLost     = "allocator does not answer"
	msgRegained = "allocator answers again"

	// placeTimeout bounds a placement, apart from the time for which the request may
	// wait at the allocator, a report, an exchange of offers and the end of a turn. A
	// placement call takes 3 ms between failure domains.
	placeTimeout = 80 * time.Millisecond
	// minBackoff is how long an allocator is not called after its first
	// unanswered call. Each unanswered call after a backoff doubles the backoff,
	// up to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Peers calls other entry hosts. *peer.Node implements it.
type Peers interface {
	Members() []peer.Member
	// Generation returns a counter that increases on every change of Members,
	// except changes of the configuration version of a member.
	Generation() uint64
	// Watchers returns the hosts among Members that watch the store, ordered by
	// name.
	Watchers() []string
	Call(host string, f func(grpc.ClientConnInterface) error) error
}

// Client calls the allocators, and places by itself if they do not answer.
type Client struct {
	host   string
	domain string
	peers  Peers
	local  *Allocator
	fleet  *fleet.Table
	logger *zap.Logger
	// OnRevision is called with each revision of the newest configuration received
	// from an allocator. Nil: not called. It must not block.
	OnRevision func(allocator string, revision uint64)
	// OnEvacuation is called with each revision of the newest evacuation of a
	// failure domain received from an allocator. Nil: not called. It must not
	// block.
	OnEvacuation func(allocator string, revision uint64)

	view atomic.Pointer[view]

	mu                  sync.Mutex             // guards all fields below
	avoided             map[string]backoff     // hosts that did not answer
	leaving             map[string]leavingList // by allocator
	revision            uint64                 // newest configuration, as reported
	revisionRequestedAt time.Time              // when revision was requested
}

// Newest returns the newest configuration revision received from an allocator,
// and the time since it was requested. If none was received, the revision is
// zero and the time is the maximum duration.
func (c *Client) Newest() (revision uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, time.Since(c.revisionRequestedAt)
}

func (c *Client) recordRevision(revision uint64, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision >= c.revision {
		c.revision, c.revisionRequestedAt = revision, asked
	}
}

// NewClient returns the client of a host; local is the host's own allocator.
func NewClient(host, domain string, peers Peers, local *Allocator, table *fleet.Table, logger *zap.Logger) *Client {
	c := &Client{host: host, domain: domain, peers: peers, local: local, fleet: table, logger: logger, avoided: map[string]backoff{}, leaving: map[string]leavingList{}}
	if local != nil {
		local.ColdShare = c.coldShare
	}
	return c
}

// allocatorsColdShare is the share of cold servers' request rate that the
// allocator of a part may use. Hosts that place by themselves divide the rest.
// While two hosts consider themselves the allocator, all hosts together may use
// up to 1.5 times the configured rate. Servers can handle more than the
// configured rate, which covers these periods.
const allocatorsColdShare = 0.5

// coldShare returns the share of cold servers' request rate in a part that this host may use.
// A host that has not met its peers yet does not know who the allocator is.
func (c *Client) coldShare(part Part) float64 {
	sharers := c.fleet.Sharers()
	if !sharers.Joining() && c.preferredAllocator(part) == c.host {
		return allocatorsColdShare
	}
	return (1 - allocatorsColdShare) / float64(max(c.hostCount(), sharers.Count()))
}

// Place chooses a server for a generation. If none has capacity, the request waits
// for at most req.Hold and is then refused, or without a server: the caller may
// call again until the request may be held no longer. If this host's part of the
// service is full, or another part is much emptier, the request is sent to that
// other part.
func (c *Client) Place(ctx context.Context, service string, req PlacementRequest, except []string) Placement {
	if req.Domains != nil && len(req.Domains) == 0 {
		return Placement{} // no failure domain of the service may serve it
	}
	placed := c.placeIn(ctx, c.partitioning(service).partOf(c.domainFor(req), c.host), req, except)
	if placed.Elsewhere.Service == "" {
		return placed
	}
	req.Settled, req.Hold = true, 0 // it waits in the queue of this host's part only
	there := c.placeIn(ctx, placed.Elsewhere, req, except)
	there.Elsewhere = Part{}
	return there
}

// domainFor returns the failure domain whose part is asked for a place: this host's own, or
// one of those in which the request may be served.
func (c *Client) domainFor(req PlacementRequest) string {
	if len(req.Domains) == 0 || slices.Contains(req.Domains, c.domain) {
		return c.domain
	}
	return req.Domains[fleet.ShareIndex(req.Request, len(req.Domains))]
}

// placeIn asks the allocators of a part for a place, one after the other until one
// answers. If none does, this host places by itself.
func (c *Client) placeIn(ctx context.Context, part Part, req PlacementRequest, except []string) Placement {
	// Servers that this host cannot reach, or that requested a backoff from it,
	// may accept other hosts.
	except = append(c.fleet.Avoided(part.Service), except...)
	holdUntil := time.Now().Add(req.Hold)
	for range maxAllocators {
		allocator := c.allocator(part)
		if allocator == c.host {
			break
		}
		call := req
		if c.unanswered(allocator) {
			call.Hold = 0 // it may still not answer
		}
		placed, err := c.placeAt(ctx, allocator, part, call, except)
		if err == nil {
			return placed
		}
		if ctx.Err() != nil {
			return Placement{}
		}
		if req.Hold <= 0 {
			break
		}
		req.Hold = max(0, time.Until(holdUntil))
	}
	return c.placeHere(ctx, part, req, except)
}

// placeAt asks an allocator for a place.
func (c *Client) placeAt(ctx context.Context, allocator string, part Part, req PlacementRequest, except []string) (Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Hold+placeTimeout)
	defer cancel()
	message := req.toProto(time.Now())
	message.Host, message.FailureDomain, message.Part, message.Except = c.host, c.domain, part.toProto(), except
	var response *allocationpb.PlaceResponse
	err := c.call(ctx, allocator, func(client allocationpb.AllocationClient) (err error) {
		response, err = client.Place(ctx, message)
		return err
	})
	return placementFromProto(response), err
}

// placeHere places with this host's own table. If this host is one of the part's
// allocators, it places on the part, because other hosts may consider it the
// allocator too. Otherwise no allocator answers, and it places on all servers of
// the service.
func (c *Client) placeHere(ctx context.Context, part Part, req PlacementRequest, except []string) Placement {
	if !c.mayAllocate(part) {
		part = WholeService(part.Service)
	}
	return c.local.Place(ctx, c.host, c.domain, part, req, except)
}

// TakeTurn waits until a run may move off a leaving server. It returns the
// destination ("" if there is none), which is none of the servers that this host
// avoids, and a function that ends the turn.
func (c *Client) TakeTurn(ctx context.Context, service string, move migration.Move) (destination string, end func(), err error) {
	source, _ := c.fleet.Get(move.Source)
	move.Except = append(c.fleet.Avoided(service), move.Except...)
	to, end, err := c.takeTurnIn(ctx, c.partitioning(service).partOf(source.Domain, move.Source), move)
	if err != nil || to.Elsewhere.Service == "" {
		return to.Server, end, err
	}
	end()
	to, end, err = c.takeTurnIn(ctx, to.Elsewhere, move)
	return to.Server, end, err
}

func (c *Client) takeTurnIn(ctx context.Context, part Part, move migration.Move) (to Placement, end func(), err error) {
	allocator := c.allocator(part)
	if allocator != c.host {
		to, err = c.takeTurnAt(ctx, allocator, part, move)
		if err == nil {
			return to, func() { c.endTurnAt(allocator, part, move) }, nil
		}
		if ctx.Err() != nil {
			return Placement{}, nil, ctx.Err()
		}
	}
	to, err = c.local.TakeTurn(ctx, c.host, part, move)
	return to, func() { c.local.EndTurn(part, move.Source, move.Run) }, err
}

func (c *Client) takeTurnAt(ctx context.Context, allocator string, part Part, move migration.Move) (Placement, error) {
	var response *allocationpb.TakeTurnResponse
	err := c.callWaiting(ctx, allocator, func(client allocationpb.AllocationClient) (err error) {
		response, err = client.TakeTurn(ctx, &allocationpb.TakeTurnRequest{
			Host: c.host, Part: part.toProto(), Source: move.Source, Run: move.Run,
			HeldTokens: uint32(move.Need.PromptTokens), RemainingTokens: uint32(move.Need.OutputTokens), Size: uint32(move.LostWork),
			Except: move.Except,
		})
		return err
	})
	return Placement{Server: response.GetDestination(), Elsewhere: partFromProto(response.GetElsewhere())}, err
}

func (c *Client) endTurnAt(allocator string, part Part, move migration.Move) {
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	// If this call is lost, the turn expires some hundred ms later.
	_ = c.call(ctx, allocator, func(client allocationpb.AllocationClient) error {
		_, err := client.EndTurn(ctx, &allocationpb.EndTurnRequest{Host: c.host, Part: part.toProto(), Source: move.Source, Run: move.Run})
		return err
	})
}

// allocator returns the host to ask for a part: the first of its allocators
// that is not in backoff, or this host if all are.
//
// An allocator may be too slow to answer in time and still be considered live.
// Hosts that then place by themselves do not see each other's placements.
// Falling back to the next allocator keeps a shared view.
func (c *Client) allocator(part Part) string {
	hosts := c.currentView().allocators(part)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range hosts {
		if host == c.host || time.Now().After(c.avoided[host].until) {
			return host
		}
	}
	return c.host
}

// unanswered reports whether an allocator did not answer the last call that counts.
func (c *Client) unanswered(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, avoided := c.avoided[host]
	return avoided
}

// call calls an allocator that has to answer before ctx ends, and records whether it did.
func (c *Client) call(ctx context.Context, host string, f func(allocationpb.AllocationClient) error) error {
	err := c.peers.Call(host, func(conn grpc.ClientConnInterface) error { return f(allocationpb.NewAllocationClient(conn)) })
	c.recordCall(host, err, err != nil && !errors.Is(ctx.Err(), context.Canceled))
	return err
}

// callWaiting calls an allocator whose answer may take longer than this host
// waits. Neither the end of ctx nor a deadline error from the allocator, which
// may arrive before ctx ends here, counts as a failure to answer.
func (c *Client) callWaiting(ctx context.Context, host string, f func(allocationpb.AllocationClient) error) error {
	err := c.peers.Call(host, func(conn grpc.ClientConnInterface) error { return f(allocationpb.NewAllocationClient(conn)) })
	deadlineExceeded := status.Code(err) == codes.DeadlineExceeded
	c.recordCall(host, err, err != nil && ctx.Err() == nil && !deadlineExceeded)
	return err
}

// recordCall records the result of a call to an allocator. unanswered means
// that the allocator did not answer.
func (c *Client) recordCall(host string, err error, unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	backoff, avoided := c.avoided[host]
	switch {
	case unanswered:
		c.avoided[host] = backoff.next(time.Now())
		if !avoided {
			c.logger.Warn(msgLost, zap.String("allocator", host), zap.Error(err))
		}
	case err == nil && avoided && !time.Now().Before(backoff.until):
		delete(c.avoided, host)
		c.logger.Info(msgRegained, zap.String("allocator", host))
	}
}

// backoff is the backoff after an allocator did not answer.
type backoff struct {
	until  time.Time
	lasted time.Duration
}

// next returns the backoff after one more unanswered call: twice the last one, if that has ended.
func (r backoff) next(now time.Time) backoff {
	if now.Before(r.until) {
		return r // concurrent calls count once
	}
	r.lasted = min(max(minBackoff, 2*r.lasted), maxBackoff)
	r.until = now.Add(r.lasted)
	return r
}
