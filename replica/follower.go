package replica

import (
	"context"
	"sync"
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
	msgNotApplied     = "stored configuration not put in force"
	msgWrittenBack    = "object that the store had lost is written again"
	msgNotWrittenBack = "object that the store had lost is not written again"
	msgRevisionBack   = "store has a lower revision than before"
	activeCheckPeriod = 500 * time.Millisecond
	// graceMargin is how long after the end of RestoreGrace objects are listed again:
	// hosts that receive them from this one have begun their grace later.
	graceMargin = time.Second
)

// Follower keeps a Table up to date with the objects of a kind in the store: it
// lists them once, then follows changes with long-poll watches. Only a few hosts
// watch; the others receive changes from their peers.
type Follower struct {
	Store store.Store
	Kind  string // of the objects followed
	Table *Table
	// Active reports whether this host should watch now; nil means always. An
	// inactive follower makes no calls, but a watch already pending is not
	// cancelled.
	Active func() bool
	// Spacing is the pause after a watch, before the next one; zero means none.
	// Changes come in bursts and each call has a cost, so a pause batches them.
	Spacing time.Duration
	// Backoff separates attempts while the store is unavailable; its zero value
	// has defaults.
	Backoff store.Backoff
	Logger  *zap.Logger // nil disables logging
	// WriteBack makes the follower write the objects again that the table keeps because
	// the store came back from an older copy. It is for kinds that this system writes.
	WriteBack bool

	// OnCompacted is called when the store has compacted changes that this
	// follower's watch still needed; it may be nil. It must not block.
	OnCompacted func()

	ended     int           // watches in a row that ended with ErrCompacted; used by Run only
	reached   atomic.Uint64 // revision reached by the newest list or watch of the store
	reachable atomic.Bool

	mu     sync.Mutex         // guards all below
	cancel context.CancelFunc // cancels the pending watch; nil if there is none
	relist bool               // list again before the next watch
}

// Relist cancels the pending watch and makes the follower list its objects again.
//
// Failure: the store compacts its history while objects change. The follower of
// a kind that keeps changing receives ErrCompacted, but the watch of a kind with
// few changes may have missed a change, and stays pending until the next change of
// its kind. All kinds share one history, so a follower that receives ErrCompacted
// makes the others relist through OnCompacted.
func (f *Follower) Relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relist = true
	if f.cancel != nil {
		f.cancel()
	}
}

// takeRelist reports whether Relist was called since the last call of takeRelist.
func (f *Follower) takeRelist() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	relist := f.relist
	f.relist = false
	return relist
}

// setWatchCancel sets the function that cancels the watch about to begin; nil
// means that the watch has ended. A watch for which Relist was already called is
// cancelled immediately.
func (f *Follower) setWatchCancel(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
	if f.relist && cancel != nil {
		cancel()
	}
}

// Reached returns the revision up to which this follower's own lists and watches
// have delivered changes of the kind; updates from peers do not count.
func (f *Follower) Reached() store.Version { return store.Version(f.reached.Load()) }

// Reachable reports whether the store answered the last list or watch of Run, also
// with ErrCompacted. It is false before the first answer. Calls of Refresh and
// watches during which Relist was called do not count.
func (f *Follower) Reachable() bool { return f.reachable.Load() }

// Run follows the store until ctx ends, and returns the error of ctx.
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
			f.countEnded(err)
		} else {
			f.takeRelist()
			after, err = f.list(ctx)
		}
		compacted := errors.Is(err, store.ErrCompacted)
		if compacted && f.OnCompacted != nil {
			f.OnCompacted()
		}
		if listed && f.takeRelist() {
			listed = false
			continue
		}
		listed = listed && !compacted || !listed && err == nil
		if err := f.handleResult(ctx, err); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// countEnded counts watches that ended with ErrCompacted in a row.
func (f *Follower) countEnded(err error) {
	if errors.Is(err, store.ErrCompacted) {
		f.ended++
	} else {
		f.ended = 0
	}
}

// handleResult records whether the store answered, and backs off if it did not. The
// backoff has jitter, so hosts that lost the store at the same time do not retry
// at the same time.
func (f *Follower) handleResult(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil || errors.Is(err, store.ErrCompacted) {
		if err != nil && f.ended > 1 {
			return f.Backoff.Wait(ctx) // the store's list does not lead to a watch
		}
		if f.ended <= 1 {
			f.Backoff.Reset()
		}
		if f.reachable.CompareAndSwap(false, true) {
			f.logger().Info(msgStoreReached)
		}
		return nil
	}
	if f.reachable.CompareAndSwap(true, false) {
		f.logger().Warn(msgStoreLost, zap.Error(err))
	}
	return f.Backoff.Wait(ctx)
}

// Refresh lists the objects once and adopts them into the table. Errors: those
// of store.Store.List.
func (f *Follower) Refresh(ctx context.Context) error {
	_, err := f.list(ctx)
	return err
}

func (f *Follower) list(ctx context.Context) (store.Version, error) {
	objects, revision, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return 0, err
	}
	if before := f.Reached(); revision < before {
		f.logger().Warn(msgRevisionBack, zap.Uint64("revision", uint64(revision)), zap.Uint64("revision_before", uint64(before)))
	}
	_, findings := f.Table.AdoptList(f.Kind, objects, revision)
	LogFindings(f.logger(), findings)
	f.reached.Store(uint64(revision))
	if left := f.Table.GraceLeft(); left > 0 {
		time.AfterFunc(left+graceMargin, f.Relist)
	}
	if f.WriteBack {
		f.writeBack(ctx, objects, revision)
	}
	return revision, nil
}

// writeBack writes the objects that the table keeps from an era before that of a list
// of the store. Several hosts may do so: the condition lets one of them succeed. What
// fails is written after the next list.
func (f *Follower) writeBack(ctx context.Context, listed []store.Object, revision store.Version) {
	versions := make(map[string]store.Version, len(listed))
	for _, object := range listed {
		versions[object.Name] = object.Version
	}
	for _, object := range f.Table.OfEarlierEra(f.Kind, revision) {
		written, err := f.Store.Put(ctx, f.Kind, object.Name, object.Value, versions[object.Name])
		if err != nil {
			f.logger().Warn(msgNotWrittenBack, zap.String("name", object.Name), zap.Error(err))
			continue
		}
		f.logger().Info(msgWrittenBack, zap.String("name", object.Name), zap.Uint64("version", uint64(written)))
	}
}

func (f *Follower) watch(ctx context.Context, after store.Version) (store.Version, error) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setWatchCancel(cancel)
	objects, revision, err := f.Store.Watch(watching, f.Kind, after)
	f.setWatchCancel(nil)
	if err != nil {
		return after, err
	}
	_, findings := f.Table.Adopt(objects)
	LogFindings(f.logger(), findings)
	after = max(after, revision)
	f.reached.Store(uint64(after))
	return after, sleep.For(ctx, f.Spacing)
}

// LogFindings logs stored objects that could not be applied.
func LogFindings(logger *zap.Logger, findings []Finding) {
	for _, finding := range findings {
		logger.Warn(msgNotApplied, zap.String("kind", finding.Kind), zap.String("name", finding.Name),
			zap.Uint64("version", uint64(finding.Version)), zap.Error(finding.Err))
	}
}

func (f *Follower) logger() *zap.Logger {
	if f.Logger == nil {
		return zap.NewNop()
	}
	return f.Logger
}
