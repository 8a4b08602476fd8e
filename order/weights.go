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

// Weights is a token bucket that limits model loads to the rate of the weight
// store, across lease holders. The bucket's level is stored in the lease.
//
// Guards against overload of the weight store after several takeovers, which
// happens if each new holder starts with a full bucket. The level is therefore
// written before the load, the bucket does not refill while there is no holder,
// and it starts empty if no level is stored.
type Weights struct {
	perMinute float64 // loads per minute; 0: no limit
	burst     float64 // capacity of the bucket, loads

	// turn serialises writes of the level, so that they reach the store in
	// order: a successful send on the channel grants the right to write. It is
	// acquired before mu.
	turn   chan struct{}
	mu     sync.Mutex // guards all below
	fence  uint64     // fencing number of the lease that the level was read from
	tokens float64    // level of the bucket at time at, loads
	at     time.Time
}

// NewWeights returns a limit of perMinute loads per minute (0: no limit) with
// bursts of at most burst loads.
func NewWeights(perMinute float64, burst int) *Weights {
	return &Weights{perMinute: perMinute, burst: max(float64(burst), 1), turn: make(chan struct{}, 1)}
}

// weightState is the state stored in the lease.
type weightState struct {
	Tokens float64 `json:"weight_tokens"`
}

const reasonWeights = "rate of the weight store"

// Wait returns the time until the next load is allowed.
func (w *Weights) Wait(held *lease.Lease) time.Duration {
	if w.perMinute <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refill(held)
	return w.wait()
}

// wait is Wait after refill. The caller holds mu.
func (w *Weights) wait() time.Duration {
	perLoad := float64(time.Minute) / w.perMinute
	return max(0, time.Duration((1-w.tokens)*perLoad))
}

// Take takes one load from the bucket and writes the new level to the store.
// Errors: *WaitError, and those of lease.Lessor.Renew; after the latter the
// load still counts as taken.
func (w *Weights) Take(ctx context.Context, lessor lease.Lessor, held *lease.Lease) error {
	if w.perMinute <= 0 {
		return nil
	}
	select {
	case w.turn <- struct{}{}:
		defer func() { <-w.turn }()
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	state, err := w.take(held)
	if err != nil {
		return err
	}
	return lessor.Renew(ctx, held, state)
}

// take takes one load from the bucket and returns the state to write.
func (w *Weights) take(held *lease.Lease) (json.RawMessage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refill(held)
	if wait := w.wait(); wait > 0 {
		return nil, &WaitError{For: wait, Reason: reasonWeights}
	}
	w.tokens--
	state, err := json.Marshal(weightState{Tokens: w.tokens})
	return state, err
}

// refill updates the level to the current time. The caller holds mu.
func (w *Weights) refill(held *lease.Lease) {
	now := time.Now()
	if w.fence != held.Fence() {
		var kept weightState
		if json.Unmarshal(held.State(), &kept) != nil {
			kept.Tokens = 0
		}
		w.fence, w.tokens, w.at = held.Fence(), kept.Tokens, now
	}
	w.tokens = min(w.burst, w.tokens+now.Sub(w.at).Minutes()*w.perMinute)
	w.at = now
}
