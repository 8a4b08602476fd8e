package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/papayasail/papayasail/placement"
)

// Request is one attempt of a caller. Whoever decodes it from the wire has
// read its body whole and taken out the headers that concern one connection
// and those that only this system sets.
type Request struct {
	ID     string // of this attempt; never used again
	Method string
	Host   string
	Path   string // as sent, without the query
	Query  string // as sent, with the question mark
	Header http.Header
	Body   []byte
	Key    string // of the organisation; "": none
	// Arrived is when the request's head was read.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Prompt   Prompt
}

// fingerprint is the same for a request that its caller sends again with
// another id.
func (r *Request) fingerprint(organisation string) uint64 {
	d := xxhash.New()
	for _, part := range []string{organisation, r.Method, r.Host, r.Path, r.Query} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Prompt is what a request says of the generation that it asks for.
type Prompt struct {
	Tokens    int
	MaxOutput int // tokens
	// HintedOutput is the caller's estimate, right at the median only; zero: none.
	HintedOutput int
}

// fallbackOutput is expected of generations that say nothing of their length.
const fallbackOutput = 256

// expectedOutput returns how many tokens a generation is expected to make.
func (p Prompt) expectedOutput() int {
	expected := p.HintedOutput
	if expected <= 0 {
		expected = fallbackOutput
	}
	if p.MaxOutput > 0 {
		expected = min(expected, p.MaxOutput)
	}
	return expected
}

func (p Prompt) need(kind Kind) placement.Need {
	if kind != Generation {
		return placement.Need{}
	}
	return placement.Need{PromptTokens: p.Tokens, OutputTokens: p.expectedOutput()}
}

// Reason says why a request was not answered by a backend server.
type Reason string

// Reasons.
const (
	ReasonNoConfiguration Reason = "no_configuration"       // none known yet
	ReasonStale           Reason = "configuration_unsure"   // unknown here, but this host may be behind
	ReasonNoRoute         Reason = "no_route"               // the newest configuration has none
	ReasonBadKey          Reason = "unknown_key"            // the newest configuration has no such key
	ReasonMalformed       Reason = "malformed"              // cannot be forwarded
	ReasonTooLarge        Reason = "too_large"              // over the configured limit
	ReasonStopping        Reason = "stopping"               // this host is being stopped
	ReasonHostStopped     Reason = "host_stopped"           // this host's stop ended before the request did
	ReasonNoServer        Reason = "no_backend_server"      // none is known
	ReasonEvacuated       Reason = "evacuated"              // all servers are in evacuated failure domains
	ReasonQuarantined     Reason = "quarantined"            // servers crash under it
	ReasonFull            Reason = "full"                   // no server has a place in time
	ReasonServerFull      Reason = "refused_by_server"      // the server said that it did not run
	ReasonUnreachable     Reason = "server_unreachable"     // no connection
	ReasonTimeout         Reason = "timeout"                // the route's or the caller's
	ReasonBroken          Reason = "answer_broken"          // lost or spoiled on its way
	ReasonCallerGone      Reason = "caller_gone"            // nobody waits any more
	ReasonMoveFailed      Reason = "run_lost_with_server"   // its server left before it could move
	ReasonWrongServer     Reason = "address_has_new_server" // another server answered
)

// Outcome is how a request ended.
type Outcome struct {
	// Status of the answer. Zero: the answer had begun and was cut off, or
	// nobody waits for it.
	Status int
	// Header and Body of a whole answer; unused once a stream has begun.
	Header http.Header
	Body   []byte
	// Streamed says that events were passed on; Complete, that the end was too.
	Streamed bool
	Complete bool
	// Reason is set where the answer is this system's own.
	Reason Reason
	// NotRun promises that no server runs the request, now or later.
	NotRun     bool
	RetryAfter time.Duration
}

// refused is a request that did not run and never will.
func refused(reason Reason, after time.Duration) Outcome {
	return Outcome{Status: http.StatusServiceUnavailable, Reason: reason, NotRun: true, RetryAfter: after}
}

// denied is a request that the configuration does not allow.
func denied(status int, reason Reason) Outcome {
	return Outcome{Status: status, Reason: reason, NotRun: true}
}

// failed is a request that may have run.
func failed(status int, reason Reason) Outcome { return Outcome{Status: status, Reason: reason} }

// abandoned is a request for which nobody waits.
func abandoned() Outcome { return Outcome{Reason: ReasonCallerGone} }

// Sink takes a streamed answer.
type Sink interface {
	// Begin passes on the head of the answer.
	Begin(status int, header http.Header) error
	// Event passes on whole events at once.
	Event(block []byte) error
}
