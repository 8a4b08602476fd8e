package allocation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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

	// placeTimeout bounds the question for a place; it takes 3 ms between
	// failure domains.
	placeTimeout = 80 * time.Millisecond
	// avoidFor is how long an allocator that did not answer is not asked; twice
	// as long each time it does not answer then, up to avoidMost.
	avoidFor  = time.Second
	avoidMost = 8 * time.Second
)

// Peers reaches other entry hosts; *peer.Node is one.
type Peers interface {
	Members() []peer.Member
	// Generation rises with every change of Members but its versions.
	Generation() uint64
	Call(host string, f func(grpc.ClientConnInterface) error) error
}

// Client asks the allocators, and decides by itself where they do not answer.
type Client struct {
	host   string
	domain string
	peers  Peers
	local  *Allocator
	fleet  *fleet.Table
	logger *zap.Logger
	// Told is called with each word of an allocator on the newest
	// configuration; nil: with none. It must not block.
	Told func(allocator string, revision uint64)
	// ToldEvacuated is called with each word of an allocator on the newest
	// evacuation of a failure domain; nil: with none. It must not block.
	ToldEvacuated func(allocator string, revision uint64)

	view atomic.Pointer[view]

	mu        sync.Mutex              // guards all below
	avoided   map[string]rest         // by host: those that did not answer
	leaving   map[string]knownLeaving // by allocator
	disturbed time.Time               // when the store last failed to answer an allocator, as told
	revision  uint64                  // of the newest configuration, as told
	revisedAt time.Time               // when it was asked for
}

// Newest returns the revision of the newest configuration, as an allocator
// said, and how long ago it was asked.
func (c *Client) Newest() (revision uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, time.Since(c.revisedAt)
}

func (c *Client) toldRevision(revision uint64, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision >= c.revision {
		c.revision, c.revisedAt = revision, asked
	}
}

// Undisturbed returns how long ago the store last failed to answer an
// allocator, as far as this host was told.
func (c *Client) Undisturbed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.disturbed)
}

func (c *Client) toldDisturbed(ago time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := time.Now().Add(-ago); at.After(c.disturbed) {
		c.disturbed = at
	}
}

// NewClient returns the client of a host, with its own allocator.
func NewClient(host, domain string, peers Peers, local *Allocator, table *fleet.Table, logger *zap.Logger) *Client {
	c := &Client{host: host, domain: domain, peers: peers, local: local, fleet: table, logger: logger, avoided: map[string]rest{}, leaving: map[string]knownLeaving{}}
	if local != nil {
		local.ColdShare = c.coldShare
	}
	return c
}

// allocatorsColdShare is what the allocator of a part may give cold servers of
// the requests that they bear; the hosts that decide by themselves share the
// rest. What servers bear above the stated rate is left for the moments in
// which two hosts take themselves for the allocator.
const allocatorsColdShare = 0.5

// coldShare returns the part of what a cold server bears that this host may
// give it.
func (c *Client) coldShare(part Part) float64 {
	if c.chosen(part) == c.host {
		return allocatorsColdShare
	}
	return (1 - allocatorsColdShare) / float64(max(1, c.hosts()))
}

// Place chooses a server for a generation, or returns "" if none has a place.
// Where this host's part of the service is full, or another one far emptier,
// that one is asked.
func (c *Client) Place(ctx context.Context, service string, asked Asked, except []string) string {
	placed := c.placeIn(ctx, c.cut(service).partOf(c.domain, c.host), asked, except)
	if placed.Elsewhere.Service == "" {
		return placed.Server
	}
	asked.Settled = true
	return c.placeIn(ctx, placed.Elsewhere, asked, except).Server
}

