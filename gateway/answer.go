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
// decide by it. Without the server's mark, neither a success counts, nor a status by
// which callers conclude that the request has not run.
func (t *task) kindOf(reply *Reply) answerKind {
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	switch {
	case reply.WrongServer, reply.NotRun && reply.Status >= http.StatusBadRequest:
		return answerRefusal
	case reply.NotRun, !reply.Complete && (success || meansNotRun(reply.Status)):
		return answerWrong
	case t.route.Kind == Generation && success && isEventStream(reply):
		return answerStream
	}
	return answerWhole
}

// meansNotRun reports whether callers conclude from a status that the request has not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
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
