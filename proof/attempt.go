package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/relay"
)

const (
	idleTimeout    = 5 * time.Second  // without data, after which a caller treats its connection as failed
	attemptTimeout = 75 * time.Second // after which a caller cancels an attempt
)

// Kind is the type of work that a request is for.
type Kind int

const (
	Narrative Kind = iota // an idempotent generation
	Letter                // a generation that may run at most once
	Verdict               // an exact call that may run at most once
	Reading               // an idempotent exact call
)

// Request is one unit of work of a caller. It may be sent several times; see
// Attempt.
type Request struct {
	Kind   Kind
	Body   string // unique, so that runs on backend servers can be matched to the request
	Tokens int    // length of the generation
	Key    string // idempotency key; empty if the kind requires none
	// usesClient reports whether the client library sends the request, in which
	// case the library creates the keys.
	usesClient bool

	// The oracle's mutex guards the rest.
	attempts   []*Attempt
	generation string // id of the generation from which the caller received tokens
	lastEvent  string // newest event id that the caller received
	received   int    // number of tokens that the caller received, from offset 0
}

// Attempt is one transmission of a request to one entry host.
type Attempt struct {
	Request     *Request
	Host        string
	resumed     bool
	from        int // expected offset of the first token
	startedAt   time.Time
	runsAtStart int // runs of the request when the attempt began
	cancel      context.CancelFunc

	// The oracle's mutex guards the rest.
	next    int // offset of the next token
	ended   bool
	Outcome contract.Outcome // set when ended is true
	Reason  contract.Reason  // reason of the refusal; empty if the connection failed
	Elapsed time.Duration
	detail  string
}

func dialFrom(n link.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) }
}

// Send starts an attempt at a host and returns without waiting for its end.
func (w *World) Send(r *Request, host *HostSlot) *Attempt {
	return w.startAttempt(&Attempt{Request: r, Host: host.Address()})
}

// SendChanged sends a different request with the key of an earlier one.
func (w *World) SendChanged(r *Request, host *HostSlot) *Attempt {
	return w.Send(&Request{Kind: r.Kind, Tokens: r.Tokens, Key: r.Key, Body: w.Oracle.newBody()}, host)
}

// Resume resumes a stream at a host after the last event that the caller
// received. It returns nil if the caller received no event.
func (w *World) Resume(r *Request, host *HostSlot) *Attempt {
	if w.Oracle.lastEvent(r) == "" {
		return nil
	}
	return w.startAttempt(&Attempt{Request: r, Host: host.Address(), resumed: true})
}

func (w *World) startAttempt(a *Attempt) *Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	a.cancel = cancel
	lastEvent := w.Oracle.beginAttempt(a)
	w.callers.Go(func() {
		defer cancel()
		var refusal *contract.Refusal
		if a.Request.Kind == Narrative || a.Request.Kind == Letter {
			refusal = w.generate(ctx, a, lastEvent)
		} else {
			refusal = w.call(ctx, a)
		}
		w.Oracle.endAttempt(a, refusal)
	})
	return a
}

// Abandon closes the caller's connection.
func (a *Attempt) Abandon() { a.cancel() }

// connectionFailure returns the result of an attempt whose connection failed.
// Its outcome is unknown to the caller.
func connectionFailure(err error) *contract.Refusal {
	return &contract.Refusal{Outcome: contract.OutcomeUnknown, Err: err}
}

func (w *World) newHTTPRequest(ctx context.Context, a *Attempt, method, path string, body string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.Host+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+callerToken)
	if a.Request.Key != "" {
		request.Header.Set(relay.HeaderKey, a.Request.Key)
	}
	return request, nil
}

// generate requests a generation, or resumes one, and reads the stream to its
// end.
func (w *World) generate(ctx context.Context, a *Attempt, lastEvent string) *contract.Refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	service := ServiceNarratives
	if a.Request.Kind == Letter {
		service = ServiceLetters
	}
	body, _ := json.Marshal(relay.GenerateRequest{Prompt: a.Request.Body, StopAfter: a.Request.Tokens})
	request, err := w.newHTTPRequest(ctx, a, http.MethodPost, "/v1/services/"+service+"/generations", string(body))
	if err != nil {
		return connectionFailure(err)
	}
	if a.resumed {
		request.Header.Set(relay.HeaderLastEventID, lastEvent)
	}
	response, err := w.http.Do(request)
	if err != nil {
		return connectionFailure(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return w.readProblem(a, response)
	}
	silent := time.AfterFunc(idleTimeout, cancel)
	defer silent.Stop()
	lines := bufio.NewScanner(response.Body)
	var event sseEvent
	for lines.Scan() {
		silent.Reset(idleTimeout)
		if !event.line(lines.Text()) {
			continue
		}
		if done, refusal := w.handleEvent(a, event); done {
			return refusal
		}
		event = sseEvent{}
	}
	return connectionFailure(lines.Err())
}

