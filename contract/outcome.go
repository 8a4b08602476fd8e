// Package contract holds what papayasail promises to callers and what service
// owners ask of it: service documents, outcomes, refusals and idempotency.
package contract

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says what became of a request. Every request ends in exactly one.
type Outcome string

const (
	// OutcomeDone means that the caller received the whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun promises that no backend server ran any part of the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run, in part or whole.
	OutcomeUnknown Outcome = "unknown"
)

// Reason names why a request was refused or ended without its whole answer.
// It is stable and part of the caller API.
type Reason string

const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonKeyRequired     Reason = "idempotency_key_required"
	ReasonKeyInvalid      Reason = "idempotency_key_invalid"
	ReasonKeyReused       Reason = "idempotency_key_reused"
	ReasonHomeUnreachable Reason = "home_unreachable"
	ReasonNotHolder       Reason = "not_holder" // between entry hosts only
	ReasonHomeGone        Reason = "home_gone"
	ReasonInProgress      Reason = "in_progress"
	ReasonEventIDInvalid  Reason = "event_id_invalid"
	ReasonGenerationLost  Reason = "generation_lost"
	ReasonOverloaded      Reason = "overloaded"
	ReasonLimit           Reason = "organisation_limit"
	ReasonDeadline        Reason = "deadline"
	ReasonNoBackendServer Reason = "no_backend_server"
	ReasonBackendRefused  Reason = "backend_refused"
	ReasonBackendFailed   Reason = "backend_failed"
	ReasonAnswerMismatch  Reason = "answer_mismatch"
	ReasonHostLeaving     Reason = "entry_host_leaving"
	ReasonRecordsFull     Reason = "records_full"
	ReasonQuarantined     Reason = "quarantined" // backend servers crash under the request
	ReasonCallerGone      Reason = "caller_gone"
)

// Refusal is the error that ends a request without its whole answer. It is
// rendered to callers as an RFC 9457 problem document.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Status  int // HTTP status code
	// RetryAfter tells the caller when to come back; zero means that coming
	// back with the same request is of no use.
	RetryAfter time.Duration
	Detail     string
	Err        error // cause, for logs only; never shown to callers
}

// Error renders the refusal for logs.
func (r *Refusal) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", r.Outcome, r.Reason, r.Detail, r.Err)
	}
	return fmt.Sprintf("%s (%s): %s", r.Outcome, r.Reason, r.Detail)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// NotRun builds a refusal for a request that did not run. Status is 503 when
// a later try may succeed and is to be overridden otherwise.
func NotRun(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Detail: detail}
}

// Unknown builds a refusal for a request that may have run.
func Unknown(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, Status: http.StatusBadGateway, RetryAfter: retryAfter, Detail: detail}
}

// WithStatus sets the HTTP status and returns the refusal.
func (r *Refusal) WithStatus(status int) *Refusal {
	r.Status = status
	return r
}

// WithCause records the error behind the refusal and returns the refusal.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Err = err
	return r
}
