package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

const (
	msgStoreReached   = "platform store reached"
	msgStoreLost      = "platform store lost"
	msgNotPutInForce  = "stored configuration not put in force"
	activeCheckPeriod = time.Second
)

// Watcher keeps a Table up to date from the store: a list, then long-poll
// watches. A few hosts watch; the others learn from their peers.
type Watcher struct {
	Store store.Store
	Table *Table
	// Active says whether this host watches now; nil: always. A host that is
	// not active has no call waiting in the store.
	Active func() bool
	// Backoff spaces the tries while the store is away; its zero value has
	// defaults.
	Backoff store.Backoff
	Logger  *zap.Logger // nil: no log

	reachable atomic.Bool
}

// Reachable reports whether the last call to the store succeeded.
func (w *Watcher) Reachable() bool { return w.reachable.Load() }

// Run follows the store until ctx ends, whose error it returns.
func (w *Watcher) Run(ctx context.Context) error {
	var after store.Version
	listed := false
	for ctx.Err() == nil {
		if w.Active != nil && !w.Active() {
			listed = false
			if err := sleep.For(ctx, activeCheckPeriod); err != nil {
				return err
			}
			continue
		}
		var err error
		if listed {
			after, err = w.watch(ctx, after)
		} else {
			after, err = w.list(ctx)
		}
		listed = listed && !errors.Is(err, store.ErrCompacted) || !listed && err == nil
		if err := w.settle(ctx, err); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// settle notes whether the store answered, and waits before the next try when
// it did not: hosts that lost it together must not come back together.
func (w *Watcher) settle(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil || errors.Is(err, store.ErrCompacted) {
		w.Backoff.Reset()
		if w.reachable.CompareAndSwap(false, true) {
			w.logger().Info(msgStoreReached)
		}
		return nil
	}
	if w.reachable.CompareAndSwap(true, false) {
		w.logger().Warn(msgStoreLost, zap.Error(err))
	}
	return w.Backoff.Wait(ctx)
}

// Refresh brings the table up to date with the store once. Errors: those of
// store.Store.List.
func (w *Watcher) Refresh(ctx context.Context) error {
	_, err := w.list(ctx)
	return err
}

func (w *Watcher) list(ctx context.Context) (store.Version, error) {
	objects, revision, err := w.Store.List(ctx, Kind)
	if err != nil {
		return 0, err
	}
	_, findings := w.Table.AdoptList(Kind, objects, revision)
	w.report(findings)
	return revision, nil
}

func (w *Watcher) watch(ctx context.Context, after store.Version) (store.Version, error) {
	objects, revision, err := w.Store.Watch(ctx, Kind, after)
	if err != nil {
		return after, err
	}
	_, findings := w.Table.Adopt(objects)
	w.report(findings)
	return max(after, revision), nil
}

func (w *Watcher) report(findings []Finding) {
	for _, f := range findings {
		w.logger().Warn(msgNotPutInForce, zap.String("name", f.Name), zap.Uint64("version", uint64(f.Version)), zap.Error(f.Err))
	}
}

func (w *Watcher) logger() *zap.Logger {
	if w.Logger == nil {
		return zap.NewNop()
	}
	return w.Logger
}
