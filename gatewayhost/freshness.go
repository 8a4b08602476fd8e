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
	msgReread = "store answers again: what it has is listed anew"
	msgMissed = "watches have missed changes of the store: what it has is listed anew"
	msgBehind = "host is behind an allocator and could not catch up"

	// confirmTimeout bounds the question whether the configuration is the
	// newest, confirmAge how long an answer of the store counts for it.
	confirmTimeout = 400 * time.Millisecond
	confirmAge     = 700 * time.Millisecond
	// toldAge is how long an allocator's word on the newest configuration
	// counts: hosts report every 0.7 s at least. Together they are less than
	// the 2 s that the operator allows until a configuration is in force.
	toldAge = 900 * time.Millisecond
	// guardInterval spaces the checks of the hosts that watch the store, each
	// at a tenth of a call's price; guardTimeout bounds one.
	guardInterval = 500 * time.Millisecond
	guardTimeout  = 250 * time.Millisecond
	// missedAfter is how long watches may take to bring what the store has.
	missedAfter = 250 * time.Millisecond
	// pullTimeout bounds one catching up with an allocator.
	pullTimeout = time.Second
)

// surelyNewest returns the revision of the configuration in force, or zero if
// there may be a newer one. A watch that waits proves nothing: it may have
// missed a change. The store was asked for the configuration a moment ago.
func (h *Host) surelyNewest() uint64 {
	if h.verified() > confirmAge {
		return 0
	}
	return h.revision()
}

// verified returns how long ago the store was last asked for the configuration,
// by this host or by one that found the same, or moment.Never.
func (h *Host) verified() time.Duration {
	return min(h.confirmed.Age(), h.relayed.Age())
}

// relay takes in the word of another allocator that had the store's newest
// configuration so long ago.
func (h *Host) relay(allocator string, revision uint64, age time.Duration) {
	if own := h.revision(); own == revision && age < h.relayed.Age() {
		h.relayed.Mark(time.Now().Add(-age))
	}
	h.catchUp(allocator, revision)
}

// revision returns the revision of the configuration in force; zero: none.
func (h *Host) revision() uint64 {
	object, _ := h.table.Get(h.options.Objects.Configuration, h.options.Objects.ConfigurationName)
	return uint64(object.Version)
}

// confirm reports whether the configuration in force is the newest.
func (h *Host) confirm(ctx context.Context) bool {
	if h.surelyNewest() > 0 {
		return true
	}
	if newest, age := h.allocation.Newest(); age < toldAge && newest > 0 {
		return h.revision() >= newest
	}
	return h.confirmAtStore(ctx)
}

func (h *Host) confirmAtStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return h.verify(ctx) == nil
}

// verify asks the store for the configuration and puts it in force. A list of
// its kind says as well how far the store's changes have come.
func (h *Host) verify(ctx context.Context) error {
	asked := time.Now()
	objects, revision, err := h.options.Store.List(ctx, h.options.Objects.Configuration)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(objects, func(o store.Object) bool { return o.Name == h.options.Objects.ConfigurationName })
	if i < 0 {
		return store.ErrNoObject
	}
	there := seen{revision, objects[i].Version}
	missed := h.misses(there)
	h.table.Adopt(objects)
	h.confirmed.Mark(asked)
	if missed && h.watch.Watches() && h.comparing.CompareAndSwap(false, true) {
		go h.compare(there)
	}
	return nil
}

// seen is what an answer of the store says of its changes: how many there were,
// and which was the configuration's last.
type seen struct{ revision, configuration store.Version }

// misses reports whether watches of this host have not brought what the store
// has. A configuration that was found by asking hides what else was missed, so
// that its own watch is looked at.
func (h *Host) misses(there seen) bool {
	return h.reached() < there.revision || h.configuration.Reached() < there.configuration
}

// reached returns the revision up to which this host has all that it follows.
func (h *Host) reached() store.Version {
	objects := h.options.Objects
	return max(h.table.Version(), min(h.table.Listed(objects.Servers), h.table.Listed(objects.Evacuations)))
}

// compare has everything listed anew if this host's watches do not bring in time
// what the store has.
//
// Failure: the store answers, but its watches hear nothing for seconds before
// they are ended with the history, and engines leave meanwhile. A change of a
// kind that is not followed costs one list of each kind.
func (h *Host) compare(there seen) {
	defer h.comparing.Store(false)
	_ = sleep.For(context.Background(), missedAfter) // never ends early
	if h.misses(there) {
		h.logger.Warn(msgMissed, zap.Uint64("revision", uint64(there.revision)), zap.Uint64("own", uint64(h.reached())))
		h.relistBut("")
	}
}

// checkStore makes the cheapest call that shows whether the store answers.
func (h *Host) checkStore(ctx context.Context) error { return h.options.Store.Check(ctx) }

// relist has everything read anew that the store has.
func (h *Host) relist() {
	h.logger.Info(msgReread)
	h.relistBut("")
}

// relistBut has the kinds of objects but one read anew.
func (h *Host) relistBut(kind string) {
	for _, f := range []*replica.Follower{h.configuration, h.servers, h.evacuations} {
		if f.Kind != kind {
			f.Relist()
		}
	}
}

// catchUp fetches what an allocator has newer than this host.
//
// Failure: a configuration is accepted, and the few hosts that watch the store
// have it at once; news of it passes from host to host and may miss one for
// seconds. Every host hears from an allocator within a second.
func (h *Host) catchUp(allocator string, revision uint64) {
	if h.revision() < revision {
		h.pull(allocator, revision)
	}
}

// catchUpEvacuations does the same for the evacuations of failure domains.
func (h *Host) catchUpEvacuations(allocator string, revision uint64) {
	if h.evacuated.Load() < revision {
		h.pull(allocator, revision)
	}
}

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
