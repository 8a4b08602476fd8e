package organisation

import (
	"time"

	"github.com/papayasail/papayasail/contract"
)

// Limits enforces the organisations' limits at one service: requests in flight
// and tokens per minute. It is not safe for concurrent use.
type Limits struct {
	usage map[string]*usage
}

type usage struct {
	inFlight   int
	balance    float64   // output tokens available as of refilledAt, less those spent since; negative: overdrawn
	refilledAt time.Time // time of the last refill; zero: never
}

// inFlightRetryDelay is the retry delay if too many requests are in flight. It
// is a constant because the end of a running request cannot be predicted.
const inFlightRetryDelay = time.Second

// NewLimits returns an empty table.
func NewLimits() *Limits { return &Limits{usage: map[string]*usage{}} }

// Admit counts a request as in flight and returns true, or returns false and the
// delay after which to retry. share is the fraction of the limit that this host may
// use, above 0 and below 1; any other value means the whole limit, see Share.
func (l *Limits) Admit(limit contract.Limit, share float64, now time.Time) (retryAfter time.Duration, ok bool) {
	u := l.usageOf(limit.Organisation)
	if limit.MaxInFlight > 0 && u.inFlight >= Share(limit.MaxInFlight, share) {
		return inFlightRetryDelay, false
	}
	if limit.TokensPerMinute > 0 {
		perMinute := Share(limit.TokensPerMinute, share)
		u.refill(perMinute, now)
		if u.balance <= 0 {
			wait := time.Duration((1 - u.balance) / float64(perMinute) * float64(time.Minute))
			return wait, false
		}
	}
	u.inFlight++
	return 0, true
}

// Release ends a request that Admit counted as in flight.
func (l *Limits) Release(organisation string) { l.usageOf(organisation).inFlight-- }

// Spend deducts output tokens from an organisation's balance. The length of a
// generation is not known in advance, so the balance may become negative. No
// further request is admitted until it is positive again, so that the limit
// holds on average.
func (l *Limits) Spend(organisation string, tokens int) {
	l.usageOf(organisation).balance -= float64(tokens)
}

// InFlight returns how many requests of an organisation are in flight.
func (l *Limits) InFlight(organisation string) int { return l.usageOf(organisation).inFlight }

// Share returns a host's share of a limit, at least 1. A share outside of 0 to
// 1 (exclusive) returns the whole limit.
func Share(limit int, share float64) int {
	if share <= 0 || share >= 1 {
		return limit
	}
	return max(1, int(float64(limit)*share))
}

func (l *Limits) usageOf(organisation string) *usage {
	u := l.usage[organisation]
	if u == nil {
		u = &usage{}
		l.usage[organisation] = u
	}
	return u
}

// refill adds the tokens accrued since the last refill, up to one minute's
// worth. The first refill adds a full minute.
func (u *usage) refill(perMinute int, now time.Time) {
	full := float64(perMinute)
	if u.refilledAt.IsZero() {
		u.balance += full
	} else {
		u.balance += full * now.Sub(u.refilledAt).Minutes()
	}
	u.balance = min(u.balance, full)
	u.refilledAt = now
}
