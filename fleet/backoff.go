package fleet

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

const msgBackoff = "backend server wants nothing from this host for a while"

// SetBackoff records that a server accepts no requests from this host for the given
// time. The server notifies other hosts itself. The backoff is kept by server
// ID, also while the server has no host list entry and after it has restarted.
//
// Without backoffs, each host would keep sending requests that a full server has
// to reject, although the server has reported when it will have capacity.
func (t *Table) SetBackoff(id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(t.backoffs, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until := now.Add(left); until.After(t.backoffs[id]) {
		t.backoffs[id] = until
		t.logger.Info(msgBackoff, zap.String("server", id), zap.Duration("for", left))
	}
}

// InBackoff reports whether a server currently accepts nothing from this host.
func (t *Table) InBackoff(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inBackoff(id, time.Now())
}

// inBackoff requires mu.
func (t *Table) inBackoff(id string, now time.Time) bool { return now.Before(t.backoffs[id]) }

// AcceptsIn returns the time until a server of a service takes a request of this
// host, as far as backoffs, rate limits and rejections by brittle servers decide.
// domains are the failure domains of the servers; nil: all. It returns zero if one of
// the servers takes requests now, or if there are none.
func (t *Table) AcceptsIn(name string, domains []string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, least := time.Now(), time.Duration(0)
	for _, e := range t.service(name).members.all {
		if !e.inDomains(domains) || !e.acceptsRequests() {
			continue
		}
		left := max(t.backoffs[e.server.ID].Sub(now), t.rateLimitWait(e.server.ID, now), t.rejectionPause(e, now))
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
