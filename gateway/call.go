package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
)

const (
	// maxDials bounds how many servers one request finds unreachable before
	// it is refused.
	maxDials = 3
	// maxAnswerBytes bounds an answer that is held whole before it is passed on.
	maxAnswerBytes = 8 << 20
	// firstTryShare is the part of an idempotent call's time that its first
	// server gets, where a second may be tried: a hung server costs half of
	// the time, not all of it.
	firstTryShare = 2
)

// try is what became of one send.
type try struct {
	outcome Outcome
	// again says that another server may get the request.
	again bool
	// sent says that the server may have read it.
	sent bool
	// misdirected says that another server has the address, and said so.
	misdirected bool
}

// call serves a request whose answer is passed on whole.
func (t *task) call(ctx context.Context) Outcome {
	var last, ran *try // ran: the last that may have run
	for dials := 0; ; {
		if last != nil && !t.mayGoOn(last) {
			return last.outcome
		}
		work, reason := t.place(ctx)
		if work == nil {
			if last != nil {
				return last.outcome
			}
			return t.unplaced(ctx, reason)
		}
		if t.sends == 0 {
			t.gateway.options.Budget.Request(t.service.Name)
		}
		result := t.send(ctx, work)
		work.End()
		// A refusal after a send that may have run must not say "not run".
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
		if !result.again || dials >= maxDials || ctx.Err() != nil {
			return result.outcome
		}
	}
}

// mayGoOn reports whether the request may be sent to another server after a try.
//
// Failure: engines start again behind a cut, other servers have their addresses,
// and every host sends to each of them and on to the next. What a server answers
// at all counts as an arrival, so that it is taken from the budget.
func (t *task) mayGoOn(last *try) bool {
	switch {
	case last.sent:
		return t.mayRepeat()
	case last.misdirected:
		return t.gateway.options.Budget.Spend(t.service.Name)
	}
	return true
}

// mayRepeat reports whether the request, which a server has read, may be sent
// to another one.
func (t *task) mayRepeat() bool {
	return t.sends < t.route.Attempts && t.gateway.options.Budget.Spend(t.service.Name)
}

// send sends the request to one server and reads the whole answer.
func (t *task) send(ctx context.Context, work *fleet.Work) try {
	tryCtx, cancel := t.tryContext(ctx)
	defer cancel()
	reply, err := t.sendTo(tryCtx, work, t.callTo(work.Server()))
	if err != nil {
		return t.brokenTry(ctx, work, err)
	}
	defer reply.Body.Close()
	t.sends++
	if reply.Load != nil {
		work.Says(*reply.Load)
	}
	if !took(reply) {
		return t.notRun(reply)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		work.Outcome(true)
		if err != nil && tryCtx.Err() == nil {
			t.blame(work)
		}
		return t.mayHaveRun(ctx, ReasonBroken)
	}
	failing := reply.Status >= http.StatusInternalServerError
	if failing {
		work.AnsweredBadly()
	} else {
		work.Outcome(false)
	}
	answer := Outcome{Status: reply.Status, Header: reply.Header, Body: body, Complete: true}
	if reply.Status < http.StatusMultipleChoices && !reply.Whole {
		return t.mayHaveRun(ctx, ReasonBroken)
	}
	t.gateway.options.Quarantine.Completed(t.fingerprint)
	return try{outcome: answer, again: failing && t.route.Kind == Idempotent, sent: true}
}

// tryContext bounds one send. Only requests that may be repeated are taken
// back early: for all others a server's silence is no reason to end sooner.
func (t *task) tryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.route.Kind != Idempotent || t.sends+1 >= t.route.Attempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(t.until)/firstTryShare)
}

// heed takes in what an answer says of its server besides the answer itself.
//
// Failure: a server's entry cannot say that it leaves while the store is away.
// Its answers do, and hosts that pass them on go on sending to it.
func (t *task) heed(server fleet.Server, reply *Reply) {
	switch {
	case reply.WrongServer:
		t.gateway.options.Fleet.MarkLeaving(server.Life(), fleet.SourceReplaced)
	case reply.Leaving:
		t.gateway.options.Fleet.MarkLeaving(server.Life(), fleet.SourceAnswer)
	case reply.RestFor > 0:
		t.gateway.options.Fleet.Rest(server.ID, reply.RestFor)
	}
}

// took reports whether the server took the request.
func took(reply *Reply) bool { return !reply.NotRun && !reply.WrongServer }

// notRun is a try that the server refused as not run.
func (t *task) notRun(reply *Reply) try {
	if reply.WrongServer {
		t.sends-- // the server that was meant has not had it
		return try{outcome: refused(ReasonWrongServer, retryNoServer), again: true, misdirected: true}
	}
	return try{outcome: refused(ReasonServerFull, retryFull), again: true, sent: true}
}

// brokenTry is a try without an answer.
func (t *task) brokenTry(ctx context.Context, work *fleet.Work, err error) try {
	var failure *backend.CallError
	if errors.As(err, &failure) && failure.Evidence == backend.NothingSent {
		if ctx.Err() == nil {
			work.Unreachable()
			work.Outcome(true)
		}
		return try{outcome: t.unreached(ctx), again: true}
	}
	t.sends++
	switch ctx.Err() {
	case nil:
		work.Outcome(true)
	case context.DeadlineExceeded:
		work.TimedOut()
	}
	t.blameIfBroken(ctx, work, err)
	return t.mayHaveRun(ctx, ReasonBroken)
}

// unreached is the answer when no server has read anything.
func (t *task) unreached(ctx context.Context) Outcome {
	if ctx.Err() == context.Canceled {
		return abandoned()
	}
	if t.sends > 0 {
		return failed(http.StatusBadGateway, ReasonBroken)
	}
	return refused(ReasonUnreachable, retryNoServer)
}

// mayHaveRun is a try after which the server may have run the request.
func (t *task) mayHaveRun(ctx context.Context, reason Reason) try {
	switch ctx.Err() {
	case context.Canceled:
		return try{outcome: abandoned(), sent: true}
	case context.DeadlineExceeded:
		return try{outcome: failed(http.StatusGatewayTimeout, ReasonTimeout), sent: true}
	}
	return try{outcome: failed(http.StatusBadGateway, reason), again: t.route.Kind == Idempotent, sent: true}
}
