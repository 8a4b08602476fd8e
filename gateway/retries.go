package gateway

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/papayasail/papayasail/retry"
)

// FailedCalls knows which calls have just failed at two servers, at any host. All methods
// may be called from any goroutine.
type FailedCalls interface {
	// Record records that a server has answered a call with an error of its own. It does
	// not block.
	Record(fingerprint uint64, server string)
	// FailedTwice reports whether two servers have just answered a call with errors of
	// their own. It may ask another host, and returns false if that does not answer in
	// time.
	FailedTwice(ctx context.Context, fingerprint uint64) bool
}

// retries is what the gateway knows about retries of idempotent calls after servers' own
// errors.
type retries struct {
	mu       sync.Mutex                // guards benefits; no other lock is acquired while it is held
	benefits map[string]*retry.Benefit // by service
}

func newRetries() *retries { return &retries{benefits: map[string]*retry.Benefit{}} }

// benefit requires mu.
func (r *retries) benefit(service string) *retry.Benefit {
	b := r.benefits[service]
	if b == nil {
		b = retry.NewBenefit()
		r.benefits[service] = b
	}
	return b
}

// prune drops what is known about services that a configuration does not have.
func (r *retries) prune(c *Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.benefits, func(service string, _ *retry.Benefit) bool { return c.Services[service] == nil })
}

// recordCallAnswer records a whole answer, for decisions on later retries.
func (t *task) recordCallAnswer(server string, failed bool) {
	if t.ownErrors > 0 {
		t.gateway.options.Metrics.retryResults.WithLabelValues(strconv.Itoa(t.ownErrors), retryResult(failed)).Inc()
	}
	idempotent, retried := t.route.Kind == Idempotent, t.ownErrors > 0
	if idempotent && failed {
		t.gateway.options.FailedCalls.Record(t.fingerprint, server)
	}
	r, now := t.gateway.retries, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	benefit := r.benefit(t.service.Name)
	benefit.RecordAnswer(server, failed, now)
	if idempotent && retried {
		benefit.RecordRetry(t.ownErrors, !failed, now)
	}
	if idempotent && failed {
		t.ownErrors++
	}
}

func retryResult(failed bool) string {
	if failed {
		return "failed"
	}
	return "helped"
}

// recordCallEnd records whether a call was late, or refused for want of room.
func (t *task) recordCallEnd(o Outcome) {
	missed := false
	switch {
	case o.Reason == ReasonCallerGone:
		return
	case o.Reason == ReasonFull || o.Reason == ReasonServerFull || o.Status == http.StatusGatewayTimeout:
		missed = true
	case t.route.Goal > 0:
		missed = t.late(o)
	}
	r := t.gateway.retries
	r.mu.Lock()
	defer r.mu.Unlock()
	r.benefit(t.service.Name).RecordEnd(missed, time.Now())
}

// retryPays decides whether a call is retried that a server has answered with an error of
// its own.
func (t *task) retryPays(ctx context.Context, server string) bool {
	r := t.gateway.retries
	r.mu.Lock()
	decision := r.benefit(t.service.Name).Decide(retry.Failed{Server: server, Errors: t.ownErrors}, time.Now())
	r.mu.Unlock()
	if decision.Retries() && t.ownErrors == 1 && t.gateway.options.FailedCalls.FailedTwice(ctx, t.fingerprint) {
		decision = retry.BenefitRepeated
	}
	t.retryDecision = string(decision)
	t.gateway.options.Metrics.retryDecisions.WithLabelValues(string(decision)).Inc()
	return decision.Retries()
}
