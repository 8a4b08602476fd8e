package allocation

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/papayasail/papayasail/allocation/allocationpb"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	// reportInterval spaces a host's reports while nothing changes. What the
	// allocator placed since the last one it knows by itself, so a report
	// tells what was read or has ended, and that goes out at once.
	reportInterval = 200 * time.Millisecond
	// reportingHosts is how many hosts report at that interval; in larger
	// fleets each reports less often, so that an allocator hears 320 of these
	// reports a second at most, and as many again of changes: 6% of a core.
	reportingHosts = 64
	// reportGap gathers changes that come together; reportBurst is how many
	// reports of changes a host may send in a row, faster than at the interval.
	reportGap   = 20 * time.Millisecond
	reportBurst = 5
	// refreshInterval repeats an empty report.
	refreshInterval = 700 * time.Millisecond
	// leavingKept is for how long the list of leaving servers is not asked for
	// again. An entry that is older than the list may have undone a part of it
	// here. The list is most of the bytes of reports.
	leavingKept = 3 * time.Second
)

// knownLeaving is the list of leaving servers that an allocator told last.
type knownLeaving struct {
	digest uint64
	at     time.Time // when it was told in full
}

// leavingKnown returns the digest of the list that this host has of an
// allocator, or zero if it is to be told again.
func (c *Client) leavingKnown(allocator string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.leaving[allocator]
	if time.Since(known.at) > leavingKept {
		return 0
	}
	return known.digest
}

// toldLeaving notes the digest of a list; it was told in full unless this host
// had it.
func (c *Client) toldLeaving(allocator string, digest, had uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if digest != had {
		c.leaving[allocator] = knownLeaving{digest, time.Now()}
	}
}

// Run reports this host's load to the allocators until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	reported, at := map[Part]bool{}, time.Time{} // parts whose allocator was told of work
	changes := rate.NewLimiter(rate.Every(c.interval()), reportBurst)
	for c.pause(ctx, changes) == nil {
		refresh := time.Since(at) >= refreshInterval
		if refresh {
			at = time.Now()
		}
		calls, failed := c.fleet.TakeCallEvidence()
		for service, loads := range c.fleet.OwnGenerations() {
			evidence := c.fleet.TakeEvidence(service)
			cut := c.cut(service)
			home := cut.partOf(c.domain, c.host)
			for _, part := range cut.parts() {
				seen, due := held(c.fleet, part, evidence), false
				if part == home {
					seen, due = merged(seen, calls), refresh || failed
					calls = nil // told once, whichever service's allocator hears of them
				}
				c.reportPart(ctx, part, held(c.fleet, part, loads), seen, due, reported)
			}
		}
	}
	return ctx.Err()
}

// merged returns what either map holds.
func merged(a, b map[string]fleet.Evidence) map[string]fleet.Evidence {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// reportPart reports where there is something to tell, or to hear: with work
// there, the answer says which servers leave; where it is due, this host's own
// part tells it of the newest configuration. How calls ended is told beside
// other things, and for itself only where one failed.
func (c *Client) reportPart(ctx context.Context, part Part, loads map[string]fleet.Load, evidence map[string]fleet.Evidence, due bool, reported map[Part]bool) {
	if len(loads) == 0 && len(evidence) == 0 && !reported[part] && !due {
		return
	}
	// Where a report is lost its evidence is too; what goes on failing makes
	// new evidence.
	if c.report(ctx, part, loads, evidence) {
		reported[part] = len(loads) > 0
	}
}

// held returns what is said of the servers of a part.
func held[V any](table *fleet.Table, part Part, byServer map[string]V) map[string]V {
	if part == Whole(part.Service) {
		return byServer
	}
	inPart := map[string]V{}
	for id, v := range byServer {
		if server, _ := table.Get(id); part.Holds(server) {
			inPart[id] = v
		}
	}
	return inPart
}

// pause waits until the next report is due: at once when this host's work has
// changed, else after the interval.
//
// Without changes at once an allocator holds engines for full that have room.
func (c *Client) pause(ctx context.Context, changes *rate.Limiter) error {
	if err := sleep.For(ctx, reportGap); err != nil {
		return err
	}
	interval := c.interval()
	changes.SetLimit(rate.Every(interval))
	timer := time.NewTimer(interval - reportGap)
	defer timer.Stop()
	changed := c.fleet.OwnChanged()
	for {
		select {
		case <-changed:
			if changes.Allow() {
				return nil
			}
			changed = nil // the next report at the interval tells it
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// interval returns the time between two reports of this host.
func (c *Client) interval() time.Duration {
	hosts := c.hosts()
	return reportInterval * time.Duration(max(reportingHosts, hosts)) / reportingHosts
}

// report tells a part's allocator what this host runs there, and how its
// requests ended.
func (c *Client) report(ctx context.Context, part Part, loads map[string]fleet.Load, evidence map[string]fleet.Evidence) bool {
	allocator := c.allocator(part)
	if allocator == c.host {
		return true
	}
	request := &allocationpb.ReportRequest{Host: c.host, Part: part.message(), LeavingDigest: c.leavingKnown(allocator)}
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		load := loads[id]
		request.Loads = append(request.Loads, &allocationpb.ServerLoad{
			Server: id, Requests: uint32(load.Requests), HeldTokens: uint32(load.HeldTokens), UsedTokens: uint32(load.UsedTokens),
			UnreadTokens: uint32(load.UnreadTokens), BriefUnreadTokens: uint32(load.BriefUnreadTokens), PaceUs: uint32(load.Pace.Microseconds()),
			Born: load.Born,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(evidence)) {
		request.Evidence = append(request.Evidence, &allocationpb.ServerEvidence{
			Server: id, Failed: uint32(evidence[id].Failed), Answered: uint32(evidence[id].Answered), Born: evidence[id].Born,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	asked := time.Now()
	var response *allocationpb.ReportResponse
	err := c.call(ctx, allocator, func(client allocationpb.AllocationClient) (err error) {
		response, err = client.Report(ctx, request)
		return err
	})
	if revision := response.GetConfigurationRevision(); revision > 0 {
		c.toldRevision(revision, asked)
		if c.Told != nil {
			c.Told(allocator, revision)
		}
	}
	if revision := response.GetEvacuationRevision(); revision > 0 && c.ToldEvacuated != nil {
		c.ToldEvacuated(allocator, revision)
	}
	for _, rest := range response.GetShunned() {
		c.fleet.Shun(fleet.Life{ID: rest.GetServer(), Born: rest.GetBorn()}, time.Duration(rest.GetLeftMs())*time.Millisecond)
	}
	if ms := response.GetUndisturbedMs(); ms > 0 {
		c.toldDisturbed(time.Duration(ms) * time.Millisecond)
	}
	if err == nil {
		c.toldLeaving(allocator, response.GetLeavingDigest(), request.GetLeavingDigest())
	}
	for _, life := range response.GetLeaving() {
		c.fleet.MarkLeaving(fleet.Life{ID: life.GetServer(), Born: life.GetBorn()}, fleet.SourcePeer)
	}
	return err == nil
}
