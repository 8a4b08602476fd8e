package gateway

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/bytebudget"
	"github.com/papayasail/papayasail/link"
)

const (
	// maxDials is the number of servers that may be unreachable, or have another
	// server at their address, before a request is refused. A generation is
	// tried at one more server, because generate compares before it counts.
	maxDials = 3
	// maxAnswerBytes bounds an answer that is buffered whole before it is relayed.
	maxAnswerBytes = 8 << 20
	// firstAttemptDivisor divides the remaining time of an idempotent call while
	// another attempt is allowed: a hung server then uses up half of the time
	// instead of all of it.
	firstAttemptDivisor = 2
)

// attempt is the result of sending a request to one server.
type attempt struct {
	outcome Outcome
	// retryable is set if the request may be sent to another server.
	retryable bool
	// sent is set if the server may have read the request.
	sent bool
	// ownError is set if the server answered with an error of its own.
	ownError bool
	// misdirected is set if another server has the address and reported that.
	misdirected bool
}

// call serves a request whose answer is buffered whole before it is relayed.
func (t *task) call(ctx context.Context) Outcome {
	var last, ran *attempt // ran: the last attempt that may have run
	for dials := 0; ; {
		if last != nil && !t.mayTryNextServer(ctx, last) {
			return last.outcome
		}
		work, reason := t.place(ctx)
		if work == nil {
			if last != nil {
				return last.outcome
			}
			return t.unplacedOutcome(ctx, reason)
		}
		if t.sends == 0 {
			t.gateway.options.Budget.RecordRequest(t.service.Name)
		}
		endTurn := t.admission.AwaitTurn(ctx)
		result := t.send(ctx, work)
		endTurn()
		work.End()
		t.gateway.waitingCalls.of(t.service.Name).offer(time.Now())
		// Once an attempt may have run, a later refusal must not report "not run".
		if result.outcome.NotRun && ran != nil {
			result.outcome = ran.outcome
		} else if !result.outcome.NotRun {
			ran = &result
		}
		last = &result
		t.tried = append(t.tried, work.Server().ID)
		if !result.sent {
			dials++
		}
		if !result.retryable || dials >= maxDials || ctx.Err() != nil {
			return result.outcome
		}
	}
}

// mayTryNextServer reports whether the request may be sent to another server
// after the given attempt.
//
// A misdirected attempt is charged to the retry budget because the operator
// counts any request that a server answers. Otherwise, when engines restart
// behind a network partition and other servers get their addresses, every host
// sends each request to one stale address after the other.
func (t *task) mayTryNextServer(ctx context.Context, last *attempt) bool {
	switch {
	case last.sent:
		return t.mayRetry(ctx, last)
	case last.misdirected:
		return t.gateway.options.Budget.Withdraw(t.service.Name)
	}
	return true
}

// mayRetry reports whether a request that a server may have read may be sent
// to another server.
func (t *task) mayRetry(ctx context.Context, last *attempt) bool {
	if t.sends >= t.route.Attempts || last.ownError && !t.retryPays(ctx, t.server.ID) {
		return false
	}
	return t.gateway.options.Budget.Withdraw(t.service.Name)
}

// send sends the request to one server and reads the whole answer.
func (t *task) send(ctx context.Context, work *fleet.Work) attempt {
	attemptCtx, cancel := t.attemptContext(ctx)
	defer cancel()
	began := time.Now()
	reply, err := t.sendTo(attemptCtx, work, t.callTo(work.Server()))
	if err != nil {
		return t.failedAttempt(ctx, work, err)
	}
	defer reply.Body.Close()
	t.sends++
	if reply.Load != nil {
		work.SetReportedLoad(*reply.Load)
	}
	switch t.kindOf(reply) {
	case answerRefusal:
		return t.refusedAttempt(reply)
	case answerWrong:
		return t.wrongAnswer(ctx, work)
	}
	body, err := t.readAnswer(attemptCtx, work, reply)
	if err != nil {
		t.recordBrokenAnswer(attemptCtx, work, err)
		return t.mayHaveRun(ctx, ReasonBroken)
	}
	failing := reply.Status >= http.StatusInternalServerError
	if failing {
		work.AnsweredWithError()
	} else {
		work.Outcome(false)
	}
	answer := Outcome{Status: reply.Status, Header: reply.Header, Body: body, Complete: true}
	t.recordAnswer(reply.Status)
	if t.expected > 0 {
		t.gateway.options.Metrics.callTimeRatio.Observe(time.Since(began).Seconds() / t.expected.Seconds())
	}
	t.recordCallAnswer(work.Server().ID, failing)
	return attempt{outcome: answer, retryable: failing && t.route.Kind == Idempotent, sent: true, ownError: failing}
}

