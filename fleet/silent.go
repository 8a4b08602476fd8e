package fleet

import (
	"slices"
	"time"
)

// silentAfter is how long a generation makes no progress before its engine is
// asked whether it still has it.
const silentAfter = 2 * time.Second

// Held is what an engine says of the generations that it has.
type Held struct {
	Running []string // IDs of their requests
	Unnamed int      // those that wait or have not begun, whose IDs it does not say
}

// Silent returns the engines that may get work of this host and at which one of
// its generations makes no progress.
func (t *Table) Silent() []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []Server
	now := time.Now()
	for _, e := range t.servers {
		mayGetWork := e.takesRequests() && !t.resting(e.server.ID, now)
		if t.isEngine(e) && mayGetWork && len(e.silent(now)) > 0 {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// silent returns the work on a server that makes no progress. Called with the
// table's mu held.
func (e *entry) silent(now time.Time) []*Work {
	var silent []*Work
	for w := range e.work {
		elsewhere := w.Copied && w.produced == 0
		if !elsewhere && now.Sub(w.progress) >= silentAfter {
			silent = append(silent, w)
		}
	}
	return silent
}

// Release ends the bookings of generations that make no progress and that their
// engine has no more, and returns their IDs. While the engine has generations
// that it does not name, nothing is released.
//
// Failure: connections to an engine go silent. Its generations end there, and
// their bookings keep others from its places until their deadlines.
func (t *Table) Release(life Life, held Held) []string {
	t.mu.Lock()
	e := t.entryOf(life)
	var lost []*Work
	if e != nil && held.Unnamed == 0 {
		lost = slices.DeleteFunc(e.silent(time.Now()), func(w *Work) bool { return slices.Contains(held.Running, w.ID) })
	}
	t.mu.Unlock()
	var ids []string
	for _, w := range lost {
		w.End()
		ids = append(ids, w.ID)
	}
	return ids
}