// sseEvent is one server-sent event.
type sseEvent struct{ name, id, data string }

// line adds one line of the stream and reports whether the event is complete.
func (e *sseEvent) line(line string) bool {
	field, value, _ := strings.Cut(line, ": ")
	switch field {
	case "event":
		e.name = value
	case "id":
		e.id = value
	case "data":
		e.data = value
	}
	return line == "" && e.name != ""
}

// handleEvent handles one event. It reports whether the event ends the stream,
// and returns the refusal of an error event.
func (w *World) handleEvent(a *Attempt, event sseEvent) (bool, *contract.Refusal) {
	if event.name == relay.EventError {
		return true, parseProblem([]byte(event.data))
	}
	var token relay.TokenEvent
	if err := json.Unmarshal([]byte(event.data), &token); err != nil {
		w.Oracle.reportViolation("%s: cannot decode event %q", a.Request.Body, event.data)
		return true, connectionFailure(err)
	}
	if event.name == relay.EventEnd {
		w.Oracle.checkEnd(a, token)
		return true, nil
	}
	w.Oracle.addToken(a, event.id, token)
	return false, nil
}

// readProblem reads a refusal. Every refusal has to be a problem document with
// an outcome and a reason; the oracle records any other as a violation.
func (w *World) readProblem(a *Attempt, response *http.Response) *contract.Refusal {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return connectionFailure(err)
	}
	refusal := parseProblem(body)
	if refusal.Outcome != contract.OutcomeNotRun && refusal.Outcome != contract.OutcomeUnknown || refusal.Reason == "" {
		w.Oracle.reportViolation("%s: status %d without outcome and reason: %s", a.Request.Body, response.StatusCode, body)
	}
	return refusal
}

func parseProblem(body []byte) *contract.Refusal {
	var problem relay.Problem
	if json.Unmarshal(body, &problem) != nil {
		return &contract.Refusal{}
	}
	return &contract.Refusal{
		Outcome: contract.Outcome(problem.Outcome), Reason: contract.Reason(problem.Reason), Status: problem.Status,
		RetryAfter: time.Duration(problem.RetryAfterMS) * time.Millisecond, Detail: problem.Detail,
	}
}

// call sends an exact call and checks its response.
func (w *World) call(ctx context.Context, a *Attempt) *contract.Refusal {
	method, path := http.MethodPost, plain.PathVerdicts
	if a.Request.Kind == Reading {
		method, path = http.MethodGet, plain.PathReadings
	}
	request, err := w.newHTTPRequest(ctx, a, method, "/v1/services/"+ServiceRisk+"/call"+path, a.Request.Body)
	if err != nil {
		return connectionFailure(err)
	}
	response, err := w.http.Do(request)
	if err != nil {
		return connectionFailure(err)
	}
	defer response.Body.Close()
	if response.Header.Get("Content-Type") == "application/problem+json" {
		return w.readProblem(a, response)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return connectionFailure(err)
	}
	w.checkAnswer(a, method, path, response.StatusCode, body)
	return nil
}

// checkAnswer checks that a caller received the complete response to its own
// request. The response may be an error of the backend server, which the entry
// host has to forward unchanged.
func (w *World) checkAnswer(a *Attempt, method, path string, status int, body []byte) {
	want := plain.AnswerText(method, path, a.Request.Body)
	if status == http.StatusInternalServerError {
		want = plain.FailText
	}
	if string(body) != want {
		w.Oracle.reportViolation("%s: got status %d and %q", a.Request.Body, status, body)
	}
}

// Home queries host via for the list of addresses and returns the home of host
// target, which is the prefix of keys for that host.
func (w *World) Home(via, target *HostSlot) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), idleTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+via.Address()+"/v1/addresses", nil)
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+callerToken)
	response, err := w.http.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []struct{ Host, Home string }
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return "", err
	}
	for _, address := range answer.Addresses {
		if address.Host == target.Name {
			return address.Home, nil
		}
	}
	return "", fmt.Errorf("address list contains no home of %s", target.Name)
}
