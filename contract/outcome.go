// Package contract defines the interface of papayasail to callers and service
// owners: service documents, outcomes and refusals of requests, and which calls
// are idempotent.
package contract

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is the result of a request. Every request ends with exactly one.
type Outcome string

const (
	// OutcomeDone means that the caller received the whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun guarantees that no backend server ran any part of the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run, partly or completely.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the code for why a request was refused or ended without its whole
// answer. Codes are stable and part of the caller API.
type Reason string

// Reasons.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonKeyRequired     Reason = "idempotency_key_required"
	ReasonKeyInvalid      Reason = "idempotency_key_invalid"
	ReasonKeyReused       Reason = "idempotency_key_reused"
	ReasonKeyUnused       Reason = "idempotency_key_unused" // no request with the key has run or will
	ReasonHomeUnreachable Reason = "home_unreachable"
	ReasonNotHolder       Reason = "not_holder" // used between entry hosts only
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
	ReasonQuarantined     Reason = "quarantined" // backend servers crash while running the request
	ReasonCallerGone      Reason = "caller_gone"
)

// Refusal is the error of a request that ended without its whole answer. Callers
// receive it as an RFC 9457 problem document.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Status  int // HTTP status code
	// RetryAfter is the delay after which the caller may retry; zero means that
	// retrying the same request is of no use.
	RetryAfter time.Duration
	Detail     string
	Err        error // cause, for logs only; never shown to callers
}

// Error formats the refusal for logs.
func (r *Refusal) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", r.Outcome, r.Reason, r.Detail, r.Err)
	}
	return fmt.Sprintf("%s (%s): %s", r.Outcome, r.Reason, r.Detail)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// NotRun returns a refusal for a request that did not run, with status 503. If a
// retry cannot succeed, the status must be replaced using WithStatus.
func NotRun(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Detail: detail}
}

// Unknown returns a refusal for a request that may have run, with status 502.
func Unknown(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, Status: http.StatusBadGateway, RetryAfter: retryAfter, Detail: detail}
}

// WithStatus sets the HTTP status and returns the refusal.
func (r *Refusal) WithStatus(status int) *Refusal {
	r.Status = status
	return r
}

// WithCause sets the error that caused the refusal and returns the refusal.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Err = err
	return r
}
