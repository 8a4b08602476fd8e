package fleet

import (
	"slices"
	"time"
)

// stallTimeout is how long a generation may make no progress before its engine is queried for it.
const stallTimeout = 2 * time.Second

// Held is the set of generations that an engine reports.
type Held struct {
	Running []string // request IDs
	Unnamed int      // number of queued or starting generations, reported without IDs
}

// Stalled returns the engines that may get work from this host and on which one
// of its generations is stalled.
func (t *Table) Stalled() []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []Server
	now := time.Now()
	for e := range t.working {
		eligible := e.acceptsRequests() && !t.inBackoff(e.server.ID, now)
		if t.isEngine(e) && eligible && len(e.stalledWork(now)) > 0 {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// stalledWork returns the stalled work on a server. Requires Table.mu.
func (e *entry) stalledWork(now time.Time) []*Work {
	var stalledWork []*Work
	for w := range e.work {
		elsewhere := w.Copied && w.produced == 0
		if !elsewhere && now.Sub(w.progress) >= stallTimeout {
			stalledWork = append(stalledWork, w)
		}
	}
	return stalledWork
}

// Release ends the reservations of stalled generations that the engine no
// longer has, and returns their request IDs. It releases nothing while the
// engine has generations that it reports without an ID.
//
// When connections to an engine go silent, its generations end there unnoticed.
// Their reservations would otherwise block its capacity until their deadlines.
func (t *Table) Release(incarnation Incarnation, held Held) []string {
	t.mu.Lock()
	e := t.entryOf(incarnation)
	var lost []*Work
	if e != nil && held.Unnamed == 0 {
		lost = slices.DeleteFunc(e.stalledWork(time.Now()), func(w *Work) bool { return slices.Contains(held.Running, w.ID) })
	}
	t.mu.Unlock()
	var ids []string
	for _, w := range lost {
		w.End()
		ids = append(ids, w.ID)
	}
	return ids
}
