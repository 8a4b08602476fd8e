package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldWindow is the window over which requests to a cold server are counted:
// the one second to which the rate limit refers, plus the variation in network
// delay.
const coldWindow = 1100 * time.Millisecond

// maxColdTime bounds the cold time that a report or host list entry can set.
const maxColdTime = 10 * time.Minute

// SetColdRate sets how many requests per second each server of a service
// accepts while it is cold; zero: unlimited.
func (t *Table) SetColdRate(name string, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(name).coldRate = perSecond
}

// ApplySelfReport applies the status that a server reported about itself.
func (t *Table) ApplySelfReport(incarnation Incarnation, status SelfReport) {
	switch {
	case status.Leaves:
		t.MarkLeaving(incarnation, SourceAnswer)
	case status.MayLeave:
		t.Suspect(incarnation, SuspectLeaving)
	case status.TakesWork:
		t.Refute(incarnation, RefutedByHealth, status.Asked)
	}
	t.MarkCold(incarnation, status.ColdFor)
	if status.ColdKnown && t.correctCold(incarnation, status.ColdFor) {
		t.announce()
	}
}

// correctCold replaces the cold time of a server's host list entry, which may be older
// than this host's first read of it, and an assumed one with the one that the server
// reports. It reports whether other hosts may not know that the server is cold.
func (t *Table) correctCold(incarnation Incarnation, left time.Duration) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(incarnation)
	if e == nil {
		return false
	}
	now := time.Now()
	listed := now.Add(left).Sub(e.listedColdUntil) < coldNewsResolution
	e.listedColdUntil, e.assumedColdUntil = now.Add(min(left, maxColdTime)), time.Time{}
	t.notifyChanged()
	return !listed && t.recordCold(incarnation.ID, left, now)
}

// AssumeCold makes a server count as cold for some time, until it reports otherwise: a
// connection to it broke, and it may have started again.
func (t *Table) AssumeCold(incarnation Incarnation, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entryOf(incarnation); e != nil {
		e.assumedColdUntil = time.Now().Add(d)
	}
}

// ListedCold returns up to count servers that are cold according to their host list
// entries and whose services have a rate limit for cold servers.
func (t *Table) ListedCold(count int) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var servers []Server
	for _, e := range t.servers {
		if t.service(e.server.Service).coldRate > 0 && now.Before(e.listedColdUntil) && e.acceptsRequests() && len(servers) < count {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// MarkCold applies a server's own report that it remains cold for the given time.
func (t *Table) MarkCold(incarnation Incarnation, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entryOf(incarnation); e != nil {
		e.markColdFor(left)
	}
}

// BoundWhenCold returns the servers at an address that belong to a service with a
// rate limit for cold servers and accept requests.
func (t *Table) BoundWhenCold(address string) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []Server
	for _, s := range t.services {
		if s.coldRate == 0 {
			continue
		}
		for _, e := range s.members.all {
			if e.server.Address == address && e.acceptsRequests() {
				servers = append(servers, e.server)
			}
		}
	}
	return servers
}

// markColdFor makes the server count as cold for at least the given time. Its
// host list entry may be older and does not shorten that time.
func (e *entry) markColdFor(left time.Duration) {
	if until := time.Now().Add(min(left, maxColdTime)); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

func (e *entry) cold(now time.Time) bool {
	return now.Before(e.listedColdUntil) || now.Before(e.coldUntil) || now.Before(e.assumedColdUntil)
}

// recordStart counts a request that this host sent to the server, or placed there
// for another host. Requires mu.
func (e *entry) recordStart(now time.Time) {
	e.pruneStarts(now)
	e.starts = append(e.starts, now)
}

func (e *entry) pruneStarts(now time.Time) {
	expired := 0
	for expired < len(e.starts) && now.Sub(e.starts[expired]) > coldWindow {
		expired++
	}
	e.starts = slices.Delete(e.starts, 0, expired)
}

// coldFull reports whether a host has used up its share of a cold server's rate:
// it has sent or placed the allowed number of requests within coldWindow.
//
// A server that has just started, or a whole failure domain after an outage,
// looks like the emptiest to every host. Together the hosts would send it more
// than it can handle, and it would crash. Hosts that decide by themselves do not
// coordinate: if a host's share is not a whole number, a hash of host and server
// decides whether the host may send one request more. With a share below one,
// some hosts send one request and the others none, and servers are spread over
// hosts.
func (e *entry) coldFull(host string, allowed float64, now time.Time) bool {
	e.pruneStarts(now)
	limit := int(allowed)
	if fraction := allowed - float64(limit); fraction > 0 && hashFraction(host, e.server.ID) < fraction {
		limit++
	}
	return len(e.starts) >= limit
}

// hashFraction returns a fixed number in [0, 1) for a pair of host and server.
func hashFraction(host, server string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(host+"\x00"+server)%steps) / steps
}
