package gatewayhost

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const (
	msgRelist        = "store answers again: what it has is listed anew"
	msgWatchesBehind = "watches have missed changes of the store: what it has is listed anew"
	msgBehind        = "host is behind an allocator and could not catch up"

	// confirmTimeout bounds a store call that verifies that the configuration is
	// the newest; verificationTTL is how long such a verification remains valid.
	confirmTimeout  = 400 * time.Millisecond
	verificationTTL = 700 * time.Millisecond
	// allocatorReportTTL is how long after its request the newest configuration
	// revision received from an allocator remains valid. A host requests it with
	// its first report 0.7 s after the last request; in large fleets the reports
	// of idle hosts are further apart, and confirm requests one. Together with verificationTTL it must stay
	// below the 2 s that the operator allows until a configuration is active.
	allocatorReportTTL = 900 * time.Millisecond
	// storeCheckInterval is the interval between two store checks by a host that
	// watches the store; a check costs the store a tenth of a list or watch.
	// storeCheckTimeout bounds one check.
	storeCheckInterval = 500 * time.Millisecond
	storeCheckTimeout  = 250 * time.Millisecond
	// watchLagLimit is how long a watch may take to deliver a change that the
	// store has.
	watchLagLimit = 250 * time.Millisecond
	// pullTimeout bounds one pull from an allocator.
	pullTimeout = time.Second
)

// verifiedRevision returns the revision of the active configuration if a read of
// the store has verified it within verificationTTL, or zero if there may be a newer
// one. A pending watch is no proof, as it may have missed a change.
func (h *Host) verifiedRevision() uint64 {
	if h.verificationAge() > verificationTTL {
		return 0
	}
	return h.revision()
}

// verificationAge returns the time since the configuration was last read from the
// store, by this host or by another one that found the same revision or from which this
// host has its view, or moment.Never.
func (h *Host) verificationAge() time.Duration {
	return min(h.verifiedAt.Age(), h.relayedVerifiedAt.Age(), h.views.Age())
}

// viewCurrentFor reports whether this host has had a current view of the store for at
// least the given time.
func (h *Host) viewCurrentFor(d time.Duration) bool {
	return h.views.Age() < d && h.views.SinceOutage() >= d
}

// recordRelayedVerification records that another allocator verified, age ago,
// that the revision was the newest in the store. It fetches that revision if this
// host's is older.
func (h *Host) recordRelayedVerification(allocator string, revision uint64, age time.Duration) {
	if own := h.revision(); own == revision && age < h.relayedVerifiedAt.Age() {
		h.relayedVerifiedAt.Mark(time.Now().Add(-age))
	}
	h.catchUp(allocator, revision)
}

// revision returns the revision of the active configuration; zero if none.
func (h *Host) revision() uint64 {
	object, _ := h.table.Get(h.options.Objects.Configuration, h.options.Objects.ConfigurationName)
	return uint64(object.Version)
}

// confirm reports whether the active configuration is the newest: by a recent
// verification, by an allocator's recent report, by a report that is requested now,
// or else by a read of the store.
func (h *Host) confirm(ctx context.Context) bool {
	if h.verifiedRevision() > 0 {
		return true
	}
	if newest, known := h.reportedRevision(); known {
		return h.revision() >= newest
	}
	if h.allocation.RequestRevision(ctx) {
		if newest, known := h.reportedRevision(); known {
			return h.revision() >= newest
		}
	}
	return h.confirmAtStore(ctx)
}

// reportedRevision returns the newest revision that an allocator has reported, and
// whether it reported it within allocatorReportTTL and in the era of this host's
// configuration.
func (h *Host) reportedRevision() (revision uint64, known bool) {
	newest, age := h.allocation.Newest()
	return newest, age < allocatorReportTTL && newest > 0 && sameEra(newest, h.revision())
}

func (h *Host) confirmAtStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return h.verify(ctx) == nil
}

