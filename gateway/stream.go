package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
)

const (
	msgResumed      = "run goes on at another server"
	msgResumeFailed = "run could not go on at another server"
	msgNotResumed   = "run is not moved: its request is quarantined"

	// moveResultWait bounds the wait for the result of a move whose source has
	// ended the stream; callers disconnect after gaps of two seconds.
	moveResultWait = 2 * time.Second
)

// generate serves a request that is answered by a stream of events.
func (t *task) generate(ctx context.Context, sink Sink) Outcome {
	for dials := 0; ; {
		work, reason := t.place(ctx)
		if work == nil {
			return t.unplacedOutcome(ctx, reason)
		}
		if dials == 0 {
			t.gateway.options.Budget.RecordRequest(t.service.Name)
		}
		t.tried = append(t.tried, work.Server().ID)
		reply, err := t.sendTo(ctx, work, t.callTo(work.Server()))
		if err != nil {
			result := t.failedAttempt(ctx, work, err)
			work.End()
			if result.sent || dials >= maxDials || ctx.Err() != nil {
				return result.outcome
			}
			dials++
			continue
		}
		t.sends++
		if t.kindOf(reply) == answerRefusal {
			result := t.refusedAttempt(reply)
			reply.Body.Close()
			work.End()
			if result.sent || dials >= maxDials || !t.mayTryNextServer(ctx, &result) {
				return result.outcome
			}
			dials++
			continue
		}
		return t.relay(ctx, sink, work, reply)
	}
}

// relay forwards the stream to the caller. If its run is moved, relay continues
// with the stream of the new server.
func (t *task) relay(ctx context.Context, sink Sink, work *fleet.Work, reply *Reply) Outcome {
	switch t.kindOf(reply) {
	case answerWrong:
		reply.Body.Close()
		work.End()
		return t.wrongAnswer(ctx, work).outcome
	case answerWhole:
		return t.bufferedOutcome(ctx, work, reply)
	}
	status := reply.Status
	run := newRun(t, work)
	defer run.finish()
	if t.service.Engine != nil && t.service.Engine.Moves {
		go t.gateway.moveWhenLeaving(ctx, run)
	}
	if err := sink.Begin(reply.Status, reply.Header); err != nil {
		run.end(reply)
		return abandoned()
	}
	for {
		err := t.relayEvents(ctx, sink, run, reply)
		run.end(reply)
		ended := errors.Is(err, io.EOF)
		switch {
		case errors.Is(err, errCallerGone):
			return t.callerGoneOutcome()
		case ended && marksEnd(reply):
			return t.completedOutcome(run, status)
		}
		to, known := t.awaitTransfer(ctx, run)
		if ended && !run.moving() { // no move has stopped the run
			if t.failure = t.confirmEnd(ctx, run.currentWork(), reply); t.failure == nil {
				return t.completedOutcome(run, status)
			}
		}
		if !known {
			return t.interruptedOutcome(ctx, run)
		}
		next, ok := t.resumeMoved(ctx, run, to)
		if !ok {
			return t.interruptedOutcome(ctx, run)
		}
		reply = next
	}
}

// bufferedOutcome returns the outcome of an answer that is not a stream.
func (t *task) bufferedOutcome(ctx context.Context, work *fleet.Work, reply *Reply) Outcome {
	defer work.End()
	defer reply.Body.Close()
	body, err := t.readAnswer(ctx, work, reply)
	if err != nil {
		t.recordBrokenAnswer(ctx, work, err)
		return t.mayHaveRun(ctx, ReasonBroken).outcome
	}
	t.recordAnswer(reply.Status)
	work.Outcome(reply.Status >= http.StatusInternalServerError)
	return Outcome{Status: reply.Status, Header: reply.Header, Body: body, Complete: true}
}

// errCallerGone is the error of a stream that could not be written to its caller.
var errCallerGone = errors.New("gateway: caller is gone")

// relayEvents relays events until the stream ends. The error is io.EOF if the stream
// ended between events, errCallerGone, or the reason why it broke off, such as an event
// that is too large.
func (t *task) relayEvents(ctx context.Context, sink Sink, run *run, reply *Reply) error {
	events := newEventReader(reply.Body, t.memory)
	defer events.reset()
	for {
		next, err := events.next()
		ended := errors.Is(err, io.EOF)
		if err != nil {
			t.failure, t.restBytes = err, len(next.block)
		}
		if err != nil && !ended {
			return err
		}
		if len(next.block) > 0 {
			t.recordEventTime()
			if err := sink.Event(next.block); err != nil {
				return errors.Mark(err, errCallerGone)
			}
			t.written = time.Now()
		}
		if ended {
			return err
		}
		t.events++
		t.admission.Wrote()
		run.recordEvent(next.id)
		t.recordGapGoal(run, false)
	}
}