func (c *Client) placeIn(ctx context.Context, part Part, asked Asked, except []string) Placed {
	allocator := c.allocator(part)
	// Other hosts may reach servers that this one does not, and be welcome there.
	except = append(c.fleet.Avoided(part.Service), except...)
	if allocator == c.host {
		return c.placeHere(part, asked, except)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var response *allocationpb.PlaceResponse
	err := c.call(ctx, allocator, func(client allocationpb.AllocationClient) (err error) {
		response, err = client.Place(ctx, &allocationpb.PlaceRequest{
			Host: c.host, FailureDomain: c.domain, Part: part.message(), Request: asked.Request, Fingerprint: asked.Fingerprint, Except: except,
			PromptTokens: uint32(asked.Need.PromptTokens), OutputTokens: uint32(asked.Need.OutputTokens), Settled: asked.Settled,
		})
		return err
	})
	if err != nil {
		return c.placeHere(part, asked, except)
	}
	return Placed{Server: response.GetServer(), Elsewhere: partFrom(response.GetElsewhere())}
}

// placeHere places by this host's own view: of the part if others may take it
// for its allocator, else of all servers, as there is nobody to ask for a part.
func (c *Client) placeHere(part Part, asked Asked, except []string) Placed {
	if !c.decidesFor(part) {
		part = Whole(part.Service)
	}
	return c.local.Place(c.host, c.domain, part, asked, except)
}

// TakeTurn waits until a run may move off a leaving server, and returns where
// to ("": nowhere) and what ends the turn.
func (c *Client) TakeTurn(ctx context.Context, service string, move migration.Move) (destination string, end func(), err error) {
	source, _ := c.fleet.Get(move.Source)
	to, end, err := c.takeTurnIn(ctx, c.cut(service).partOf(source.Domain, move.Source), move)
	if err != nil || to.Elsewhere.Service == "" {
		return to.Server, end, err
	}
	end()
	to, end, err = c.takeTurnIn(ctx, to.Elsewhere, move)
	return to.Server, end, err
}

func (c *Client) takeTurnIn(ctx context.Context, part Part, move migration.Move) (to Placed, end func(), err error) {
	allocator := c.allocator(part)
	if allocator != c.host {
		to, err = c.takeTurnAt(ctx, allocator, part, move)
		if err == nil {
			return to, func() { c.endTurnAt(allocator, part, move) }, nil
		}
		if ctx.Err() != nil {
			return Placed{}, nil, ctx.Err()
		}
	}
	to, err = c.local.TakeTurn(ctx, c.host, part, move)
	return to, func() { c.local.EndTurn(part, move.Source, move.Run) }, err
}

func (c *Client) takeTurnAt(ctx context.Context, allocator string, part Part, move migration.Move) (Placed, error) {
	var response *allocationpb.TakeTurnResponse
	err := c.callWaiting(ctx, allocator, func(client allocationpb.AllocationClient) (err error) {
		response, err = client.TakeTurn(ctx, &allocationpb.TakeTurnRequest{
			Host: c.host, Part: part.message(), Source: move.Source, Run: move.Run,
			HeldTokens: uint32(move.Need.PromptTokens), RemainingTokens: uint32(move.Need.OutputTokens), Size: uint32(move.Size),
		})
		return err
	})
	return Placed{Server: response.GetDestination(), Elsewhere: partFrom(response.GetElsewhere())}, err
}

func (c *Client) endTurnAt(allocator string, part Part, move migration.Move) {
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	// Where this is lost the turn ends by itself, some hundred ms later.
	_ = c.call(ctx, allocator, func(client allocationpb.AllocationClient) error {
		_, err := client.EndTurn(ctx, &allocationpb.EndTurnRequest{Host: c.host, Part: part.message(), Source: move.Source, Run: move.Run})
		return err
	})
}

// allocator returns who is asked for a part: the first of its allocators that
// answered when it was asked last, or this host itself if none did.
//
// Failure: an allocator's host is too slow to answer in time, yet held for
// live. Hosts that place by themselves do so blindly; with the next allocator
// all of them go on sharing one view.
func (c *Client) allocator(part Part) string {
	hosts := c.look().allocators(part)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range hosts {
		if host == c.host || time.Now().After(c.avoided[host].until) {
			return host
		}
	}
	return c.host
}

// call calls an allocator, which is to answer before ctx ends, and notes
// whether it did.
func (c *Client) call(ctx context.Context, host string, f func(allocationpb.AllocationClient) error) error {
	err := c.peers.Call(host, func(conn grpc.ClientConnInterface) error { return f(allocationpb.NewAllocationClient(conn)) })
	c.note(host, err, err != nil && context.Cause(ctx) != context.Canceled)
	return err
}

// callWaiting calls an allocator whose answer may take longer than this host
// waits: the end of ctx says nothing of it, nor does its word that the time is
// over, which may come before ctx ends here.
func (c *Client) callWaiting(ctx context.Context, host string, f func(allocationpb.AllocationClient) error) error {
	err := c.peers.Call(host, func(conn grpc.ClientConnInterface) error { return f(allocationpb.NewAllocationClient(conn)) })
	timeOver := status.Code(err) == codes.DeadlineExceeded
	c.note(host, err, err != nil && ctx.Err() == nil && !timeOver)
	return err
}

// note takes in how a call to an allocator ended.
func (c *Client) note(host string, err error, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest, avoided := c.avoided[host]
	switch {
	case silent:
		c.avoided[host] = rest.longer(time.Now())
		if !avoided {
			c.logger.Warn(msgLost, zap.String("allocator", host), zap.Error(err))
		}
	case err == nil && avoided && !time.Now().Before(rest.until):
		delete(c.avoided, host)
		c.logger.Info(msgRegained, zap.String("allocator", host))
	}
}

// rest is how long an allocator that did not answer is not asked.
type rest struct {
	until  time.Time
	lasted time.Duration
}

// longer returns the rest after one more call without an answer: twice as long
// as the last one, if that is over.
func (r rest) longer(now time.Time) rest {
	if now.Before(r.until) {
		return r // calls that were under way together count once
	}
	r.lasted = min(max(avoidFor, 2*r.lasted), avoidMost)
	r.until = now.Add(r.lasted)
	return r
}
