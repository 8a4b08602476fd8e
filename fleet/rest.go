package fleet

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

const msgRests = "backend server wants nothing from this host for a while"

// Rest notes that a server wants no requests from this host for so long. Other
// hosts are told by the server itself. The word holds for its id, also while it
// has no entry and once it has started again.
//
// Failure: a server is full, says when it will not be, and each host goes on
// sending it requests that it has to turn away.
func (t *Table) Rest(id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(t.rests, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until := now.Add(left); until.After(t.rests[id]) {
		t.rests[id] = until
		t.logger.Info(msgRests, zap.String("server", id), zap.Duration("for", left))
	}
}

// Resting reports whether a server wants nothing from this host now.
func (t *Table) Resting(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resting(id, time.Now())
}

// resting is called with mu held.
func (t *Table) resting(id string, now time.Time) bool { return now.Before(t.rests[id]) }

// RestLeft returns after what time the first server of a service that takes
// requests otherwise wants some again; zero: one does now, or there is none.
func (t *Table) RestLeft(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, least := time.Now(), time.Duration(0)
	for _, e := range t.service(name).members {
		if !e.takesRequests() {
			continue
		}
		left := t.rests[e.server.ID].Sub(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
