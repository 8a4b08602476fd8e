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

	// bootWait is how long a host that starts waits for its peers before it
	// watches the store: probes of the seeds take some ms, and those of hosts
	// that start with it come within half a second.
	bootWait = time.Second
	// meetQuiet is how long no host becomes known to one that has met them all:
	// news takes a probe interval. meetMost bounds the wait.
	meetQuiet = probeInterval
	meetMost  = 2 * time.Second
	// bootTimeout bounds one reading of the store at the start.
	bootTimeout = time.Second
)

// boot reads the store once, cheaply, and ends the time in which this host
// follows nobody: after its first exchange with a peer, or bootWait.
//
// The load it answers: all hosts of a large fleet start together. Each sees
// nobody but itself and would watch the store until it has met the others. What
// is read may be seconds old: nothing is denied by it until a newer word
// confirms it, and peers bring what has changed since.
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

// meet waits until no more hosts become known, meetMost at the most: one that
// knows a few takes itself for a watcher of the store in place of the others.
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

// listStale returns the objects of a kind as of some seconds ago, and whether the
// store answered.
func (h *Host) listStale(ctx context.Context, kind string) ([]store.Object, store.Version, bool) {
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	objects, revision, err := h.options.Store.ListStale(ctx, kind)
	if err != nil {
		h.logger.Warn(msgNotRead, zap.String("kind", kind), zap.Error(err))
	}
	return objects, revision, err == nil
}

func (h *Host) readStale(ctx context.Context, kind string) {
	objects, revision, answered := h.listStale(ctx, kind)
	if !answered {
		return
	}
	_, findings := h.table.AdoptList(kind, objects, revision)
	h.logger.Info(msgBooted, zap.String("kind", kind), zap.Int("objects", len(objects)), zap.Uint64("revision", uint64(revision)), zap.Int("not_in_force", len(findings)))
}
