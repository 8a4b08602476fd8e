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

	mu         sync.Mutex // guards the fields below, and those of Request and Attempt marked as guarded by it
	requests   []*Request
	bodies     int
	violations []string
	outcomes   map[contract.Outcome]int
}

func newOracle(w *World) *Oracle {
	return &Oracle{world: w, outcomes: map[contract.Outcome]int{}}
}

// beginAttempt records the start of an attempt and returns the id of the last
// event that the caller received.
func (o *Oracle) beginAttempt(a *Attempt) string {
	ran := o.world.runCount(a.Request.Body)
	o.mu.Lock()
	defer o.mu.Unlock()
	r := a.Request
	if len(r.attempts) == 0 {
		o.requests = append(o.requests, r)
	}
	r.attempts = append(r.attempts, a)
	a.startedAt, a.runsAtStart = time.Now(), ran
	if a.resumed {
		a.from = r.received
	}
	a.next = a.from
	return r.lastEvent
}

// addToken records a received token and checks that tokens arrive in order,
// without gaps and from one generation only.
func (o *Oracle) addToken(a *Attempt, id string, token relay.TokenEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := a.Request
	generation, _, _ := strings.Cut(token.Text, ".")
	if r.generation == "" {
		r.generation = generation
	}
	switch {
	case token.Index != a.next:
		o.addViolation("%s: received token %d, want token %d", a.Request.Body, token.Index, a.next)
	case generation != r.generation:
		o.addViolation("%s: received a token of generation %s after one of generation %s", a.Request.Body, generation, r.generation)
	case token.Text != engine.TokenText(generation, token.Index):
		o.addViolation("%s: token %d has the wrong text %q", a.Request.Body, token.Index, token.Text)
	case id == "":
		o.addViolation("%s: token %d has no event id", a.Request.Body, token.Index)
	}
	a.next = token.Index + 1
	if a.next > r.received {
		r.received, r.lastEvent = a.next, id
	}
}

// checkEnd checks that the end event counts all received tokens and that a
// generation that finished with "stop" has the requested length.
func (o *Oracle) checkEnd(a *Attempt, end relay.TokenEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if end.Tokens != a.next {
		o.addViolation("%s: end event counts %d tokens, caller received %d", a.Request.Body, end.Tokens, a.next)
	}
	if end.FinishReason == "stop" && end.Tokens != a.Request.Tokens {
		o.addViolation("%s: ended after %d of %d tokens", a.Request.Body, end.Tokens, a.Request.Tokens)
	}
}

// endAttempt records how an attempt ended and checks that an outcome of "not run"
// is correct: unless the attempt resumes a stream, the request must not have run
// before it began, and the attempt must not have received tokens in any case.
func (o *Oracle) endAttempt(a *Attempt, refusal *contract.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.ended, a.Outcome, a.Elapsed = true, contract.OutcomeDone, time.Since(a.startedAt)
	if refusal != nil {
		a.Outcome, a.Reason, a.detail = refusal.Outcome, refusal.Reason, refusal.Detail
	}
	o.outcomes[a.Outcome]++
	if a.Outcome == contract.OutcomeNotRun && !a.resumed && a.runsAtStart > 0 {
		o.addViolation("%s: outcome not run (%s) although the request ran before the attempt", a.Request.Body, a.Reason)
	}
	if a.Outcome == contract.OutcomeNotRun && a.next > a.from {
		o.addViolation("%s: outcome not run (%s) after %d tokens", a.Request.Body, a.Reason, a.next-a.from)
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
	return append([]string(nil), o.violations...)
}

// checkRuns checks that work that is not idempotent ran at most once, that a
// request did not run if all its attempts ended as "not run", and that a request
// ran if one of its attempts ended as "done".
func (o *Oracle) checkRuns(r *Request) {
	runs, done, mayHaveRun := o.world.runCount(r.Body), false, false
	for _, a := range r.attempts {
		done = done || a.Outcome == contract.OutcomeDone
		mayHaveRun = mayHaveRun || a.Outcome != contract.OutcomeNotRun
	}
	switch {
	case runs > 1 && (r.Kind == Letter || r.Kind == Verdict):
		o.addViolation("%s: ran %d times", r.Body, runs)
	case runs > 0 && !mayHaveRun:
		o.addViolation("%s: ran, but the outcome of every attempt is not run", r.Body)
	case runs == 0 && done:
		o.addViolation("%s: outcome done, but the request did not run", r.Body)
	}
}

// checkKeys checks that at most one of the requests sent with the same key ran.
func (o *Oracle) checkKeys() {
	ran := map[string]string{}
	for _, r := range o.requests {
		if r.Key == "" || o.world.runCount(r.Body) == 0 {
			continue
		}
		if other := ran[r.Key]; other != "" {
			o.addViolation("%s: ran, but %s ran with the same key", r.Body, other)
		}
		ran[r.Key] = r.Body
	}
}

func (o *Oracle) reportViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(format, args...)
}

// addViolation records a violated invariant. The caller must hold mu.
func (o *Oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
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

// runningAttempt returns the n-th attempt that has not ended, modulo their
// number; nil if all have ended.
func (o *Oracle) runningAttempt(n int) *Attempt {
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

func (o *Oracle) receivedTokens(r *Request) int {
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

// AttemptResult returns how an attempt ended, and false if it has not ended.
func (o *Oracle) AttemptResult(a *Attempt) (contract.Outcome, contract.Reason, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return a.Outcome, a.Reason, a.ended
}

// runCount returns how often the request with this body ran on all backend
// servers.
func (w *World) runCount(body string) int {
	count := 0
	for _, slot := range w.Engines {
		for _, incarnation := range slot.Incarnations() {
			count += incarnation.RunsOf(body)
		}
	}
	for _, slot := range w.Plains {
		for _, incarnation := range slot.Incarnations() {
			count += incarnation.RunsOf(body)
		}
	}
	return count
}
