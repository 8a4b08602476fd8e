package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/internal/bytebudget"
	"github.com/papayasail/papayasail/internal/shortid"
	"github.com/papayasail/papayasail/placement"
	"github.com/papayasail/papayasail/quarantine"
)

// Request is one attempt of a caller. The decoder has already read the whole
// body and removed hop-by-hop headers and headers that only this system may set.
type Request struct {
	ID     string // of this attempt, unique
	Method string
	Host   string
	Path   string // as sent, without the query
	Query  string // as sent, with the question mark
	Header http.Header
	Body   []byte
	Key    string // credential of the organisation; "": none
	// Arrived is when the request's head was read.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Prompt   Prompt
	// LastEventID is the last event that the caller has received of an answer that broke
	// off; "": none. It counts only on resumable routes.
	LastEventID string
}

// fingerprint returns a hash that is equal for retries of the same request,
// which have different IDs.
func (r *Request) fingerprint(organisation string) uint64 {
	d := xxhash.New()
	for _, part := range []string{organisation, r.Method, r.Host, r.Path, r.Query} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// shortID returns the ID for logs, tables and messages to other hosts.
func (r *Request) shortID() string { return shortid.Of(r.ID) }

// Prompt describes the requested generation.
type Prompt struct {
	Tokens    int
	MaxOutput int // tokens
	// HintedOutput is the caller's estimate of the output in tokens, accurate
	// only at the median; zero: none.
	HintedOutput int
	// SharedParts are the IDs of the parts of the prompt that other requests may have
	// too, in order. Only the first quarantine.MaxParts count.
	SharedParts []string
}

// logParts returns the shared parts for logs.
func (p Prompt) logParts() []string {
	parts := make([]string, 0, min(len(p.SharedParts), quarantine.MaxParts))
	for _, part := range p.SharedParts[:cap(parts)] {
		parts = append(parts, shortid.Of(part))
	}
	return parts
}

// fallbackOutput is the expected output, in tokens, of a generation without a
// length hint.
const fallbackOutput = 256

// expectedOutput returns the expected output of a generation in tokens.
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

// Reason names why a request was not answered by a backend server.
type Reason string

// Reasons.
const (
	ReasonNoConfiguration Reason = "no_configuration"       // none received yet
	ReasonStale           Reason = "configuration_unsure"   // no such route or key here, but the configuration may be stale
	ReasonNoRoute         Reason = "no_route"               // not in the newest configuration
	ReasonBadKey          Reason = "unknown_key"            // key not in the newest configuration
	ReasonNoService       Reason = "no_service"             // the route's service is not in the newest configuration
	ReasonUnreadable      Reason = "configuration_partial"  // what could allow it could not be read
	ReasonMalformed       Reason = "malformed"              // cannot be forwarded
	ReasonTooLarge        Reason = "too_large"              // body over the configured limit
	ReasonStopping        Reason = "stopping"               // this host is stopping
	ReasonHostStopped     Reason = "host_stopped"           // this host's stop deadline passed before the request ended
	ReasonNoServer        Reason = "no_backend_server"      // no server may get the request: none known, or all leaving, unreachable or already tried
	ReasonEvacuated       Reason = "evacuated"              // all servers are in evacuated failure domains
	ReasonQuarantined     Reason = "quarantined"            // servers crash while running it
	ReasonFull            Reason = "full"                   // no server has capacity in time
	ReasonServerFull      Reason = "refused_by_server"      // the server reported that it did not run the request
	ReasonUnreachable     Reason = "server_unreachable"     // no connection to a server
	ReasonTimeout         Reason = "timeout"                // of the route or the caller
	ReasonBroken          Reason = "answer_broken"          // the answer was lost, corrupted, incomplete, unmarked or too large
	ReasonCallerGone      Reason = "caller_gone"            // the caller disconnected
	ReasonMoveFailed      Reason = "run_lost_with_server"   // its server left before the run could move
	ReasonWrongServer     Reason = "address_has_new_server" // another server answered at the address
)

// Outcome is the result of a request.
type Outcome struct {
	// Status is the HTTP status of the answer. Zero: the answer was cut off
	// after it had begun, or the caller has disconnected.
	Status int
	// Header and Body are those of a whole answer; unused once a stream has begun.
	Header http.Header
	Body   []byte
	// Streamed is set if the answer is a stream of events. Complete is set if the
	// answer is complete; for a stream, if its end was relayed too.
	Streamed bool
	Complete bool
	// Reason is set if this system, not a backend server, produced the answer.
	Reason Reason
	// NotRun guarantees that no server has run or will run the request.
	NotRun     bool
	RetryAfter time.Duration

	memory *bytebudget.Account // of Body; nil: none
}

// Release ends the use of Body, whose memory then counts as free.
func (o *Outcome) Release() {
	if o.memory != nil {
		o.memory.Release()
	}
}

// refused returns the outcome of a request that has not run and will not run;
// the caller may retry it after the given delay.
func refused(reason Reason, after time.Duration) Outcome {
	return Outcome{Status: http.StatusServiceUnavailable, Reason: reason, NotRun: true, RetryAfter: after}
}

// denied returns the outcome of a request that the configuration does not allow.
func denied(status int, reason Reason) Outcome {
	return Outcome{Status: status, Reason: reason, NotRun: true}
}

// failed returns the outcome of a request that may have run.
func failed(status int, reason Reason) Outcome { return Outcome{Status: status, Reason: reason} }

// abandoned returns the outcome of a request whose caller has disconnected.
func abandoned() Outcome { return Outcome{Reason: ReasonCallerGone} }

// Sink receives a streamed answer.
type Sink interface {
	// Begin writes the head of the answer.
	Begin(status int, header http.Header) error
	// Event writes whole events without buffering.
	Event(block []byte) error
}
