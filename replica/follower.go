package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/moment"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

const (
	msgStoreReached   = "platform store reached"
	msgStoreLost      = "platform store lost"
	msgNotPutInForce  = "stored configuration not put in force"
	activeCheckPeriod = 500 * time.Millisecond
)

// Follower keeps a Table up to date from the store: a list, then long-poll
// watches. A few hosts watch; the others learn from their peers.
type Follower struct {
	Store store.Store
	Kind  string // of the objects followed
	Table *Table
	// Active says whether this host watches now; nil: always. A host that is
	// not active has no call waiting in the store.
	Active func() bool
	// Spacing is the least time between two calls that found changes; zero:
	// none. Changes come in groups, and each call has its price.
	Spacing time.Duration
	// Backoff spaces the tries while the store is away; its zero value has
	// defaults.
	Backoff store.Backoff
	Logger  *zap.Logger // nil: no log

	// OnCompacted is called when the store has dropped changes that this
	// follower waited for; nil: nothing is. It must not block.
	OnCompacted func()

	reached   atomic.Uint64 // revision of the newest list or change that the store gave
	reachable atomic.Bool
	failed    moment.Moment // when the store last did not answer

	mu     sync.Mutex         // guards all below
	cancel context.CancelFunc // of the waiting watch; nil: none waits
	doubt  bool               // list again
}

// Relist makes the follower list its objects again instead of waiting on.
//
// Failure: the store drops its history while changes are made. A follower of
// a kind that goes on changing is told so; one whose kind is quiet waits on a
// watch that has missed a change, and hears of it with the next one only. The
// history is that of all kinds, so that whoever is told so tells the others.
func (f *Follower) Relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubt = true
	if f.cancel != nil {
		f.cancel()
	}
}

// doubted reports whether Relist was called since it was asked last.
func (f *Follower) doubted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	doubt := f.doubt
	f.doubt = false
	return doubt
}

// waiting notes what ends the watch that begins or, if nil, that it has ended.
func (f *Follower) waiting(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
	if f.doubt && cancel != nil {
		cancel()
	}
}

// Undisturbed returns how long ago the store last failed to answer this
// follower, or moment.Never.
func (f *Follower) Undisturbed() time.Duration { return f.failed.Age() }

// Reached returns the revision up to which the store's own lists and watches
// brought changes of the kind; what peers told does not count.
func (f *Follower) Reached() store.Version { return store.Version(f.reached.Load()) }

// Reachable reports whether the last call to the store succeeded.
func (f *Follower) Reachable() bool { return f.reachable.Load() }

// Run follows the store until ctx ends, whose error it returns.
func (f *Follower) Run(ctx context.Context) error {
	var after store.Version
	listed := false
	for ctx.Err() == nil {
		if f.Active != nil && !f.Active() {
			listed = false
			if err := sleep.For(ctx, activeCheckPeriod); err != nil {
				return err
			}
			continue
		}
		var err error
		if listed {
			after, err = f.watch(ctx, after)
		} else {
			f.doubted()
			after, err = f.list(ctx)
		}
		compacted := errors.Is(err, store.ErrCompacted)
		if compacted && f.OnCompacted != nil {
			f.OnCompacted()
		}
		if listed && f.doubted() {
			listed = false
			continue
		}
		listed = listed && !compacted || !listed && err == nil
		if err := f.settle(ctx, err); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// settle notes whether the store answered, and waits before the next try when
// it did not: hosts that lost it together must not come back together.
func (f *Follower) settle(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil || errors.Is(err, store.ErrCompacted) {
		f.Backoff.Reset()
		if f.reachable.CompareAndSwap(false, true) {
			f.logger().Info(msgStoreReached)
		}
		return nil
	}
	f.failed.Mark(time.Now())
	if f.reachable.CompareAndSwap(true, false) {
		f.logger().Warn(msgStoreLost, zap.Error(err))
	}
	return f.Backoff.Wait(ctx)
}

// Refresh brings the table up to date with the store once. Errors: those of
// store.Store.List.
func (f *Follower) Refresh(ctx context.Context) error {
	_, err := f.list(ctx)
	return err
}

func (f *Follower) list(ctx context.Context) (store.Version, error) {
	objects, revision, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return 0, err
	}
	_, findings := f.Table.AdoptList(f.Kind, objects, revision)
	f.report(findings)
	f.reached.Store(uint64(revision))
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, after store.Version) (store.Version, error) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	f.waiting(cancel)
	objects, revision, err := f.Store.Watch(watching, f.Kind, after)
	f.waiting(nil)
	if err != nil {
		return after, err
	}
	_, findings := f.Table.Adopt(objects)
	f.report(findings)
	after = max(after, revision)
	f.reached.Store(uint64(after))
	return after, sleep.For(ctx, f.Spacing)
}

func (f *Follower) report(findings []Finding) {
	for _, finding := range findings {
		f.logger().Warn(msgNotPutInForce, zap.String("kind", finding.Kind), zap.String("name", finding.Name),
			zap.Uint64("version", uint64(finding.Version)), zap.Error(finding.Err))
	}
}

func (f *Follower) logger() *zap.Logger {
	if f.Logger == nil {
		return zap.NewNop()
	}
	return f.Logger
}
