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

// mostCold bounds the cold time that a report or host list entry can set.
const mostCold = 10 * time.Minute

// SetColdRate sets how many requests per second each server of a service
// accepts while it is cold; zero: unlimited.
func (t *Table) SetColdRate(name string, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(name).coldRate = perSecond
}

// Heed applies the status that a server reported about itself.
func (t *Table) Heed(life Life, word OwnWord) {
	if word.Leaves {
		t.MarkLeaving(life, SourceAnswer)
	}
	t.NoteCold(life, word.ColdFor)
}

// NoteCold applies a server's own report that it remains cold for the given time.
func (t *Table) NoteCold(life Life, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entryOf(life); e != nil {
		e.coldFor(left)
	}
}

// BoundWhenCold returns the servers at an address whose service has a rate limit for cold servers.
func (t *Table) BoundWhenCold(address string) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []Server
	for _, s := range t.services {
		for _, e := range s.members {
			if s.coldRate > 0 && e.server.Address == address && e.takesRequests() {
				servers = append(servers, e.server)
			}
		}
	}
	return servers
}

// coldFor makes the server count as cold for at least the given time. Its host
// list entry may be older and does not shorten that time.
func (e *entry) coldFor(left time.Duration) {
	if until := time.Now().Add(min(left, mostCold)); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

func (e *entry) cold(now time.Time) bool { return now.Before(e.slowUntil) || now.Before(e.coldUntil) }

// noteStart counts a request sent to the server. Requires mu.
func (e *entry) noteStart(now time.Time) {
	e.dropStarts(now)
	e.starts = append(e.starts, now)
}

func (e *entry) dropStarts(now time.Time) {
	over := 0
	for over < len(e.starts) && now.Sub(e.starts[over]) > coldWindow {
		over++
	}
	e.starts = slices.Delete(e.starts, 0, over)
}

// coldFull reports whether a host has used up its share of a cold server's
// rate.
//
// A server that has just started, or a whole failure domain after an outage,
// looks like the emptiest to every host. Together the hosts would send it more
// than it can handle, and it would crash again. Hosts that decide by themselves
// do not coordinate: if a host's share is below one request, a hash decides
// which hosts may send one and which none, and spreads servers over hosts.
func (e *entry) coldFull(host string, allowed float64, now time.Time) bool {
	e.dropStarts(now)
	whole := int(allowed)
	if part := allowed - float64(whole); part > 0 && hashShare(host, e.server.ID) < part {
		whole++
	}
	return len(e.starts) >= whole
}

// hashShare returns a fixed number in [0, 1) for a pair of host and server.
func hashShare(host, server string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(host+"\x00"+server)%steps) / steps
}
