package store

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

var calls = prometheus.NewCounterVec(prometheus.CounterOpts{
	Namespace: "papayasail",
	Subsystem: "platform",
	Name:      "calls_total",
	Help:      "Calls to the platform's store by operation and result; a long-poll watch counts as one. Calls with result over_budget were not sent.",
}, []string{"op", "result"})

func init() { prometheus.MustRegister(calls) }

// Label values of the calls counter: operations and results.
const (
	opGet       = "get"
	opPut       = "put"
	opList      = "list"
	opWatch     = "watch"
	opCheck     = "check"
	opChanges   = "changes"
	opListStale = "list_stale"

	resultOK          = "ok"
	resultNoObject    = "no_object"
	resultBadVersion  = "bad_version"
	resultUnavailable = "unavailable"
	resultUnknown     = "unknown"
	resultCompacted   = "compacted"
	resultOverBudget  = "over_budget"
	resultCancelled   = "cancelled"
	resultOther       = "error"
)

// Checker is a store with additional calls that cost a fraction of the others.
type Checker interface {
	Store
	// Check returns an error if the store does not answer.
	Check(ctx context.Context) error
	// Changes is like Watch, but does not wait: if there are no changes, it returns at once.
	// The changes are those at the time of the call, or later ones too.
	Changes(ctx context.Context, kind string, after Version) ([]Object, Version, error)
	// ListStale is like List, but its result may be seconds old. It may stop once it
	// has most objects (zero: none left out); whole reports whether there are no more.
	ListStale(ctx context.Context, kind string, most int) (objects []Object, revision Version, whole bool, err error)
}

// Counted is a Store that counts the calls to another store.
type Counted struct{ store Store }

// NewCounted returns a Counted that wraps store.
func NewCounted(store Store) *Counted { return &Counted{store: store} }

// Get implements Store.
func (c *Counted) Get(ctx context.Context, kind, name string) (Object, error) {
	object, err := c.store.Get(ctx, kind, name)
	countCall(opGet, err)
	return object, err
}

// Put implements Store.
func (c *Counted) Put(ctx context.Context, kind, name string, value []byte, expect Version) (Version, error) {
	version, err := c.store.Put(ctx, kind, name, value, expect)
	countCall(opPut, err)
	return version, err
}

// List implements Store.
func (c *Counted) List(ctx context.Context, kind string) ([]Object, Version, error) {
	objects, revision, err := c.store.List(ctx, kind)
	countCall(opList, err)
	return objects, revision, err
}

// Watch implements Store.
func (c *Counted) Watch(ctx context.Context, kind string, after Version) ([]Object, Version, error) {
	objects, revision, err := c.store.Watch(ctx, kind, after)
	countCall(opWatch, err)
	return objects, revision, err
}

// CountedChecker is a Checker that counts the calls to another Checker.
type CountedChecker struct {
	*Counted
	checker Checker
}

// NewCountedChecker returns a CountedChecker that wraps store.
func NewCountedChecker(store Checker) *CountedChecker {
	return &CountedChecker{Counted: NewCounted(store), checker: store}
}

// Check implements Checker.
func (c *CountedChecker) Check(ctx context.Context) error {
	err := c.checker.Check(ctx)
	countCall(opCheck, err)
	return err
}

// Changes implements Checker.
func (c *CountedChecker) Changes(ctx context.Context, kind string, after Version) ([]Object, Version, error) {
	objects, revision, err := c.checker.Changes(ctx, kind, after)
	countCall(opChanges, err)
	return objects, revision, err
}

// ListStale implements Checker.
func (c *CountedChecker) ListStale(ctx context.Context, kind string, most int) (objects []Object, revision Version, whole bool, err error) {
	objects, revision, whole, err = c.checker.ListStale(ctx, kind, most)
	countCall(opListStale, err)
	return objects, revision, whole, err
}

func countCall(op string, err error) { calls.WithLabelValues(op, result(err)).Inc() }

func result(err error) string {
	var bad *VersionError
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, ErrNoObject):
		return resultNoObject
	case errors.As(err, &bad):
		return resultBadVersion
	case errors.Is(err, ErrOutcomeUnknown):
		return resultUnknown
	case errors.Is(err, ErrCompacted):
		return resultCompacted
	case errors.Is(err, context.Canceled):
		return resultCancelled
	case errors.Is(err, ErrUnavailable):
		return resultUnavailable
	}
	return resultOther
}
