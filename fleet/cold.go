package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldWindow is the span over which requests to a cold server are counted: the
// second for which the bound is given, and what sends differ in their way.
const coldWindow = 1100 * time.Millisecond

// mostCold bounds what an entry's word on how long its server stays cold can do.
const mostCold = 10 * time.Minute

// SetColdRate notes how many requests a second each server of a service takes
// while it is cold; zero: there is no bound.
func (t *Table) SetColdRate(name string, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(name).coldRate = perSecond
}

// Heed takes in what a server says of itself.
func (t *Table) Heed(life Life, word OwnWord) {
	if word.Leaves {
		t.MarkLeaving(life, SourceAnswer)
	}
	t.NoteCold(life, word.ColdFor)
}

// NoteCold takes in a server's own word that it stays cold for so long.
func (t *Table) NoteCold(life Life, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entryOf(life); e != nil {
		e.coldFor(left)
	}
}

// BoundWhenCold returns the servers at an address whose service has a bound on
// the requests that a cold one takes.
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

// coldFor makes the server count as cold for so long at least, whatever its
// entry says, which may be older.
func (e *entry) coldFor(left time.Duration) {
	if until := time.Now().Add(min(left, mostCold)); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

func (e *entry) cold(now time.Time) bool { return now.Before(e.slowUntil) || now.Before(e.coldUntil) }

// noteStart counts a request that is sent to the server. Called with mu held.
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

// coldFull reports whether a cold server has got from a host as many requests
// as it allows a second.
//
// Failure: a server has just started, or a whole failure domain is back, and
// looks like the emptiest of all to every host. Together they send it more than
// it bears, and it crashes again. Hosts that decide by themselves do not ask
// each other: where a host's part is below one request, some hosts have one and
// the others none, by a hash that spreads servers over hosts.
func (e *entry) coldFull(host string, allowed float64, now time.Time) bool {
	e.dropStarts(now)
	whole := int(allowed)
	if part := allowed - float64(whole); part > 0 && hashShare(host, e.server.ID) < part {
		whole++
	}
	return len(e.starts) >= whole
}

// hashShare returns a number from 0 to 1 that a host has for a server.
func hashShare(host, server string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(host+"\x00"+server)%steps) / steps
}
