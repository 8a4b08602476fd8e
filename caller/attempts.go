package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// attempts decides whether one request is retried, at which entry host, and with
// which idempotency key.
//
// It guards against running a request twice: after an attempt with an unknown
// outcome the key never changes, so that the key's home returns the recorded
// outcome instead of running the request again. A new key is used only while
// every attempt so far is known not to have run: none was sent, or the key's
// home has answered that the key was never used and never will be.
type attempts struct {
	client          *Client
	address         Address
	key             string
	mayHaveRun      bool // an attempt may have run
	started         bool // tokens have arrived, so that the key was used
	failureReported bool // a failure of the backend server was reported before for this request
	failures        int  // consecutive attempts and address lookups without progress
}

// chooseAddress chooses the address of the next attempt and, where allowed, a new
// key. It repeats the address lookup while no entry host returns an address, for
// example while all entry hosts are being replaced.
func (a *attempts) chooseAddress(ctx context.Context) error {
	for {
		address, err := a.client.book.preferred(ctx)
		if err == nil {
			a.setAddress(address)
			return nil
		}
		wait := a.addressRetryDelay(err)
		a.failures++
		if wait <= 0 || a.failures >= a.client.config.MaxAttempts {
			return a.finalError(err)
		}
		if err := pause(ctx, wait); err != nil {
			return a.finalError(err)
		}
	}
}

func (a *attempts) setAddress(address Address) {
	a.address = address
	if !a.mayHaveRun {
		a.key = address.mintKey()
	}
}

// addressRetryDelay returns the wait before the next address lookup after err;
// zero means that the lookup is not repeated.
func (a *attempts) addressRetryDelay(err error) time.Duration {
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return backoff(a.failures)
}

// resetFailures resets the count of attempts and lookups without progress.
func (a *attempts) resetFailures() { a.failures = 0 }

// prepareNext prepares the next attempt after one that failed with cause. It waits for
// the retry time of cause and chooses an address. It returns nil if another
// attempt may be made, and otherwise the error for the caller.
func (a *attempts) prepareNext(ctx context.Context, cause error) error {
	refusal := asRefusal(cause)
	switch {
	case refusal.Outcome == contract.OutcomeUnknown:
		a.mayHaveRun = true
	case refusal.Reason == contract.ReasonKeyUnused && !a.started:
		a.mayHaveRun = false // holds for earlier attempts too, as all had this key
	}
	a.failures++
	if a.isRecordedFailure(refusal) {
		return a.finalError(refusal)
	}
	if refusal.RetryAfter <= 0 || a.failures >= a.client.config.MaxAttempts {
		return a.finalError(refusal)
	}
	a.client.book.demote(a.address)
	switch refusal.Reason {
	case contract.ReasonHostLeaving, contract.ReasonKeyInvalid, contract.ReasonKeyUnused:
		a.client.book.expire()
	}
	if err := pause(ctx, refusal.RetryAfter); err != nil {
		return a.finalError(err)
	}
	return a.chooseAddress(ctx)
}

// isRecordedFailure reports whether the refusal means that the backend server
// failed with an unknown outcome and such a failure was reported before for this
// request, also before progress of its stream. It sets failureReported. The second
// such refusal is taken for the outcome recorded at the home, which does not
// change. Without this check the caller would use up all its attempts to get the
// same refusal.
func (a *attempts) isRecordedFailure(refusal *contract.Refusal) bool {
	if refusal.Outcome != contract.OutcomeUnknown || refusal.Reason != contract.ReasonBackendFailed {
		return false
	}
	again := a.failureReported
	a.failureReported = true
	return again
}

// finalError returns the error for the caller. Once an attempt may have run, the
// outcome is "unknown" even if a later attempt was refused as "not run".
func (a *attempts) finalError(cause error) error {
	refusal := *asRefusal(cause)
	if a.mayHaveRun {
		refusal.Outcome = contract.OutcomeUnknown
	}
	return &refusal
}

// connectionRefusal returns the refusal of an attempt whose connection failed, or
// whose response was incomplete, too large or not readable; err may then be nil. Its
// retry time grows with the number of consecutive failures.
func (a *attempts) connectionRefusal(sent bool, err error) *contract.Refusal {
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal // the request could not even be built
	}
	wait := backoff(a.failures)
	if !sent {
		return contract.NotRun(contract.ReasonHomeUnreachable, wait, "no connection to the entry host").WithCause(err)
	}
	return contract.Unknown(contract.ReasonHomeUnreachable, wait, "connection to the entry host broke").WithCause(err)
}

// backoff returns the wait after a number of consecutive failures. It starts
// short, because another entry host is usually available, and has jitter, so that
// the callers of a dead entry host do not retry at the same time.
func backoff(failed int) time.Duration {
	wait := min(firstBackoff<<min(failed, 10), maxBackoff)
	return wait/2 + rand.N(wait/2+1)
}

func asRefusal(err error) *contract.Refusal {
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return contract.NotRun(contract.ReasonHomeUnreachable, 0, "no entry host could be asked").WithCause(err)
}

func pause(ctx context.Context, d time.Duration) error {
	if err := sleep.For(ctx, d); err != nil {
		return contract.NotRun(contract.ReasonDeadline, 0, "given up while waiting").WithCause(err)
	}
	return nil
}
