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

// evidenceOf returns what an error says about whether a request ran.
func evidenceOf(err error) backend.Evidence {
	var call *backend.CallError
	if errors.As(err, &call) {
		return call.Evidence
	}
	return backend.Broken
}

// ranNothing reports whether an error proves that the backend server ran no
// part of the request: no byte reached it, or its answer says so by contract.
func ranNothing(err error) bool { return evidenceOf(err).NotRun() }

var stages = map[backend.Evidence]retry.Stage{
	backend.NothingSent:   retry.StageDial,
	backend.RefusedNotRun: retry.StageAnswered,
	backend.Refused:       retry.StageAnswered,
	backend.Lost:          retry.StageSent,
	backend.Silent:        retry.StageSent,
	backend.Broken:        retry.StageSent,
	backend.Mismatch:      retry.StageAnswered,
}

// retryEvidence translates an error for the retry package.
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

// evaluators holds the retry budgets of each service.
type evaluators struct {
	mu        sync.Mutex // guards byService
	byService map[string]*retry.Evaluator
}

// of returns the evaluator of a service, under the policy in force.
func (e *evaluators) of(document *contract.Document) *retry.Evaluator {
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

// attempts bounds and spaces the tries of one request.
type attempts struct {
	evaluator *retry.Evaluator
	subject   retry.Subject
	state     retry.Attempts
	servers   int      // backend servers of the service
	exclude   []string // those that failed this request
	crashes   *crashes
	// mayHaveRun is set as soon as one try may have run, in part or whole.
	mayHaveRun bool
}

// attempts begins the tries of one request.
func (r *Relay) attempts(document *contract.Document, request *peerpb.ForwardRequest, idempotent bool) *attempts {
	evaluator := r.evaluators.of(document)
	evaluator.Request(request.GetOrganisation())
	return &attempts{
		evaluator: evaluator, servers: len(document.BackendServers), crashes: r.crashesOf(request),
		subject: retry.Subject{Organisation: request.GetOrganisation(), Idempotent: idempotent},
	}
}

// again decides whether a request that failed on a server may be tried on
// another one, and waits for its turn.
func (a *attempts) again(ctx context.Context, server string, err error) bool {
	a.mayHaveRun = a.mayHaveRun || !ranNothing(err)
	evidence := retryEvidence(err)
	if len(a.exclude)+1 < a.servers {
		evidence.RetryAfter = 0 // that server's own time; there are others
	}
	decision := a.evaluator.Decide(evidence, a.subject, &a.state)
	if !decision.Retry {
		return false
	}
	a.exclude = append(a.exclude, server)
	if len(a.exclude) >= a.servers {
		a.exclude = nil // all have failed once: any may be tried again
	}
	return sleep.For(ctx, decision.After) == nil
}

// acquire asks routing for a server that has not failed this request, and for
// any where there is no other. A request that crashes servers gets none.
//
// Guards against a refusal too early: all servers but one are leaving, and that
// one refuses a burst for the moment. It shows as "no backend server" within
// milliseconds although the request could wait for seconds.
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

// refusal says what became of a request whose tries are used up.
func (a *attempts) refusal(err error) *contract.Refusal { return a.settle(lastRefusal(err)) }

// settle turns the refusal of the last try into that of the request.
//
// Guards against a false "not run": a reading is sent, its connection breaks
// after the server has run it, and the next try finds no server. Nothing of
// that last try ran, but something of the request may have.
func (a *attempts) settle(refusal *contract.Refusal) *contract.Refusal {
	if !a.mayHaveRun || refusal.Outcome != contract.OutcomeNotRun {
		return refusal
	}
	settled := *refusal
	settled.Outcome = contract.OutcomeUnknown
	return &settled
}

// lastRefusal says what became of one try.
func lastRefusal(err error) *contract.Refusal {
	var call *backend.CallError
	if !errors.As(err, &call) {
		return asRefusal(err)
	}
	if ranNothing(err) {
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
