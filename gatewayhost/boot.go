package gatewayhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

const (
	msgBooted   = "entry host has what the store had a moment ago"
	msgNotRead  = "store not read at the start; peers are asked"
	msgMetPeers = "entry host has met its peers"

	// bootWait bounds how long a starting host waits for the first exchange
	// with a peer before it may watch the store. Probes of the seeds take a few
	// milliseconds, and probes from hosts that start at the same time arrive
	// within half a second.
	bootWait = time.Second
	// meetQuiet is how long the member count must not change for the membership
	// to count as complete: an update takes one probe interval to arrive.
	// meetMost bounds the wait for that.
	meetQuiet = probeInterval
	meetMost  = 2 * time.Second
	// bootTimeout bounds one read of the store at startup.
	bootTimeout = time.Second
)

// boot loads the stored objects once with inexpensive stale reads, and keeps
// this host from watching the store until it has joined its peers, or until
// bootWait has passed without an exchange with one.
//
// Load: when all hosts of a large fleet start together, each sees no other
// member at first and would watch the store until the membership has converged.
// The objects read may be seconds old: no request is rejected on their basis
// until the store or an allocator has confirmed the revision, and peers deliver
// later changes.
func (h *Host) boot(ctx context.Context) error {
	waiting := time.NewTimer(bootWait)
	defer waiting.Stop()
	for _, kind := range []string{h.options.Objects.Evacuations, h.options.Objects.Configuration, h.options.Objects.Servers} {
		h.readStale(ctx, kind)
	}
	select {
	case <-h.node.Load().Joined():
		if err := h.meet(ctx); err != nil {
			return err
		}
	case <-waiting.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	h.booting.Store(false)
	h.logger.Info(msgMetPeers, zap.Int("members", len(h.Members())))
	return nil
}

// meet waits until the member count has been stable for meetQuiet, at most
// meetMost. A host with an incomplete member list could elect itself as a
// watcher of the store in addition to the real ones.
func (h *Host) meet(ctx context.Context) error {
	known, since := len(h.Members()), time.Now()
	for began := since; time.Since(since) < meetQuiet && time.Since(began) < meetMost; {
		if err := sleep.For(ctx, meetQuiet/8); err != nil {
			return err
		}
		if now := len(h.Members()); now != known {
			known, since = now, time.Now()
		}
	}
	return nil
}

// listStale returns the objects of a kind from a read that may be seconds old,
// and whether the read succeeded.
func (h *Host) listStale(ctx context.Context, kind string) ([]store.Object, store.Version, bool) {
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	objects, revision, err := h.options.Store.ListStale(ctx, kind)
	if err != nil {
		h.logger.Warn(msgNotRead, zap.String("kind", kind), zap.Error(err))
	}
	return objects, revision, err == nil
}

// readStale loads the objects of a kind from a stale read into the table.
func (h *Host) readStale(ctx context.Context, kind string) {
	objects, revision, answered := h.listStale(ctx, kind)
	if !answered {
		return
	}
	_, findings := h.table.AdoptList(kind, objects, revision)
	h.logger.Info(msgBooted, zap.String("kind", kind), zap.Int("objects", len(objects)), zap.Uint64("revision", uint64(revision)), zap.Int("not_in_force", len(findings)))
}
