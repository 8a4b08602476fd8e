package allocation

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/papayasail/papayasail/allocation/allocationpb"
	"github.com/papayasail/papayasail/evacuation"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/peer"
)

const (
	msgLost     = "allocator does not answer"
	msgRegained = "allocator answers again"

	// placeTimeout bounds the question for a place; it takes 3 ms between
	// failure domains.
	placeTimeout = 80 * time.Millisecond
	// avoidFor is how long an allocator that did not answer is not asked.
	avoidFor = time.Second
)

// Peers reaches other entry hosts; *peer.Node is one.
type Peers interface {
	Members() []peer.Member
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

	mu        sync.Mutex           // guards all below
	avoided   map[string]time.Time // by host: until when it is not asked
	disturbed time.Time            // when the store last failed to answer an allocator, as told
	revision  uint64               // of the newest configuration, as told
	revisedAt time.Time            // when it was asked for
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
	return &Client{host: host, domain: domain, peers: peers, local: local, fleet: table, logger: logger, avoided: map[string]time.Time{}}
}

// parts returns how many parts services are cut into now.
func (c *Client) parts() int { return partsOf(c.peers.Members()) }

// part returns the part of a service to which a server or an entry host belongs.
func (c *Client) part(service, id string) Part {
	count := c.parts()
	return Part{Service: service, Index: partOf(id, count), Count: count}
}

// Place chooses a server for a generation, or returns "" if none has a place.
// Where this host's part of the service is full the next one is asked too.
func (c *Client) Place(ctx context.Context, service string, asked Asked, except []string) string {
	part := c.part(service, c.host)
	if id := c.placeIn(ctx, part, asked, except); id != "" || part.Count <= 1 {
		return id
	}
	part.Index = (part.Index + 1) % part.Count
	return c.placeIn(ctx, part, asked, except)
}

func (c *Client) placeIn(ctx context.Context, part Part, asked Asked, except []string) string {
	allocator := c.allocator(part)
	if allocator == c.host {
		return c.placeHere(part, asked, except)
	}
	// The allocator may reach a server that this host does not.
	except = append(c.fleet.Avoided(part.Service), except...)
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var response *allocationpb.PlaceResponse
	err := c.call(ctx, allocator, func(client allocationpb.AllocationClient) (err error) {
		response, err = client.Place(ctx, &allocationpb.PlaceRequest{
			Host: c.host, FailureDomain: c.domain, Part: part.message(), Request: asked.Request, Fingerprint: asked.Fingerprint, Except: except,
			PromptTokens: uint32(asked.Need.PromptTokens), OutputTokens: uint32(asked.Need.OutputTokens),
		})
		return err
	})
	if err != nil {
		return c.placeHere(part, asked, except)
	}
	return response.GetServer()
}

// placeHere places by this host's own view: of the part if it is its
// allocator, else of all servers, as there is nobody to ask for a part.
func (c *Client) placeHere(part Part, asked Asked, except []string) string {
	if Chosen(c.peers.Members(), part) != c.host {
		part = Whole(part.Service)
	}
	return c.local.Place(c.host, c.domain, part, asked, except)
}

// TakeTurn waits until a run may move off a leaving server, and returns where
// to ("": nowhere) and what ends the turn.
func (c *Client) TakeTurn(ctx context.Context, service string, move evacuation.Move) (destination string, end func(), err error) {
	part := c.part(service, move.Source)
	allocator := c.allocator(part)
	if allocator != c.host {
		destination, err = c.takeTurnAt(ctx, allocator, part, move)
		if err == nil {
			return destination, func() { c.endTurnAt(allocator, part, move) }, nil
		}
		if ctx.Err() != nil {
			return "", nil, ctx.Err()
		}
	}
	destination, err = c.local.TakeTurn(ctx, c.host, part, move)
	return destination, func() { c.local.EndTurn(part, move.Source, move.Run) }, err
}

func (c *Client) takeTurnAt(ctx context.Context, allocator string, part Part, move evacuation.Move) (string, error) {
	var response *allocationpb.TakeTurnResponse
	err := c.call(ctx, allocator, func(client allocationpb.AllocationClient) (err error) {
		response, err = client.TakeTurn(ctx, &allocationpb.TakeTurnRequest{
			Host: c.host, Part: part.message(), Source: move.Source, Run: move.Run,
			HeldTokens: uint32(move.Need.PromptTokens), RemainingTokens: uint32(move.Need.OutputTokens), Size: uint32(move.Size),
		})
		return err
	})
	return response.GetDestination(), err
}

func (c *Client) endTurnAt(allocator string, part Part, move evacuation.Move) {
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	// Where this is lost the turn ends by itself, some hundred ms later.
	_ = c.call(ctx, allocator, func(client allocationpb.AllocationClient) error {
		_, err := client.EndTurn(ctx, &allocationpb.EndTurnRequest{Host: c.host, Part: part.message(), Source: move.Source, Run: move.Run})
		return err
	})
}

// allocator returns who is asked for a part: this host itself where the chosen
// one did not answer a moment ago.
func (c *Client) allocator(part Part) string {
	chosen := Chosen(c.peers.Members(), part)
	c.mu.Lock()
	defer c.mu.Unlock()
	if chosen == "" || time.Now().Before(c.avoided[chosen]) {
		return c.host
	}
	return chosen
}

// call calls an allocator and notes whether it answered.
func (c *Client) call(ctx context.Context, host string, f func(allocationpb.AllocationClient) error) error {
	err := c.peers.Call(host, func(conn grpc.ClientConnInterface) error { return f(allocationpb.NewAllocationClient(conn)) })
	c.mu.Lock()
	defer c.mu.Unlock()
	_, avoided := c.avoided[host]
	switch {
	case err != nil && context.Cause(ctx) != context.Canceled:
		c.avoided[host] = time.Now().Add(avoidFor)
		if !avoided {
			c.logger.Warn(msgLost, zap.String("allocator", host), zap.Error(err))
		}
	case err == nil && avoided:
		delete(c.avoided, host)
		c.logger.Info(msgRegained, zap.String("allocator", host))
	}
	return err
}
