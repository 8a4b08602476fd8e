package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/papayasail/papayasail/internal/sleep"
)

// Backoff is an exponential backoff with jitter for one loop that calls the store.
// It must not be used by several goroutines at a time.
type Backoff struct {
	Initial time.Duration // first step; default 200 ms
	Max     time.Duration // longest step; default 15 s
	Rand    *rand.Rand    // source of jitter; nil means the process-wide one

	attempt int
}

const (
	defaultBackoffInitial = 200 * time.Millisecond
	defaultBackoffMax     = 15 * time.Second
)

// Next returns how long to wait before the next attempt, and doubles the step up
// to Max. The wait is uniformly distributed between half the step and the whole
// step, so that hosts whose calls failed at the same time, when the store became
// unavailable, do not retry at the same time and overload it again.
func (b *Backoff) Next() time.Duration {
	step, longest := b.Initial, b.Max
	if step <= 0 {
		step = defaultBackoffInitial
	}
	if longest <= 0 {
		longest = defaultBackoffMax
	}
	for i := 0; i < b.attempt && step < longest; i++ {
		step *= 2
	}
	step = min(step, longest)
	b.attempt++
	return step/2 + time.Duration(b.float()*float64(step/2))
}

// Reset returns to the first step; it is called after a success.
func (b *Backoff) Reset() { b.attempt = 0 }

// Wait sleeps for the duration Next returns, or until ctx ends; then it returns
// the error of ctx.
func (b *Backoff) Wait(ctx context.Context) error { return sleep.For(ctx, b.Next()) }

func (b *Backoff) float() float64 {
	if b.Rand != nil {
		return b.Rand.Float64()
	}
	return rand.Float64()
}
