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

// Weights keeps loads of models to the weight store's rate, across holders of
// the lease. How much of the rate is used up is kept in the lease itself.
//
// Failure: each new holder starts with a full allowance, and after a few
// take-overs the weight store refuses everyone. The guard writes the allowance
// down before the load, counts nothing for the time that no holder was there,
// and starts from nothing where no record is left.
type Weights struct {
	perMinute float64 // loads per minute; 0: no limit
	burst     float64 // loads at once

	// turn serialises writes of the allowance, so that they reach the store in
	// order: who sends to it may write. It is taken before mu.
	turn   chan struct{}
	mu     sync.Mutex // guards all below
	fence  uint64     // of the lease that the allowance was read from
	tokens float64
	at     time.Time // when tokens was right
}

// NewWeights returns a limit of loads per minute (0: none), with so many at
// once.
func NewWeights(perMinute float64, burst int) *Weights {
	return &Weights{perMinute: perMinute, burst: max(float64(burst), 1), turn: make(chan struct{}, 1)}
}

// weightState is the state in the lease.
type weightState struct {
	Tokens float64 `json:"weight_tokens"`
}

const reasonWeights = "rate of the weight store"

// Wait returns how long the next load has to wait.
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

// Take takes one load from the allowance and writes that to the store.
// Errors: *WaitError, and those of lease.Lessor.Renew, after which the load
// counts as taken.
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

// take takes one load and returns the state to write.
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

// refill brings the allowance up to now. The caller holds mu.
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
