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
	// reportInterval is the time between a host's reports while nothing
	// changes. The allocator knows its own placements since the last report; a
	// report adds which prompts were read and which generations ended, and
	// those changes are reported immediately.
	reportInterval = 200 * time.Millisecond
	// reportingHosts is the fleet size up to which hosts report at
	// reportInterval. In larger fleets each host reports less often, so that an
	// allocator receives at most 320 such reports and 320 reports of changes
	// per second. Processing them takes 6% of a core.
	reportingHosts = 64
	// reportGap is the time over which changes are batched. reportBurst is how
	// many reports of changes a host may send in a row, faster than at the
	// interval.
	reportGap   = 20 * time.Millisecond
	reportBurst = 5
	// refreshInterval is the minimum interval of reports that are sent even if
	// empty. They are sent with the next report, so in fleets of over 224 hosts
	// the report interval is longer and applies instead.
	refreshInterval = 700 * time.Millisecond
	// leavingListTTL is how long after receiving the full list of leaving
	// servers this host accepts responses without it; the list makes up most of
	// the bytes of reports. After that the list is requested in full, because a
	// stale host list entry may meanwhile have made one of the servers usable
	// again in this host's table.
	leavingListTTL = 3 * time.Second
)

// leavingList identifies the list of leaving servers last received from an allocator.
type leavingList struct {
	digest uint64
	at     time.Time // when it was last received in full
}

// leavingDigest returns the digest of the list that this host has from an
// allocator, or zero if the list has to be sent again.
func (c *Client) leavingDigest(allocator string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.leaving[allocator]
	if time.Since(known.at) > leavingListTTL {
		return 0
	}
	return known.digest
}

// recordLeavingList records the digest of a list. The list was received in full
// unless this host already had it.
func (c *Client) recordLeavingList(allocator string, digest, had uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if digest != had {
		c.leaving[allocator] = leavingList{digest, time.Now()}
	}
}

// Run reports this host's load to the allocators until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	// reported is the set of parts whose allocator has load from this host.
	reported, refreshedAt := map[Part]bool{}, time.Time{}
	changes := rate.NewLimiter(rate.Every(c.interval()), reportBurst)
	for c.waitForReport(ctx, changes) == nil {
		refresh := time.Since(refreshedAt) >= refreshInterval
		if refresh {
			refreshedAt = time.Now()
		}
		calls, failed := c.fleet.TakeCallEvidence()
		for service, loads := range c.fleet.OwnGenerations() {
			evidence := c.fleet.TakeEvidence(service)
			partitioning := c.partitioning(service)
			home := partitioning.partOf(c.domain, c.host)
			for _, part := range partitioning.parts() {
				partEvidence, due := forPart(c.fleet, part, evidence), false
				if part == home {
					partEvidence, due = merged(partEvidence, calls), refresh || failed
					calls = nil // reported once, to the allocator of whichever service comes first
				}
				c.reportPart(ctx, part, forPart(c.fleet, part, loads), partEvidence, due, reported)
			}
		}
	}
	return ctx.Err()
}