// verify reads the configuration from the store and applies it. It lists the
// kind instead of getting the object, as a list also returns the store's
// current revision.
func (h *Host) verify(ctx context.Context) error {
	started := time.Now()
	objects, revision, err := h.options.Store.List(ctx, h.options.Objects.Configuration)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(objects, func(o store.Object) bool { return o.Name == h.options.Objects.ConfigurationName })
	if i < 0 {
		return store.ErrNoObject
	}
	stored := storeState{revision, objects[i].Version}
	missed := h.watchesBehind(stored)
	if changed, _ := h.table.Adopt(objects); changed > 0 {
		h.node.Load().Announce()
	}
	h.verifiedAt.Mark(started)
	h.views.Confirm(revision, started)
	if missed && h.watch.Watches() && h.checkingWatches.CompareAndSwap(false, true) {
		go h.relistIfBehind(stored)
	}
	return nil
}

// storeState is the state of the store as returned by a list: its revision, and the
// version of the configuration.
type storeState struct{ revision, configuration store.Version }

// watchesBehind reports whether this host's watches are behind the store. A
// configuration found by verify advances the table's version and would hide
// other missed changes, so the position of the configuration's own watch is
// compared as well.
func (h *Host) watchesBehind(stored storeState) bool {
	return h.reachedRevision() < stored.revision || h.configuration.Reached() < stored.configuration
}

// reachedRevision returns the revision up to which this host has all changes of the
// kinds that it follows.
func (h *Host) reachedRevision() store.Version {
	objects := h.options.Objects
	return max(h.table.Version(), min(h.table.Listed(objects.Servers), h.table.Listed(objects.Evacuations)))
}

// relistIfBehind relists all kinds if this host's watches have not caught up with
// the store after watchLagLimit.
//
// Failure: the store answers calls, but its watches deliver nothing for seconds
// until they end because the history was compacted, and engines leave in the
// meantime. A change of a kind that is not followed also looks like a missed one
// and costs an unnecessary list of each kind.
func (h *Host) relistIfBehind(stored storeState) {
	defer h.checkingWatches.Store(false)
	_ = sleep.For(context.Background(), watchLagLimit) // fails only when the context ends, which this one never does
	if h.watchesBehind(stored) {
		h.logger.Warn(msgWatchesBehind, zap.Uint64("revision", uint64(stored.revision)), zap.Uint64("own", uint64(h.reachedRevision())))
		h.relistExcept("")
	}
}

// checkStore makes the least expensive call that shows whether the store
// answers.
func (h *Host) checkStore(ctx context.Context) error { return h.options.Store.Check(ctx) }

// relist makes all followers list their objects again.
func (h *Host) relist() {
	h.logger.Info(msgRelist)
	h.relistExcept("")
}

// relistExcept makes the followers of all kinds but one list their objects again.
func (h *Host) relistExcept(kind string) {
	for _, f := range []*replica.Follower{h.configuration, h.servers, h.evacuations, h.quarantines} {
		if f.Kind != kind {
			f.Relist()
		}
	}
}

// catchUp pulls the newer objects from an allocator if it has a newer
// configuration than this host.
//
// Failure: the few hosts that watch the store receive a new configuration
// immediately, but gossip may not reach some other host for seconds. Every host
// receives a report from an allocator within a second.
func (h *Host) catchUp(allocator string, revision uint64) {
	if own := h.revision(); own < revision || !sameEra(own, revision) {
		h.pull(allocator, revision)
	}
}

// catchUpEvacuations is catchUp for the evacuations of failure domains.
func (h *Host) catchUpEvacuations(allocator string, revision uint64) {
	if h.evacuationRevision.Load() < revision {
		h.pull(allocator, revision)
	}
}

// pull fetches newer objects from an allocator, one pull at a time.
func (h *Host) pull(allocator string, revision uint64) {
	if !h.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		if _, err := h.node.Load().Pull(ctx, allocator); err != nil {
			h.logger.Warn(msgBehind, zap.String("allocator", allocator), zap.Uint64("revision", revision), zap.Uint64("own", h.revision()), zap.Error(err))
		}
	}()
}
