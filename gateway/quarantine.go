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

var errQuarantined = errors.New("gateway: request was quarantined while it ran")

// withQuarantine returns a context that is cancelled when the request is
// quarantined or over is called. If the request is already quarantined, left is
// the time after which it may be tried again.
func (t *task) withQuarantine(ctx context.Context) (bounded context.Context, over func(), left time.Duration) {
	ctx, cancel := context.WithCancelCause(ctx)
	admission, left := t.gateway.options.Quarantine.Admit(t.subject(), func() { cancel(errQuarantined) })
	if admission == nil {
		return ctx, func() { cancel(nil) }, left
	}
	t.admission = admission
	return ctx, func() {
		admission.End()
		cancel(nil)
	}, 0
}

// subject returns what identifies the request to the quarantine.
func (t *task) subject() quarantine.Subject {
	subject := quarantine.Subject{Request: t.fingerprint}
	for _, part := range t.request.Prompt.SharedParts {
		subject.Parts = append(subject.Parts, quarantine.PartID(t.service.Name, part))
	}
	return subject
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
	return refused(ReasonQuarantined, t.admission.Left())
}

// recordAnswer records that a server gave a whole answer with the given status.
func (t *task) recordAnswer(status int) {
	if status < http.StatusMultipleChoices {
		t.admission.Completed()
		return
	}
	t.admission.Answered()
}

// reportSuspectedCrash reports the request as suspected of having crashed its
// server, whose connection broke before the end of the answer.
//
// A request that crashes every server that runs it is retried by its caller at
// one host after the other, or another one with the same part in its prompt
// follows, and each crash ends all other runs on the server.
func (t *task) reportSuspectedCrash(work *fleet.Work) {
	server, workContext, backend := work.Server(), work.Context(), t.gateway.options.Backend
	t.admission.Broken(t.request.shortID(), server.ID, work.MayBeBrittle(), func(ctx context.Context) bool {
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