// merged returns the union of both maps.
func merged(a, b map[string]fleet.Evidence) map[string]fleet.Evidence {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// reportPart sends a report if there is load or evidence to send, if the
// allocator still has load from an earlier report, or if a report is due. A
// response lists the leaving servers if the list differs from the one that this
// host has, and has the revision of the newest configuration if the allocator
// is certain of it; reports that are due keep this host informed of both. Outcomes
// of calls to plain servers are sent at the next report; only a failed call
// causes an early one.
func (c *Client) reportPart(ctx context.Context, part Part, loads map[string]fleet.Load, evidence map[string]fleet.Evidence, due bool, reported map[Part]bool) {
	if len(loads) == 0 && len(evidence) == 0 && !reported[part] && !due {
		return
	}
	// The evidence in a lost report is lost too; a server that keeps failing produces new evidence.
	if c.report(ctx, part, loads, evidence) {
		reported[part] = len(loads) > 0
	}
}

// forPart returns the entries of byServer that concern servers of the part.
func forPart[V any](table *fleet.Table, part Part, byServer map[string]V) map[string]V {
	if part == WholeService(part.Service) {
		return byServer
	}
	inPart := map[string]V{}
	for id, v := range byServer {
		if server, _ := table.Get(id); part.Contains(server) {
			inPart[id] = v
		}
	}
	return inPart
}

// waitForReport waits until the next report is due: immediately when this
// host's work has changed, else after the interval.
//
// If changes were not reported immediately, the allocator would take engines
// for full that have capacity.
func (c *Client) waitForReport(ctx context.Context, changes *rate.Limiter) error {
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
			changed = nil // included in the next report at the interval
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// interval returns the time between two reports of this host.
func (c *Client) interval() time.Duration {
	hostCount := c.hostCount()
	return reportInterval * time.Duration(max(reportingHosts, hostCount)) / reportingHosts
}

// RequestRevision asks an allocator for the newest configuration revision, by an
// early report; see Newest. It returns false if no allocator answered or this host
// is the allocator. In a large fleet regular reports are too far apart to tell
// whether a configuration is the newest.
func (c *Client) RequestRevision(ctx context.Context) bool {
	for service, loads := range c.fleet.OwnGenerations() {
		home := c.partitioning(service).partOf(c.domain, c.host)
		return c.allocator(home) != c.host && c.report(ctx, home, forPart(c.fleet, home, loads), nil)
	}
	return false
}

// firstEventToProto returns the fields for the newest first event, zero if there was
// none lately.
func firstEventToProto(load *fleet.Load) (tokensPerMs float32, ageMs uint32) {
	if load.FirstEvent == nil {
		return 0, 0
	}
	age := time.Since(load.FirstEvent.At)
	if age >= fleet.FirstEventTTL {
		return 0, 0
	}
	return float32(load.FirstEvent.TokensPerMs), uint32(age.Milliseconds())
}

// report sends a part's allocator this host's load there and the outcomes of
// its requests. It returns false if the allocator did not answer, and has
// nothing to do if this host is the allocator.
func (c *Client) report(ctx context.Context, part Part, loads map[string]fleet.Load, evidence map[string]fleet.Evidence) bool {
	allocator := c.allocator(part)
	if allocator == c.host {
		return true
	}
	request := &allocationpb.ReportRequest{Host: c.host, Part: part.toProto(), LeavingDigest: c.leavingDigest(allocator)}
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		load := loads[id]
		reading, age := firstEventToProto(&load)
		request.Loads = append(request.Loads, &allocationpb.ServerLoad{
			Server: id, Requests: uint32(load.Requests), HeldTokens: uint32(load.HeldTokens), UsedTokens: uint32(load.UsedTokens),
			UnreadTokens: uint32(load.UnreadTokens), BriefUnreadTokens: uint32(load.BriefUnreadTokens), PaceUs: uint32(load.Pace.Microseconds()),
			Born: load.Born, ReadingTokensPerMs: reading, ReadingAgeMs: age,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(evidence)) {
		request.Evidence = append(request.Evidence, &allocationpb.ServerEvidence{
			Server: id, Failed: uint32(evidence[id].Failed), Answered: uint32(evidence[id].Answered), Born: evidence[id].Born,
			GapKept: uint32(evidence[id].GapKept), GapMissed: uint32(evidence[id].GapMissed),
		})
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	requestedAt := time.Now()
	var response *allocationpb.ReportResponse
	err := c.call(ctx, allocator, func(client allocationpb.AllocationClient) (err error) {
		response, err = client.Report(ctx, request)
		return err
	})
	if revision := response.GetConfigurationRevision(); revision > 0 {
		c.recordRevision(revision, requestedAt)
		if c.OnRevision != nil {
			c.OnRevision(allocator, revision)
		}
	}
	if revision := response.GetEvacuationRevision(); revision > 0 && c.OnEvacuation != nil {
		c.OnEvacuation(allocator, revision)
	}
	for _, rest := range response.GetShunned() {
		c.fleet.Shun(fleet.Incarnation{ID: rest.GetServer(), Born: rest.GetBorn()}, time.Duration(rest.GetLeftMs())*time.Millisecond)
	}
	if err == nil {
		c.recordLeavingList(allocator, response.GetLeavingDigest(), request.GetLeavingDigest())
	}
	for _, incarnation := range response.GetLeaving() {
		c.fleet.MarkLeaving(fleet.Incarnation{ID: incarnation.GetServer(), Born: incarnation.GetBorn()}, fleet.SourcePeer)
	}
	return err == nil
}
