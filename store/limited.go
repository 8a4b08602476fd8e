package store

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Budget limits the rate of one host's calls.
type Budget struct {
	// Rate is in calls per second; default 4. The number of hosts times Rate must
	// stay below the store's capacity: 390 hosts at the default make 1,560 of
	// 2,000 calls per second.
	Rate  float64
	Burst int // in calls; default 8
}

const (
	defaultRate  = 4
	defaultBurst = 8
)

// Limited is a Store that counts each call and limits its host's calls to a Budget.
type Limited struct {
	store   Store
	limiter *rate.Limiter
}

// NewLimited returns a Limited that wraps store.
func NewLimited(store Store, budget Budget) *Limited {
	if budget.Rate <= 0 {
		budget.Rate = defaultRate
	}
	if budget.Burst <= 0 {
		budget.Burst = defaultBurst
	}
	return &Limited{store: NewCounted(store), limiter: rate.NewLimiter(rate.Limit(budget.Rate), budget.Burst)}
}

// Get implements Store.
func (l *Limited) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := l.waitForBudget(ctx, opGet); err != nil {
		return Object{}, err
	}
	return l.store.Get(ctx, kind, name)
}

// Put implements Store.
func (l *Limited) Put(ctx context.Context, kind, name string, value []byte, expect Version) (Version, error) {
	if err := l.waitForBudget(ctx, opPut); err != nil {
		return 0, err
	}
	return l.store.Put(ctx, kind, name, value, expect)
}

// List implements Store.
func (l *Limited) List(ctx context.Context, kind string) ([]Object, Version, error) {
	if err := l.waitForBudget(ctx, opList); err != nil {
		return nil, 0, err
	}
	return l.store.List(ctx, kind)
}

// Watch implements Store.
func (l *Limited) Watch(ctx context.Context, kind string, after Version) ([]Object, Version, error) {
	if err := l.waitForBudget(ctx, opWatch); err != nil {
		return nil, 0, err
	}
	return l.store.Watch(ctx, kind, after)
}

// waitForBudget waits until the budget allows a call. If ctx ends first, or would
// end before then, nothing is sent, so the error is ErrUnavailable: a write did
// not happen.
func (l *Limited) waitForBudget(ctx context.Context, op string) error {
	if err := l.limiter.Wait(ctx); err != nil {
		calls.WithLabelValues(op, resultOverBudget).Inc()
		return errors.Mark(errors.Wrap(err, "platform: waiting for the budget of calls"), ErrUnavailable)
	}
	return nil
}
