package store

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Budget bounds the calls of one host.
type Budget struct {
	// Rate is in calls per second. Hosts times Rate has to stay under what the
	// store takes: 390 hosts at the default of 4 make 1,560 of 2,000.
	Rate  float64
	Burst int // calls; default 8
}

const (
	defaultRate  = 4
	defaultBurst = 8
)

// Limited is a Store that counts each call and holds its host to a Budget.
type Limited struct {
	store   Store
	limiter *rate.Limiter
}

// NewLimited puts a budget before store.
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
	if err := l.take(ctx, opGet); err != nil {
		return Object{}, err
	}
	return l.store.Get(ctx, kind, name)
}

// Put implements Store.
func (l *Limited) Put(ctx context.Context, kind, name string, value []byte, expect Version) (Version, error) {
	if err := l.take(ctx, opPut); err != nil {
		return 0, err
	}
	return l.store.Put(ctx, kind, name, value, expect)
}

// List implements Store.
func (l *Limited) List(ctx context.Context, kind string) ([]Object, Version, error) {
	if err := l.take(ctx, opList); err != nil {
		return nil, 0, err
	}
	return l.store.List(ctx, kind)
}

// Watch implements Store.
func (l *Limited) Watch(ctx context.Context, kind string, after Version) ([]Object, Version, error) {
	if err := l.take(ctx, opWatch); err != nil {
		return nil, 0, err
	}
	return l.store.Watch(ctx, kind, after)
}

// take waits for the budget. When ctx ends before the budget allows the call,
// nothing is sent, so the error is ErrUnavailable: a write did not happen.
func (l *Limited) take(ctx context.Context, op string) error {
	if err := l.limiter.Wait(ctx); err != nil {
		calls.WithLabelValues(op, resultOverBudget).Inc()
		return errors.Mark(errors.Wrap(err, "platform: waiting for the budget of calls"), ErrUnavailable)
	}
	return nil
}
