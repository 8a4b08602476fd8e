package fleet

import (
	"time"

	"go.uber.org/zap"
)

const msgRests = "backend server wants nothing from this host for a while"

// Rest notes that a server wants no requests from this host for so long. Other
// hosts are told by the server itself.
//
// Failure: a server is full, says when it will not be, and each host goes on
// sending it requests that it has to turn away.
func (t *Table) Rest(life Life, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, until := t.entryOf(life), time.Now().Add(left)
	if e == nil || !until.After(e.restsUntil) {
		return
	}
	e.restsUntil = until
	t.logger.Info(msgRests, zap.String("server", e.server.ID), zap.Duration("for", left))
}

// Resting reports whether a server wants nothing from this host now.
func (t *Table) Resting(life Life) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(life)
	return e != nil && e.rests(time.Now())
}

func (e *entry) rests(now time.Time) bool { return now.Before(e.restsUntil) }

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
		left := e.restsUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
