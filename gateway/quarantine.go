package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/quarantine"
)

// earlyRunWindow is the time after a generation's first event during which its run
// still counts as just started. A run without events, as that of a call, always
// counts as just started.
const earlyRunWindow = time.Second

var errQuarantined = errors.New("gateway: request was quarantined while it ran")

// withQuarantine returns a context that is cancelled when the request is
// quarantined or over is called. If the request is already quarantined, left is
// the remaining time of the quarantine.
func (t *task) withQuarantine(ctx context.Context) (bounded context.Context, over func(), left time.Duration) {
	ctx, cancel := context.WithCancelCause(ctx)
	end, left := t.gateway.options.Quarantine.Admit(t.fingerprint, func() { cancel(errQuarantined) })
	return ctx, func() {
		end()
		cancel(nil)
	}, left
}

// quarantinedOutcome returns the outcome of a request that was quarantined while
// it waited or ran.
func (t *task) quarantinedOutcome(before Outcome) Outcome {
	switch {
	case before.Streamed:
		before.Reason = ReasonQuarantined
		return before
	case t.sends > 0:
		return failed(http.StatusBadGateway, ReasonQuarantined)
	}
	return refused(ReasonQuarantined, t.gateway.options.Quarantine.Quarantined(t.fingerprint))
}

// reportSuspectedCrash reports the request as suspected of having crashed its
// server, whose connection broke before the end of the answer.
//
// A request that crashes every server that runs it is retried by its caller at
// one host after the other, and each crash ends all other runs on the server.
func (t *task) reportSuspectedCrash(work *fleet.Work) {
	server, workContext, backend := work.Server(), work.Context(), t.gateway.options.Backend
	run := quarantine.Run{
		Fingerprint: t.fingerprint, Sent: t.sentMark, Request: t.request.ID, Server: server.ID,
		Early: t.firstEvent == 0 || time.Since(t.request.Arrived) < t.firstEvent+earlyRunWindow,
	}
	t.gateway.options.Quarantine.ReportBroken(run, func(ctx context.Context) bool {
		return workContext.Err() != nil || backend.RefusesConnection(ctx, server)
	})
}

// reportIfBroken calls reportSuspectedCrash if err is evidence of a broken
// connection and ctx has not ended.
func (t *task) reportIfBroken(ctx context.Context, work *fleet.Work, err error) {
	var failure *backend.CallError
	if ctx.Err() == nil && errors.As(err, &failure) && failure.Evidence == backend.Broken {
		t.reportSuspectedCrash(work)
	}
}
