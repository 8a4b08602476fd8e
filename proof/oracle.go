package proof

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/relay"
)

// Oracle checks the invariants of the system. For each request it records the
// tokens that the caller received and how each attempt ended; it reads the runs
// from the backend servers. It does not depend on the implementation of entry
// hosts.
type Oracle struct {
	world *World

	mu       sync.Mutex // guards all below, and the fields of Request and Attempt that name it
	requests []*Request
	bodies   int
	faults   []string
	outcomes map[contract.Outcome]int
}

func newOracle(w *World) *Oracle {
	return &Oracle{world: w, outcomes: map[contract.Outcome]int{}}
}

// begin records the start of an attempt and returns the id of the last event
// that the caller received.
func (o *Oracle) begin(a *Attempt) string {
	ran := o.world.runs(a.Request.Body)
	o.mu.Lock()
	defer o.mu.Unlock()
	r := a.Request
	if len(r.attempts) == 0 {
		o.requests = append(o.requests, r)
	}
	r.attempts = append(r.attempts, a)
	a.began, a.ranThen = time.Now(), ran
	if a.resumed {
		a.from = r.received
	}
	a.next = a.from
	return r.lastEvent
}

// token records a received token and checks that tokens arrive in order,
// without gaps and from one generation only.
func (o *Oracle) token(a *Attempt, id string, token relay.TokenEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := a.Request
	generation, _, _ := strings.Cut(token.Text, ".")
	if r.generation == "" {
		r.generation = generation
	}
	switch {
	case token.Index != a.next:
		o.faultf("%s: received token %d, want token %d", a.Request.Body, token.Index, a.next)
	case generation != r.generation:
		o.faultf("%s: received a token of generation %s after one of generation %s", a.Request.Body, generation, r.generation)
	case token.Text != engine.TokenText(generation, token.Index):
		o.faultf("%s: token %d has the wrong text %q", a.Request.Body, token.Index, token.Text)
	case id == "":
		o.faultf("%s: token %d has no event id", a.Request.Body, token.Index)
	}
	a.next = token.Index + 1
	if a.next > r.received {
		r.received, r.lastEvent = a.next, id
	}
}

// whole checks that the end event counts all received tokens and that a
// generation that finished with "stop" has the requested length.
func (o *Oracle) whole(a *Attempt, end relay.TokenEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if end.Tokens != a.next {
		o.faultf("%s: end event counts %d tokens, caller received %d", a.Request.Body, end.Tokens, a.next)
	}
	if end.FinishReason == "stop" && end.Tokens != a.Request.Tokens {
		o.faultf("%s: ended after %d of %d tokens", a.Request.Body, end.Tokens, a.Request.Tokens)
	}
}

// end records how an attempt ended and checks that an outcome of "not run" is
// correct: the request must not have run before the attempt began, and the
// attempt must not have received tokens.
func (o *Oracle) end(a *Attempt, refusal *contract.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.ended, a.Outcome, a.Took = true, contract.OutcomeDone, time.Since(a.began)
	if refusal != nil {
		a.Outcome, a.Reason, a.detail = refusal.Outcome, refusal.Reason, refusal.Detail
	}
	o.outcomes[a.Outcome]++
	if a.Outcome == contract.OutcomeNotRun && !a.resumed && a.ranThen > 0 {
		o.faultf("%s: outcome not run (%s) although the request ran before the attempt", a.Request.Body, a.Reason)
	}
	if a.Outcome == contract.OutcomeNotRun && a.next > a.from {
		o.faultf("%s: outcome not run (%s) after %d tokens", a.Request.Body, a.Reason, a.next-a.from)
	}
}

// Check checks the invariants over all requests and returns every violation
// found so far. Call it after every attempt has ended.
func (o *Oracle) Check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		o.checkRuns(r)
	}
	o.checkKeys()
	return append([]string(nil), o.faults...)
}

// checkRuns checks that work that is not idempotent ran at most once, that a
// request did not run if all its attempts ended as "not run", and that a request
// ran if one of its attempts ended as "done".
func (o *Oracle) checkRuns(r *Request) {
	runs, done, mayHaveRun := o.world.runs(r.Body), false, false
	for _, a := range r.attempts {
		done = done || a.Outcome == contract.OutcomeDone
		mayHaveRun = mayHaveRun || a.Outcome != contract.OutcomeNotRun
	}
	switch {
	case runs > 1 && (r.Kind == Letter || r.Kind == Verdict):
		o.faultf("%s: ran %d times", r.Body, runs)
	case runs > 0 && !mayHaveRun:
		o.faultf("%s: ran, but the outcome of every attempt is not run", r.Body)
	case runs == 0 && done:
		o.faultf("%s: outcome done, but the request did not run", r.Body)
	}
}

// checkKeys checks that at most one of the requests sent with the same key ran.
func (o *Oracle) checkKeys() {
	ran := map[string]string{}
	for _, r := range o.requests {
		if r.Key == "" || o.world.runs(r.Body) == 0 {
			continue
		}
		if other := ran[r.Key]; other != "" {
			o.faultf("%s: ran, but %s ran with the same key", r.Body, other)
		}
		ran[r.Key] = r.Body
	}
}

func (o *Oracle) fail(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faultf(format, args...)
}

// faultf records a violated invariant. The caller must hold mu.
func (o *Oracle) faultf(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

func (o *Oracle) lastEvent(r *Request) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return r.lastEvent
}

// newBody returns a request body that is unique in this world.
func (o *Oracle) newBody() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies++
	return fmt.Sprintf("request-%d", o.bodies)
}

// running returns the n-th attempt that has not ended, modulo their number; nil
// if all have ended.
func (o *Oracle) running(n int) *Attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	var running []*Attempt
	for _, r := range o.requests {
		for _, a := range r.attempts {
			if !a.ended {
				running = append(running, a)
			}
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[n%len(running)]
}

func (o *Oracle) received(r *Request) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return r.received
}

// Requests returns all requests, ordered by their first attempt.
func (o *Oracle) Requests() []*Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]*Request(nil), o.requests...)
}

// Ended returns how an attempt ended, and false if it has not ended.
func (o *Oracle) Ended(a *Attempt) (contract.Outcome, contract.Reason, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return a.Outcome, a.Reason, a.ended
}

// runs returns how often the request with this body ran on all backend servers.
func (w *World) runs(body string) int {
	count := 0
	for _, slot := range w.Models {
		for _, life := range slot.Lives() {
			count += life.RunsOf(body)
		}
	}
	for _, slot := range w.Plains {
		for _, life := range slot.Lives() {
			count += life.RunsOf(body)
		}
	}
	return count
}