// readAnswer reads the whole body of an answer. The error says why it is not whole.
func (t *task) readAnswer(ctx context.Context, work *fleet.Work, reply *Reply) ([]byte, error) {
	body, err := t.memory.ReadAll(reply.Body, maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	return body, t.confirmEnd(ctx, work, reply)
}

// recordBrokenAnswer records that readAnswer failed.
func (t *task) recordBrokenAnswer(ctx context.Context, work *fleet.Work, err error) {
	t.failure = err
	t.gateway.blame(work.Server(), func() { work.Outcome(true) })
	if ctx.Err() == nil && !isOversized(err) {
		t.reportSuspectedCrash(work)
	}
}

// isOversized reports whether an answer or an event was given up because of its size: that its
// connection ended is no evidence of a crash.
func isOversized(err error) bool {
	return errors.IsAny(err, bytebudget.ErrTooLarge, bytebudget.ErrExhausted, errEventTooLarge, bufio.ErrBufferFull)
}

// attemptContext bounds one attempt. Only an idempotent request with another
// attempt left gets a shorter timeout: ending any other request early gains
// nothing, because it may not be sent again.
func (t *task) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.route.Kind != Idempotent || t.sends+1 >= t.route.Attempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(t.deadline)/firstAttemptDivisor)
}

// recordServerState records the state that a server reports with its answer to a
// request that was sent at the given time.
//
// While the store is unavailable, the entry of a leaving server cannot be marked
// as leaving, but its answers report it. Hosts that ignore them keep sending
// requests to it.
func (t *task) recordServerState(server fleet.Server, reply *Reply, sent time.Time) {
	if reply.RateLimit != nil && !reply.WrongServer {
		t.gateway.options.Fleet.SetRateLimit(server.ID, *reply.RateLimit, sent)
	}
	if reply.Brittleness != nil && !reply.WrongServer {
		t.gateway.options.Fleet.SetBrittleness(server.ID, *reply.Brittleness, sent)
	}
	if reply.NotRun && !reply.WrongServer && reply.Status == http.StatusServiceUnavailable {
		t.gateway.options.Fleet.RecordRejection(server.ID)
	}
	switch {
	case reply.WrongServer:
		t.gateway.options.Fleet.Suspect(server.Incarnation(), fleet.SuspectReplaced)
	case reply.Leaving:
		t.gateway.options.Fleet.MarkLeaving(server.Incarnation(), fleet.SourceAnswer)
	case reply.BackoffFor > 0: // it is full, and stays
		t.gateway.options.Fleet.SetBackoff(server.ID, reply.BackoffFor)
	case reply.NotRun && reply.Closing:
		t.gateway.options.Fleet.Suspect(server.Incarnation(), fleet.SuspectLeaving)
	case !reply.NotRun && reply.Complete:
		t.gateway.options.Fleet.Refute(server.Incarnation(), fleet.RefutedByAnswer, sent)
	}
}

// refusedAttempt returns the result of an attempt that the server refused as not
// run.
func (t *task) refusedAttempt(reply *Reply) attempt {
	if reply.WrongServer {
		t.sends-- // the intended server did not receive it
		return attempt{outcome: refused(ReasonWrongServer, retryNoServer), retryable: true, misdirected: true}
	}
	return attempt{outcome: refused(ReasonServerFull, retryFull), retryable: true, sent: true}
}

// failedAttempt returns the result of an attempt without an answer.
func (t *task) failedAttempt(ctx context.Context, work *fleet.Work, err error) attempt {
	t.failure = err
	var failure *backend.CallError
	if errors.As(err, &failure) && failure.Evidence == backend.NothingSent {
		if ctx.Err() == nil {
			work.Unreachable()
			if !errors.Is(err, link.ErrPathLost) {
				work.Outcome(true)
			}
		}
		return attempt{outcome: t.unreachedOutcome(ctx), retryable: true}
	}
	t.sends++
	switch ctx.Err() {
	case nil:
		t.gateway.blame(work.Server(), func() { work.Outcome(true) })
	case context.DeadlineExceeded:
		t.gateway.blame(work.Server(), work.TimedOut)
	}
	t.reportIfBroken(ctx, work, err)
	return t.mayHaveRun(ctx, ReasonBroken)
}

// unreachedOutcome returns the outcome of a request whose last attempt sent
// nothing.
func (t *task) unreachedOutcome(ctx context.Context) Outcome {
	if ctx.Err() == context.Canceled {
		return abandoned()
	}
	if t.sends > 0 {
		return failed(http.StatusBadGateway, ReasonBroken)
	}
	return refused(ReasonUnreachable, retryNoServer)
}

// mayHaveRun returns the result of an attempt after which the server may have
// run the request.
func (t *task) mayHaveRun(ctx context.Context, reason Reason) attempt {
	switch ctx.Err() {
	case context.Canceled:
		return attempt{outcome: abandoned(), sent: true}
	case context.DeadlineExceeded:
		return attempt{outcome: failed(http.StatusGatewayTimeout, ReasonTimeout), sent: true}
	}
	return attempt{outcome: failed(http.StatusBadGateway, reason), retryable: t.route.Kind == Idempotent, sent: true}
}
