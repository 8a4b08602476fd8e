package proof

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/entryhost"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/relay"
	"github.com/papayasail/papayasail/store"
)

// gentleVerbs are the actions under which every request sent through the client
// library has to succeed: graceful restarts of hosts, drains of backend servers
// and outages of the platform's store.
var gentleVerbs = []string{
	"narrative", "letter", "verdict", "reading", "restart host", "drain server", "end drain", "platform out", "platform in", "wait",
}

// RunGentleSequence executes a sequence of gentle actions with callers that use
// the client library and returns the violations that the oracle found. A
// request that does not succeed is a violation.
func RunGentleSequence(actions []Action, counts *Counts) []string {
	w, err := NewWorld(defaultHosts, entryhost.DefaultPolicy)
	if err != nil {
		return []string{err.Error()}
	}
	for _, action := range actions {
		if w.doGentle(action) {
			counts.add(action.Verb)
		}
	}
	w.AwaitCallers()
	violations := w.Oracle.Check()
	counts.addSequence(w.Oracle)
	w.Close()
	return violations
}

var requestKinds = map[string]Kind{"narrative": Narrative, "letter": Letter, "verdict": Verdict, "reading": Reading}

func (w *World) doGentle(a Action) bool {
	if kind, ok := requestKinds[a.Verb]; ok {
		w.sendWithClient(kind, a, func(r *Request, err error) {
			if err != nil {
				w.Oracle.reportViolation("%s: failed although no fault was injected: %v", r.Body, err)
			}
			if ran := w.runCount(r.Body); ran != 1 {
				w.Oracle.reportViolation("%s: ran %d times although no fault was injected, want 1", r.Body, ran)
			}
		})
		return true
	}
	switch a.Verb {
	case "restart host":
		return w.upHosts() > 1 && restartHost(w, a)
	case "drain server", "end drain":
		// Only the first engine and the first plain service are ever drained, so
		// one of each always accepts new work.
		return w.drain(w.host(a.A), a.B%2*engines, a.Verb == "end drain")
	case "platform out":
		w.Store.SetFaults(store.Faults{Outage: true})
		return true
	}
	return verbs[a.Verb](w, a)
}

func (w *World) upHosts() int {
	up := 0
	for _, host := range w.Hosts {
		if host.Up() {
			up++
		}
	}
	return up
}

// sendWithClient sends a new request through the client library and returns
// without waiting for its end. It calls check when the request has ended.
func (w *World) sendWithClient(kind Kind, a Action, check func(*Request, error)) {
	attempt := &Attempt{Request: &Request{Kind: kind, Tokens: 5 + a.N*7, Body: w.Oracle.newBody(), usesClient: true}}
	w.Oracle.beginAttempt(attempt)
	w.callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*attemptTimeout)
		defer cancel()
		err := w.requestWithClient(ctx, attempt)
		var refusal *contract.Refusal
		if err != nil && !errors.As(err, &refusal) {
			refusal = connectionFailure(err)
		}
		w.Oracle.endAttempt(attempt, refusal)
		check(attempt.Request, err)
	})
}

func (w *World) requestWithClient(ctx context.Context, a *Attempt) error {
	if a.Request.Kind == Narrative || a.Request.Kind == Letter {
		return w.streamWithClient(ctx, a)
	}
	return w.callWithClient(ctx, a)
}

func (w *World) streamWithClient(ctx context.Context, a *Attempt) error {
	service := ServiceNarratives
	if a.Request.Kind == Letter {
		service = ServiceLetters
	}
	stream, err := w.client.Generate(ctx, service, caller.Request{Prompt: a.Request.Body, StopAfter: a.Request.Tokens})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			w.Oracle.checkEnd(a, relay.TokenEvent{Tokens: stream.End().Tokens, FinishReason: stream.End().FinishReason})
			return nil
		}
		if err != nil {
			return err
		}
		w.Oracle.addToken(a, token.ID, relay.TokenEvent{Index: token.Index, Text: token.Text})
	}
}

func (w *World) callWithClient(ctx context.Context, a *Attempt) error {
	method, path := http.MethodPost, plain.PathVerdicts
	if a.Request.Kind == Reading {
		method, path = http.MethodGet, plain.PathReadings
	}
	answer, err := w.client.Call(ctx, ServiceRisk, method, path, []byte(a.Request.Body), nil)
	if err != nil {
		return err
	}
	w.checkAnswer(a, method, path, answer.Status, answer.Body)
	return nil
}
