package gateway

import (
	"context"
	"mime"
	"net/http"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
)

// answerKind is what a backend server's answer is to the request.
type answerKind int

const (
	// answerWrong is not the server's answer to the request, which may have run. Nothing
	// of it may reach the caller.
	answerWrong answerKind = iota
	// answerRefusal reports that the server did not run the request.
	answerRefusal
	// answerWhole is relayed once it was read to its end, be it a success or a failure.
	answerWhole
	// answerStream is a success that is relayed while it is generated.
	answerStream
)

// kindOf returns what an answer is, by its head. Calls, streams and resumed runs all
// decide by it. Without the server's mark, only a failure that promises nothing counts.
func (t *task) kindOf(reply *Reply) answerKind {
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	switch {
	case reply.WrongServer, reply.NotRun && reply.Status >= http.StatusBadRequest:
		return answerRefusal
	case reply.NotRun, !reply.Complete && !promisesNothing(reply.Status):
		return answerWrong
	case t.route.Kind == Generation && success && isEventStream(reply):
		return answerStream
	}
	return answerWhole
}

// promisesNothing reports whether callers conclude nothing from a status about whether the
// request has run or may be repeated. By 408, 421, 429 and 503 they conclude that it has
// not run, by all others below 500 that it must not be repeated.
func promisesNothing(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable
}

// isEventStream reports whether a successful answer is a stream of events. One of status
// 200 that names no media type counts as one.
func isEventStream(reply *Reply) bool {
	named := reply.Header.Get("Content-Type")
	if named == "" {
		return reply.Status == http.StatusOK
	}
	media, _, err := mime.ParseMediaType(named)
	return err == nil && media == backend.ContentTypeSSE
}

// wrongAnswer returns the result of an attempt that got an answer of kind answerWrong. The
// server is blamed, but not suspected of a crash.
func (t *task) wrongAnswer(ctx context.Context, work *fleet.Work) attempt {
	t.gateway.blame(work.Server(), func() { work.Outcome(true) })
	return t.mayHaveRun(ctx, ReasonBroken)
}
