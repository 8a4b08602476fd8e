package order

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/lease"
	"github.com/papayasail/papayasail/store"
)

// LoadLimiter is a token bucket that limits model loads to the rate of the weight
// store, across lease holders. The bucket's level is stored in the lease.
//
// Guards against a weight store that refuses all loads after a few takeovers
// because each new holder starts with a full bucket. The level is therefore
// written before the load, the bucket does not refill while there is no holder,
// and it starts empty if no level is stored.
type LoadLimiter struct {
	perMinute float64 // loads per minute; 0: no limit
	burst     float64 // capacity of the bucket, loads

	// writeLock serialises writes of the level, so that they reach the store in
	// order: a successful send on the channel grants the right to write. It is
	// acquired before mu.
	writeLock chan struct{}
	mu        sync.Mutex // guards all below
	fence     uint64     // fencing number of the lease that the level was read from
	tokens    float64    // level of the bucket at updatedAt, loads
	updatedAt time.Time
}

// NewLoadLimiter returns a limit of perMinute loads per minute (0: no limit) with
// bursts of at most burst loads.
func NewLoadLimiter(perMinute float64, burst int) *LoadLimiter {
	return &LoadLimiter{perMinute: perMinute, burst: max(float64(burst), 1), writeLock: make(chan struct{}, 1)}
}

// limiterState is the state stored in the lease.
type limiterState struct {
	Tokens float64 `json:"weight_tokens"`
}

const reasonLoadLimit = "rate of the weight store"

// Wait returns the time until the next load is allowed.
func (l *LoadLimiter) Wait(held *lease.Lease) time.Duration {
	if l.perMinute <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(held)
	return l.wait()
}

// wait implements Wait for a refilled bucket. The caller holds mu.
func (l *LoadLimiter) wait() time.Duration {
	perLoad := float64(time.Minute) / l.perMinute
	return max(0, time.Duration((1-l.tokens)*perLoad))
}

// Take takes one load from the bucket and writes the new level to the store.
// Errors: *WaitError, store.ErrUnavailable if ctx ends during the wait for another
// write (no load is taken), and those of lease.Lessor.Renew, after which the load
// still counts as taken.
func (l *LoadLimiter) Take(ctx context.Context, lessor lease.Lessor, held *lease.Lease) error {
	if l.perMinute <= 0 {
		return nil
	}
	select {
	case l.writeLock <- struct{}{}:
		defer func() { <-l.writeLock }()
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	state, err := l.take(held)
	if err != nil {
		return err
	}
	return lessor.Renew(ctx, held, state)
}

// take takes one load from the bucket and returns the state to write.
func (l *LoadLimiter) take(held *lease.Lease) (json.RawMessage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(held)
	if wait := l.wait(); wait > 0 {
		return nil, &WaitError{For: wait, Reason: reasonLoadLimit}
	}
	l.tokens--
	state, err := json.Marshal(limiterState{Tokens: l.tokens})
	return state, err
}

// refill updates the level to the current time. The caller holds mu.
func (l *LoadLimiter) refill(held *lease.Lease) {
	now := time.Now()
	if l.fence != held.Fence() {
		var kept limiterState
		if json.Unmarshal(held.State(), &kept) != nil {
			kept.Tokens = 0
		}
		l.fence, l.tokens, l.updatedAt = held.Fence(), kept.Tokens, now
	}
	l.tokens = min(l.burst, l.tokens+now.Sub(l.updatedAt).Minutes()*l.perMinute)
	l.updatedAt = now
}
