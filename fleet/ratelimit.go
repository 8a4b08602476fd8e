package fleet

import "go.uber.org/zap"

const (
	msgRateLimited      = "backend server limits its request rate"
	msgRateLimitRemoved = "backend server no longer limits its request rate"
)

// SetRateLimit records the rate limit that a server names in an answer, in requests
// per second from all hosts together; zero: it names none.
func (t *Table) SetRateLimit(id string, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.rateLimits[id]
	switch {
	case perSecond > 0:
		t.rateLimits[id] = perSecond
		if before == 0 {
			t.logger.Info(msgRateLimited, zap.String("server", id), zap.Float64("per_second", perSecond))
		}
	case before > 0:
		delete(t.rateLimits, id)
		t.logger.Info(msgRateLimitRemoved, zap.String("server", id), zap.Float64("per_second", before))
	}
}
