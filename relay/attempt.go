package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/retry"
	"github.com/papayasail/papayasail/routing"
)

// evidenceOf returns the evidence in an error on whether a request ran.
func evidenceOf(err error) backend.Evidence {
	var call *backend.CallError
	if errors.As(err, &call) {
		return call.Evidence
	}
	return backend.Broken
}

// provenNotRun reports whether an error proves that the backend server ran no
// part of the request: no byte reached it, or its response states so by contract.
func provenNotRun(err error) bool { return evidenceOf(err).NotRun() }

var stages = map[backend.Evidence]retry.Stage{
	backend.NothingSent:   retry.StageDial,
	backend.RefusedNotRun: retry.StageAnswered,
	backend.Refused:       retry.StageAnswered,
	backend.Lost:          retry.StageSent,
	backend.Silent:        retry.StageSent,
	backend.Broken:        retry.StageSent,
	backend.Mismatch:      retry.StageAnswered,
}

// retryEvidence converts an error to the evidence type of the retry package.
func retryEvidence(err error) retry.Evidence {
	var call *backend.CallError
	if !errors.As(err, &call) {
		return retry.Evidence{}
	}
	evidence := retry.Evidence{
		Stage: stages[call.Evidence], NotRun: call.Evidence == backend.RefusedNotRun, RetryAfter: call.RetryAfter,
		Mismatch: call.Evidence == backend.Mismatch, Cancelled: errors.Is(err, context.Canceled),
	}
	if evidence.Stage == retry.StageAnswered {
		evidence.Status = call.Status
	}
	return evidence
}

// evaluators maps each service to the evaluator of its retry policy and budgets.
type evaluators struct {
	mu        sync.Mutex // guards byService
	byService map[string]*retry.Evaluator
}

// forService returns the evaluator of a service, set to the current retry policy.
// It creates the evaluator on first use.
func (e *evaluators) forService(document *contract.Document) *retry.Evaluator {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byService == nil {
		e.byService = make(map[string]*retry.Evaluator)
	}
	evaluator := e.byService[document.Service]
	if evaluator == nil {
		evaluator = retry.NewEvaluator(document.Retry, uint64(time.Now().UnixNano()))
		e.byService[document.Service] = evaluator
	}
	evaluator.SetPolicy(document.Retry)
	return evaluator
}

// attempts is the retry state of one request. The evaluator limits the number of
// attempts and the time between them.
type attempts struct {
	evaluator *retry.Evaluator
	subject   retry.Subject
	state     retry.Attempts
	servers   int      // backend servers of the service
	exclude   []string // servers on which this request failed
	crashes   *crashTracker
	// mayHaveRun is set once an attempt may have run, partly or completely.
	mayHaveRun bool
}

// newAttempts returns the attempt state of a new request and counts the request
// in the retry budget; prompt is empty for calls. The context, in which the request must
// be run, is cancelled when the request is quarantined; end must be called when the
// request has ended.
func (r *Relay) newAttempts(ctx context.Context, document *contract.Document, request *peerpb.ForwardRequest, prompt string, idempotent bool) (bounded context.Context, tries *attempts, end func()) {
	evaluator := r.evaluators.forService(document)
	evaluator.CountRequest(request.GetOrganisation())
	ctx, cancel := context.WithCancelCause(ctx)
	tries = &attempts{
		evaluator: evaluator, servers: len(document.BackendServers),
		crashes: r.newCrashTracker(request, prompt, func() { cancel(errQuarantined) }),
		subject: retry.Subject{Organisation: request.GetOrganisation(), Idempotent: idempotent},
	}
	return ctx, tries, func() {
		tries.crashes.end()
		cancel(nil)
	}
}

// awaitRetry reports whether a request that failed on a server may be retried. It
// waits for the backoff first and returns false if ctx ends during the wait.
func (a *attempts) awaitRetry(ctx context.Context, server string, err error) bool {
	a.mayHaveRun = a.mayHaveRun || !provenNotRun(err)
	evidence := retryEvidence(err)
	if len(a.exclude)+1 < a.servers {
		evidence.RetryAfter = 0 // the delay applies to that server only, and others were not tried yet
	}
	decision := a.evaluator.Decide(evidence, a.subject, &a.state)
	if !decision.Retry {
		return false
	}
	a.exclude = append(a.exclude, server)
	if len(a.exclude) >= a.servers {
		a.exclude = nil // all servers failed once: any may be retried
	}
	return sleep.For(ctx, decision.After) == nil
}

// acquire requests a grant for a server on which this request has not failed.
// If there is none, it requests a grant for any server. A quarantined request
// is refused.
//
// The second request guards against an early refusal: all servers but one are
// leaving, and the remaining one refuses a burst for a short time. With that
// server excluded, the request would be refused with "no backend server" within
// milliseconds although it could wait for seconds.
func (r *Relay) acquire(ctx context.Context, tries *attempts, request routing.Request) (routing.Grant, error) {
	if refusal := tries.crashes.refusal(); refusal != nil {
		return nil, refusal
	}
	request.Exclude = tries.exclude
	grant, err := r.Scheduler.Acquire(ctx, request)
	if err == nil || len(tries.exclude) == 0 || asRefusal(err).Reason != contract.ReasonNoBackendServer {
		return grant, err
	}
	tries.exclude, request.Exclude = nil, nil
	return r.Scheduler.Acquire(ctx, request)
}

// finalRefusal returns the refusal of a request that is not retried after err.
func (a *attempts) finalRefusal(ctx context.Context, err error) *contract.Refusal {
	return a.adjustOutcome(a.crashes.cancelled(ctx, attemptRefusal(err)))
}

// adjustOutcome derives the refusal of the request from the refusal of its last
// attempt.
//
// Guards against a false "not run": the connection of the first attempt breaks
// after the server ran the request, and the next attempt finds no server. The
// last attempt did not run, but the request may have, so its outcome is unknown.
func (a *attempts) adjustOutcome(refusal *contract.Refusal) *contract.Refusal {
	if !a.mayHaveRun || refusal.Outcome != contract.OutcomeNotRun {
		return refusal
	}
	settled := *refusal
	settled.Outcome = contract.OutcomeUnknown
	return &settled
}

// attemptRefusal converts the error of one attempt to a refusal.
func attemptRefusal(err error) *contract.Refusal {
	var call *backend.CallError
	if !errors.As(err, &call) {
		return asRefusal(err)
	}
	if provenNotRun(err) {
		return contract.NotRun(contract.ReasonBackendRefused, retryAfter(call), "no backend server took the request").WithCause(err)
	}
	if call.Evidence == backend.Mismatch {
		return contract.Unknown(contract.ReasonAnswerMismatch, 0, "the backend server's answer belonged to another request").WithCause(err)
	}
	return contract.Unknown(contract.ReasonBackendFailed, retryAfter(call), "the backend server failed after it had the request").WithCause(err)
}

const defaultRetryAfter = time.Second

func retryAfter(call *backend.CallError) time.Duration {
	if call.RetryAfter > 0 {
		return call.RetryAfter
	}
	return defaultRetryAfter
}