// completedOutcome returns the outcome of a stream that was relayed to its end; status is
// that of its head.
func (t *task) completedOutcome(run *run, status int) Outcome {
	run.recordOutcome(false)
	t.recordGapGoal(run, true)
	t.recordAnswer(status)
	return Outcome{Status: status, Streamed: true, Complete: true}
}

func (t *task) callerGoneOutcome() Outcome {
	return Outcome{Streamed: true, Reason: t.disconnectReason()}
}

// disconnectReason returns the reason why the caller's connection has ended: the
// caller disconnected, or this host cut it off at the end of its stop.
func (t *task) disconnectReason() Reason {
	if t.gateway.stopDeadlinePassed() {
		return ReasonHostStopped
	}
	return ReasonCallerGone
}

// awaitTransfer waits for the result of a move in progress. It reports false if there
// is none, or if its result is not known in time.
func (t *task) awaitTransfer(ctx context.Context, run *run) (transfer, bool) {
	if ctx.Err() != nil || !run.moving() {
		return transfer{}, false
	}
	timer := time.NewTimer(moveResultWait)
	defer timer.Stop()
	select {
	case to := <-run.transfers:
		return to, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return transfer{}, false
}

// resumeMoved resumes a run that has moved, unless its request is quarantined: it would
// crash its next server, too.
func (t *task) resumeMoved(ctx context.Context, run *run, to transfer) (*Reply, bool) {
	defer run.signalTransferDone()
	if left := t.admission.Left(); left > 0 {
		endAll(to.reservations)
		t.gateway.options.Logger.Warn(msgNotResumed, zap.String("request", t.request.shortID()), zap.String("from", to.source.ID), zap.Duration("left", left))
		return nil, false
	}
	for i, work := range to.reservations {
		if reply, ok := t.resume(ctx, run, work, to); ok {
			endAll(to.reservations[i+1:])
			return reply, true
		}
		work.End()
	}
	return nil, false
}

func endAll(reservations []*fleet.Work) {
	for _, work := range reservations {
		work.End()
	}
}

// resume sends the request to a server that has a copy of the run's memory.
func (t *task) resume(ctx context.Context, run *run, work *fleet.Work, to transfer) (*Reply, bool) {
	call := t.callTo(work.Server())
	call.Resume = &Resume{Source: to.source, Handle: to.handle, LastEventID: run.lastEventID}
	began := time.Now()
	reply, err := t.resumeAt(ctx, work, call)
	fields := []zap.Field{
		zap.String("request", t.request.shortID()), zap.String("from", to.source.ID), zap.String("to", work.Server().ID),
		zap.String("last_event", run.lastEventID), zap.Duration("took", time.Since(began)),
	}
	if err != nil {
		t.gateway.options.Logger.Warn(msgResumeFailed, append(fields, zap.Error(err))...)
		return nil, false
	}
	if t.kindOf(reply) != answerStream {
		reply.Body.Close()
		t.gateway.options.Logger.Warn(msgResumeFailed, append(fields, zap.Int("status", reply.Status), zap.Bool("complete", reply.Complete))...)
		return nil, false
	}
	run.moveTo(work)
	t.moves++
	t.server = work.Server()
	t.gateway.options.Logger.Info(msgResumed, fields...)
	return reply, true
}

// interruptedOutcome returns the outcome of a stream that was interrupted and not
// resumed.
func (t *task) interruptedOutcome(ctx context.Context, run *run) Outcome {
	o := Outcome{Streamed: true, Reason: ReasonBroken}
	switch {
	case ctx.Err() == context.Canceled:
		o.Reason = t.disconnectReason()
	case ctx.Err() == context.DeadlineExceeded:
		o.Reason = ReasonTimeout
	case run.moving() || run.leaving():
		o.Reason = ReasonMoveFailed
	default:
		t.gateway.blame(run.server(), func() { run.recordOutcome(true) })
		if !isOversized(t.failure) {
			t.reportSuspectedCrash(run.currentWork())
		}
	}
	return o
}
