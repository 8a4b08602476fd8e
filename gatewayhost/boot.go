package gatewayhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

const (
	msgStaleRead       = "entry host has what the store had a moment ago"
	msgStaleReadFailed = "store not read at the start; peers are asked"
	msgJoined          = "entry host has met its peers"

	// joinTimeout bounds how long a starting host waits for the first sync with
	// a seed before it may watch the store. A sync takes a few milliseconds; with
	// seeds that start at the same time it is retried after half a second.
	joinTimeout = time.Second
	// membershipStableTime is how long the member count must not change for the
	// membership to count as complete: an update takes one probe interval to
	// arrive. membershipMaxWait bounds the wait for that.
	membershipStableTime = probeInterval
	membershipMaxWait    = 2 * time.Second
	// staleReadTimeout bounds one read of the store at startup.
	staleReadTimeout = time.Second
)

// boot loads the stored objects once with inexpensive stale reads, and keeps
// this host from watching the store until it has joined its peers, or until
// joinTimeout has passed without a sync with a seed.
//
// Load: when all hosts of a large fleet start together, each sees no other
// member at first and would watch the store until the membership has converged.
// The objects read may be seconds old: no request is rejected on their basis
// until the store or an allocator has confirmed the revision, and peers deliver
// later changes.
func (h *Host) boot(ctx context.Context) error {
	waiting := time.NewTimer(joinTimeout)
	defer waiting.Stop()
	for _, kind := range []string{h.options.Objects.Evacuations, h.options.Objects.Configuration, h.options.Objects.Servers} {
		h.loadStale(ctx, kind)
	}
	select {
	case <-h.node.Load().Joined():
		if err := h.awaitMembership(ctx); err != nil {
			return err
		}
	case <-waiting.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	h.booting.Store(false)
	h.logger.Info(msgJoined, zap.Int("members", len(h.Members())))
	return nil
}

// awaitMembership waits until the member count has been stable for
// membershipStableTime, at most membershipMaxWait. A host with an incomplete
// member list could elect itself as a watcher of the store in addition to the
// real ones.
func (h *Host) awaitMembership(ctx context.Context) error {
	count, since := len(h.Members()), time.Now()
	for started := since; time.Since(since) < membershipStableTime && time.Since(started) < membershipMaxWait; {
		if err := sleep.For(ctx, membershipStableTime/8); err != nil {
			return err
		}
		if current := len(h.Members()); current != count {
			count, since = current, time.Now()
		}
	}
	return nil
}

// listStale returns the objects of a kind from a read that may be seconds old,
// and whether the read succeeded.
func (h *Host) listStale(ctx context.Context, kind string) ([]store.Object, store.Version, bool) {
	ctx, cancel := context.WithTimeout(ctx, staleReadTimeout)
	defer cancel()
	objects, revision, err := h.options.Store.ListStale(ctx, kind)
	if err != nil {
		h.logger.Warn(msgStaleReadFailed, zap.String("kind", kind), zap.Error(err))
	}
	return objects, revision, err == nil
}

// loadStale loads the objects of a kind from a stale read into the table.
func (h *Host) loadStale(ctx context.Context, kind string) {
	objects, revision, answered := h.listStale(ctx, kind)
	if !answered {
		return
	}
	_, findings := h.table.AdoptList(kind, objects, revision)
	h.logger.Info(msgStaleRead, zap.String("kind", kind), zap.Int("objects", len(objects)), zap.Uint64("revision", uint64(revision)), zap.Int("not_in_force", len(findings)))
}
