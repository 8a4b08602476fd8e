package allocation

import (
	"context"
	"sync"
	"time"

	"github.com/papayasail/papayasail/allocation/allocationpb"
	"github.com/papayasail/papayasail/internal/sleep"
)

// Exchange sends the offers of the parts that this host allocates to the
// allocators of other parts, until ctx ends.
func (c *Client) Exchange(ctx context.Context) error {
	for sleep.For(ctx, offerInterval) == nil {
		for _, service := range c.fleet.EngineServices() {
			c.sendOffers(ctx, c.partitioning(service).parts())
		}
	}
	return ctx.Err()
}

// sendOffers sends this host's offers for the parts of a service.
func (c *Client) sendOffers(ctx context.Context, parts []Part) {
	if len(parts) <= 1 {
		return
	}
	request := &allocationpb.OfferRequest{Host: c.host}
	others := map[string]bool{}
	for _, part := range parts {
		allocator := c.preferredAllocator(part)
		if allocator != c.host {
			others[allocator] = true
			continue
		}
		brief, long := c.local.offers(part)
		c.local.offerTable.update(part, brief, long) // parts allocated by this host also use each other's offers
		request.Offers = append(request.Offers, &allocationpb.PartOffer{Part: part.toProto(), Brief: costsToProto(brief), Long: costsToProto(long)})
	}
	if len(request.Offers) == 0 {
		return
	}
	if c.local.Revision != nil && c.local.Verified != nil {
		request.ConfigurationRevision, request.VerifiedMs = c.local.Revision(), uint32(min(c.local.Verified(), time.Hour).Milliseconds())
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for allocator := range others {
		group.Go(func() {
			// A lost offer is replaced by the next one.
			_ = c.call(ctx, allocator, func(client allocationpb.AllocationClient) error {
				_, err := client.Offer(ctx, request)
				return err
			})
		})
	}
	group.Wait()
}
