package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/papayasail/papayasail/internal/sleep"
)

// Backoff spaces the tries of one loop that calls the store: doubling steps
// with jitter. It is for one goroutine.
type Backoff struct {
	Initial time.Duration // first step; default 200 ms
	Max     time.Duration // longest step; default 15 s
	Rand    *rand.Rand    // source of jitter; nil: the process-wide one

	attempt int
}

const (
	defaultBackoffInitial = 200 * time.Millisecond
	defaultBackoffMax     = 15 * time.Second
)

// Next returns how long to wait before the next try. A step is drawn evenly
// from half of it to the whole: hosts that failed at the same moment, when the
// store went away, come back at different ones and do not overload it again.
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

// Reset starts again from the first step, after a success.
func (b *Backoff) Reset() { b.attempt = 0 }

// Wait sleeps for Next or until ctx ends, whose error it returns.
func (b *Backoff) Wait(ctx context.Context) error { return sleep.For(ctx, b.Next()) }

func (b *Backoff) float() float64 {
	if b.Rand != nil {
		return b.Rand.Float64()
	}
	return rand.Float64()
}
