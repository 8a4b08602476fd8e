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
	// maxDials is how many servers may be unreachable for one request before it
	// is refused.
	maxDials = 3
	// maxAnswerBytes bounds an answer that is buffered whole before it is relayed.
	maxAnswerBytes = 8 << 20
	// firstTryShare divides the remaining time of an idempotent call while
	// another attempt is allowed: a hung server then uses up half of the time
	// instead of all of it.
	firstTryShare = 2
)

// try is the result of sending a request to one server.
type try struct {
	outcome Outcome
	// again is set if the request may be sent to another server.
	again bool
	// sent is set if the server may have read the request.
	sent bool
	// misdirected is set if another server has the address and reported that.
	misdirected bool
}

// call serves a request whose answer is buffered whole before it is relayed.
func (t *task) call(ctx context.Context) Outcome {
	var last, ran *try // ran: the last attempt that may have run
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
		if !result.again || dials >= maxDials || ctx.Err() != nil {
			return result.outcome
		}
	}
}

// mayGoOn reports whether the request may be sent to another server after the
// given attempt.
//
// A misdirected attempt is charged to the retry budget because the operator
// counts any request that a server answers. Otherwise, when engines restart
// behind a network partition and other servers get their addresses, every host
// sends each request to one stale address after the other.
func (t *task) mayGoOn(last *try) bool {
	switch {
	case last.sent:
		return t.mayRepeat()
	case last.misdirected:
		return t.gateway.options.Budget.Spend(t.service.Name)
	}
	return true
}

// mayRepeat reports whether a request that a server may have read may be sent
// to another server.
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

// tryContext bounds one attempt. Only an idempotent request with another attempt
// left gets a shorter timeout: ending any other request early gains nothing,
// because it may not be sent again.
func (t *task) tryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.route.Kind != Idempotent || t.sends+1 >= t.route.Attempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(t.until)/firstTryShare)
}

// heed records the state that a server reports with its answer.
//
// While the store is unavailable, the entry of a leaving server cannot be marked
// as leaving, but its answers report it. Hosts that ignore them keep sending
// requests to it.
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

// took reports whether the server accepted the request.
func took(reply *Reply) bool { return !reply.NotRun && !reply.WrongServer }

// notRun returns the result of an attempt that the server refused as not run.
func (t *task) notRun(reply *Reply) try {
	if reply.WrongServer {
		t.sends-- // the intended server did not receive it
		return try{outcome: refused(ReasonWrongServer, retryNoServer), again: true, misdirected: true}
	}
	return try{outcome: refused(ReasonServerFull, retryFull), again: true, sent: true}
}

// brokenTry returns the result of an attempt without an answer.
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

// unreached returns the outcome of a request whose last attempt sent nothing.
func (t *task) unreached(ctx context.Context) Outcome {
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
func (t *task) mayHaveRun(ctx context.Context, reason Reason) try {
	switch ctx.Err() {
	case context.Canceled:
		return try{outcome: abandoned(), sent: true}
	case context.DeadlineExceeded:
		return try{outcome: failed(http.StatusGatewayTimeout, ReasonTimeout), sent: true}
	}
	return try{outcome: failed(http.StatusBadGateway, reason), again: t.route.Kind == Idempotent, sent: true}
}
