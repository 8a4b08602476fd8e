package fleet

import (
	"math/rand/v2"
	"time"
)

// coldCheckSpacing is the mean time between two checks of a server by all hosts together.
const coldCheckSpacing = 50 * time.Millisecond

// ColdCheckDue records that a request is sent to a server, and reports whether this host has
// to query now whether the server is cold. The parameter first is set if the request is on a
// new connection and no other one to the server was open: the server may have started again
// since, without a connection having broken.
//
// A query that is due too early, or while the server is not to be queried, is made up for with
// a later request. A server is not queried while it counts as cold, and neither if it limits
// its request rate or may be brittle, as a full server rejects queries, too.
func (t *Table) ColdCheckDue(incarnation Incarnation, first bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(incarnation)
	if e == nil || t.service(e.server.Service).coldRate == 0 {
		return false
	}
	e.unobserved = e.unobserved || first
	now := time.Now()
	if !e.unobserved || now.Before(e.nextColdCheck) || !t.mayQueryCold(e, now) {
		return false
	}
	interval := time.Duration(t.sharers.Count()) * coldCheckSpacing
	if e.nextColdCheck.IsZero() { // spreads the first queries of hosts that start together
		e.nextColdCheck = now.Add(rand.N(interval))
		return false
	}
	e.nextColdCheck = now.Add(interval*3/4 + rand.N(interval/2))
	e.unobserved = false
	return true
}

// mayQueryCold requires mu.
func (t *Table) mayQueryCold(e *entry, now time.Time) bool {
	return e.acceptsRequests() && !e.cold(now) && t.acceptsQueries(e, now)
}

// ColdCheckFailed records that a server did not answer the query of a check.
func (t *Table) ColdCheckFailed(incarnation Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entryOf(incarnation); e != nil {
		e.unobserved = true
	}
}
