package backend

import (
	"fmt"
	"time"
)

// Evidence classifies a failed call to a backend server. It determines whether
// the request may be retried.
type Evidence int

const (
	// NothingSent: the dial failed or no byte of the request was written.
	NothingSent Evidence = iota + 1
	// RefusedNotRun: the server refused the request and reported that it did
	// not run it.
	RefusedNotRun
	// Refused: the server answered with an error status but did not report
	// whether the request ran.
	Refused
	// Lost: the engine no longer has the generation.
	Lost
	// Silent: at least one byte was written, but the exchange was not complete
	// within its timeout or the context's deadline.
	Silent
	// Broken: the exchange failed otherwise after the first byte was written, for
	// example by a lost connection, a cancelled context, or a response that is over
	// the size limit or not framed.
	Broken
	// Mismatch: the response belongs to another request, its header has no end or an invalid
	// field name, its status is that of no answer, or the chunks of a stream are invalid or
	// out of order.
	Mismatch
)

var evidenceNames = map[Evidence]string{
	NothingSent:   "nothing_sent",
	RefusedNotRun: "refused_not_run",
	Refused:       "refused",
	Lost:          "lost",
	Silent:        "silent",
	Broken:        "broken",
	Mismatch:      "mismatch",
}

// String returns the name used in logs and metrics.
func (e Evidence) String() string {
	if name, ok := evidenceNames[e]; ok {
		return name
	}
	return "none"
}

// NotRun reports whether the evidence proves that the request did not run.
func (e Evidence) NotRun() bool { return e == NothingSent || e == RefusedNotRun }

// CallError is every error of Client methods and of Stream.Next except io.EOF.
type CallError struct {
	Evidence   Evidence
	Status     int           // HTTP status; zero without a response
	RetryAfter time.Duration // requested by the server; zero if it sent none
	Err        error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("backend: %s (status %d): %v", e.Evidence, e.Status, e.Err)
	}
	return fmt.Sprintf("backend: %s: %v", e.Evidence, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
