package gatewayhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const (
	msgStaleRead       = "entry host has what the store had a moment ago"
	msgStaleReadFailed = "store not read at the start; peers are asked"
	msgSnapshot        = "entry host has all stored objects from a peer"
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
	// staleReadTimeout bounds one read of the store at startup; a list of 20,000
	// servers has a hundred pages.
	staleReadTimeout = 2 * time.Second
	// serversReadByAll is the number of servers up to which each starting host reads
	// all of them from the store.
	serversReadByAll = 400
	// maxColdQueried is how many servers that are listed as cold a starting host queries.
	maxColdQueried = 8
	// snapshotTimeout bounds the pull of the servers from a peer.
	snapshotTimeout = 3 * time.Second
)

// boot loads the stored objects once, and keeps this host from watching the store
// until it has joined its peers, or until joinTimeout has passed without a sync with
// a seed. Objects are loaded with inexpensive stale reads; the servers, of which
// there may be thousands, by few hosts of each failure domain, from which the others
// pull them.
//
// Load: when all hosts of a large fleet start together, each sees no other
// member at first and would watch the store until the membership has converged.
// The objects read may be seconds old: no request is rejected on their basis
// until the store or an allocator has confirmed the revision, and peers deliver
// later changes.
func (h *Host) boot(ctx context.Context) error {
	h.fleet.Sharers().StartJoining()
	waiting := time.NewTimer(joinTimeout)
	defer waiting.Stop()
	complete := h.loadStale(ctx, h.options.Objects.Evacuations, 0)
	complete = h.loadStale(ctx, h.options.Objects.Configuration, 0) && complete
	complete = h.loadStale(ctx, h.options.Objects.Servers, serversReadByAll) && complete
	h.queryListedCold()
	select {
	case <-h.node.Load().Joined():
		if err := h.awaitMembership(ctx); err != nil {
			return err
		}
		if !complete {
			h.loadSnapshot(ctx)
		}
	case <-waiting.C:
		if !complete {
			h.loadStale(ctx, h.options.Objects.Servers, 0)
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	h.fleet.JoinHosts(sharerNames(h.Members()))
	h.booting.Store(false)
	h.node.Load().Loaded() // after booting: see runNode
	h.logger.Info(msgJoined, zap.Int("members", len(h.Members())))
	return nil
}

// queryListedCold queries servers that are listed as cold, as a starting host does not know
// when their entries were written: it would refuse calls for servers that are warm.
func (h *Host) queryListedCold() {
	for _, server := range h.fleet.ListedCold(maxColdQueried) {
		go h.queryCold(server, becauseListed)
	}
}

// loadSnapshot loads what the first reads of the store lack, from a peer or, where
// that fails, from the store.
func (h *Host) loadSnapshot(ctx context.Context) {
	pulling, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if h.node.Load().PullSnapshot(pulling) {
		h.logger.Info(msgSnapshot, zap.Uint64("revision", uint64(h.table.Version())))
		return
	}
	h.loadStale(ctx, h.options.Objects.Servers, 0)
}

// awaitMembership waits until the member count has been stable for
// membershipStableTime and a seed has the same members, at most membershipMaxWait. A
// host with an incomplete member list could elect itself as a watcher of the store,
// or as one of those that read all servers, in addition to the real ones. Seeds are
// the first to know of hosts that join.
func (h *Host) awaitMembership(ctx context.Context) error {
	waiting, cancel := context.WithTimeout(ctx, membershipMaxWait)
	defer cancel()
	for h.awaitStableCount(waiting) == nil && !h.node.Load().MatchesSeed(waiting) {
	}
	return ctx.Err()
}

// awaitStableCount waits until the member count has not changed for
// membershipStableTime.
func (h *Host) awaitStableCount(ctx context.Context) error {
	count, since := len(h.Members()), time.Now()
	for time.Since(since) < membershipStableTime {
		if err := sleep.For(ctx, membershipStableTime/8); err != nil {
			return err
		}
		if current := len(h.Members()); current != count {
			count, since = current, time.Now()
		}
	}
	return nil
}

// listStale returns the objects of a kind, or about most of them unless it is zero,
// from a read of the store that may be seconds old.
func (h *Host) listStale(ctx context.Context, kind string, most int) (objects []store.Object, revision store.Version, whole bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, staleReadTimeout)
	defer cancel()
	objects, revision, whole, err = h.options.Store.ListStale(ctx, kind, most)
	if err != nil {
		h.logger.Warn(msgStaleReadFailed, zap.String("kind", kind), zap.Error(err))
	}
	return objects, revision, whole, err
}

// loadStale loads the objects of a kind, or about most of them, into the table. It
// reports whether it loaded all of them.
func (h *Host) loadStale(ctx context.Context, kind string, most int) bool {
	objects, revision, whole, err := h.listStale(ctx, kind, most)
	if err != nil {
		return false
	}
	var findings []replica.Finding
	if whole {
		_, findings = h.table.AdoptList(kind, objects, revision)
	} else {
		_, findings = h.table.Adopt(objects)
	}
	h.logger.Info(msgStaleRead, zap.String("kind", kind), zap.Int("objects", len(objects)), zap.Bool("all", whole),
		zap.Uint64("revision", uint64(revision)), zap.Int("not_in_force", len(findings)))
	return whole
}
