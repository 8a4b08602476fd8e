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
// every attempt so far is known not to have run.
type attempts struct {
	client  *Client
	address Address
	key     string
	unknown bool // an attempt may have run
	told    bool // a failure of the backend server was reported before for this key
	failed  int  // consecutive attempts without progress
}

// begin chooses the address of the next attempt and, where allowed, a new key. It
// repeats the address lookup while no entry host returns an address, for example
// while all entry hosts are being replaced.
func (a *attempts) begin(ctx context.Context) error {
	for {
		address, err := a.client.book.first(ctx)
		if err == nil {
			a.use(address)
			return nil
		}
		wait := a.waitForAddresses(err)
		a.failed++
		if wait <= 0 || a.failed >= a.client.config.MaxAttempts {
			return a.final(err)
		}
		if err := pause(ctx, wait); err != nil {
			return a.final(err)
		}
	}
}

func (a *attempts) use(address Address) {
	a.address = address
	if !a.unknown {
		a.key = address.mintKey()
	}
}

// waitForAddresses returns the wait before the next address lookup after err;
// zero means that the lookup is not repeated.
func (a *attempts) waitForAddresses(err error) time.Duration {
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return backoff(a.failed)
}

// progress resets the count of attempts without progress.
func (a *attempts) progress() { a.failed = 0 }

// next prepares the attempt that follows one ended by cause. It waits for the
// retry time of cause and chooses an address. It returns nil if another attempt
// may be made, and otherwise the error for the caller.
func (a *attempts) next(ctx context.Context, cause error) error {
	refusal := asRefusal(cause)
	a.unknown = a.unknown || refusal.Outcome == contract.OutcomeUnknown
	a.failed++
	if a.recorded(refusal) {
		return a.final(refusal)
	}
	if refusal.RetryAfter <= 0 || a.failed >= a.client.config.MaxAttempts {
		return a.final(refusal)
	}
	a.client.book.failed(a.address)
	if refusal.Reason == contract.ReasonHostLeaving || refusal.Reason == contract.ReasonKeyInvalid {
		a.client.book.expire()
	}
	if err := pause(ctx, refusal.RetryAfter); err != nil {
		return a.final(err)
	}
	return a.begin(ctx)
}

// recorded reports whether the refusal is the home's record of a run that failed
// on its backend server. A refusal that is returned twice for one key is such a
// record and does not change. Without this check the caller would use up all its
// attempts to get the same refusal.
func (a *attempts) recorded(refusal *contract.Refusal) bool {
	if refusal.Outcome != contract.OutcomeUnknown || refusal.Reason != contract.ReasonBackendFailed {
		return false
	}
	again := a.told
	a.told = true
	return again
}

// final returns the error for the caller. Once an attempt may have run, the
// outcome is "unknown" even if a later attempt was refused as "not run".
func (a *attempts) final(cause error) error {
	refusal := *asRefusal(cause)
	if a.unknown {
		refusal.Outcome = contract.OutcomeUnknown
	}
	return &refusal
}

// broken returns the refusal of an attempt whose connection failed. Its retry time
// grows with the number of consecutive failures.
func (a *attempts) broken(sent bool, err error) *contract.Refusal {
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal // the request could not even be built
	}
	wait := backoff(a.failed)
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
