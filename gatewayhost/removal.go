package gatewayhost

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	// entryRecoveryTime is the time after a store outage within which live servers
	// have recreated the entries that expired in the outage, or soon after it.
	entryRecoveryTime = 2 * time.Second
	// leavingQueryTimeout bounds one status query to a server whose entry is gone;
	// leavingQueryInterval separates two of them.
	leavingQueryTimeout  = 200 * time.Millisecond
	leavingQueryInterval = 250 * time.Millisecond

	msgEntryGone       = "entry of a backend server is gone after an outage of the store"
	msgRemovalsDecided = "backend servers without an entry after an outage of the store are removed"
)

// undecidedRemovals are the servers whose entries were deleted, but may only have expired.
type undecidedRemovals struct {
	added chan struct{} // has a token when there are new ones

	mu  sync.Mutex      // guards ids; locked after the replica table's lock
	ids map[string]bool // the value is set once list has returned the id as fresh
}

func newUndecidedRemovals() *undecidedRemovals {
	return &undecidedRemovals{added: make(chan struct{}, 1), ids: map[string]bool{}}
}

func (u *undecidedRemovals) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.ids[id]; known {
		return
	}
	u.ids[id] = false
	select {
	case u.added <- struct{}{}:
	default:
	}
}

// list returns all ids, and those that have not been returned as fresh before.
func (u *undecidedRemovals) list() (all, fresh []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, listed := range u.ids {
		all = append(all, id)
		if !listed {
			fresh = append(fresh, id)
			u.ids[id] = true
		}
	}
	return all, fresh
}

func (u *undecidedRemovals) remove(ids []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range ids {
		delete(u.ids, id)
	}
}

func (u *undecidedRemovals) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, undecided := u.ids[id]
	return undecided
}

// removeServer removes a server whose entry was deleted from the store.
//
// Failure: servers cannot renew their entries during a store outage, so the
// entries expire, and after the outage servers appear removed although they
// are alive. If this host hears of a deletion before it has a view from entryRecoveryTime
// after an outage, the server is therefore removed only if that view lacks the entry, too.
//
// It is called with the replica table's lock held. The membership acquires that
// lock as well, so calling WatchDuty.Watches here would deadlock the host.
func (h *Host) removeServer(id string) {
	if h.views.Settled(entryRecoveryTime) {
		h.fleet.Remove(id)
		return
	}
	h.undecided.add(id)
}

// decideRemovals decides which undecided servers are gone, until ctx ends. Hosts that watch
// the store query these servers, and remove one earlier if it reports that it is or may be
// leaving or if a query fails.
func (h *Host) decideRemovals(ctx context.Context) error {
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		select {
		case <-h.undecided.added:
		case <-ctx.Done():
			return ctx.Err()
		}
		for all, fresh := h.undecided.list(); len(all) > 0; all, fresh = h.undecided.list() {
			for _, id := range fresh {
				if server, _ := h.fleet.Get(id); server.ID != "" && h.watch.Watches() {
					polls.Go(func() { h.removeAfterPolling(ctx, server) })
				}
			}
			waiting, stop := context.WithTimeout(ctx, leavingQueryInterval)
			err := h.views.AwaitSettled(waiting, entryRecoveryTime)
			stop()
			if err == nil {
				h.removeMissing(all)
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}

// removeMissing removes those servers whose entries have not been recreated. An entry that
// is deleted again meanwhile is undecided anew.
func (h *Host) removeMissing(ids []string) {
	h.undecided.remove(ids)
	removed := 0
	for _, id := range ids {
		if h.removeUnlessRecreated(id) {
			removed++
		}
	}
	h.logger.Info(msgRemovalsDecided, zap.Int("removed", removed), zap.Int("returned", len(ids)-removed),
		zap.Duration("since_outage", h.views.SinceOutage()), zap.Duration("view_age", h.views.Age()))
}

// removeUnlessRecreated removes a server unless its entry has been recreated.
func (h *Host) removeUnlessRecreated(id string) (removed bool) {
	if _, back := h.table.Get(h.options.Objects.Servers, id); back {
		return false
	}
	h.fleet.Remove(id)
	return true
}

// removeAfterPolling polls a server until its entry has been recreated, the server reports
// that it is or may be leaving, a query fails, or its removal is decided. It polls
// repeatedly because a server's status may be several hundred milliseconds old: the first
// answer may predate its decision to leave.
func (h *Host) removeAfterPolling(ctx context.Context, server fleet.Server) {
	for started := time.Now(); h.undecided.has(server.ID); {
		if _, back := h.table.Get(h.options.Objects.Servers, server.ID); back {
			return
		}
		leaving, err := h.queryLeaving(ctx, server)
		if ctx.Err() != nil {
			return
		}
		if leaving || err != nil {
			h.logger.Info(msgEntryGone, zap.String("server", server.ID), zap.Bool("departs", leaving), zap.Duration("after", time.Since(started)), zap.Error(err))
			h.removeUnlessRecreated(server.ID)
			return
		}
		if sleep.For(ctx, leavingQueryInterval) != nil {
			return
		}
	}
}

// queryLeaving queries the status of a server and returns whether it is or may be leaving.
func (h *Host) queryLeaving(ctx context.Context, server fleet.Server) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, leavingQueryTimeout)
	defer cancel()
	status, err := h.queryStatus(ctx, server)
	return status.Leaves || status.MayLeave, err
}

// queryStatus queries the status of a server, at its service's health path if one
// is configured.
func (h *Host) queryStatus(ctx context.Context, server fleet.Server) (fleet.SelfReport, error) {
	path := ""
	if c := h.gateway.Configuration(); c != nil && c.Services[server.Service] != nil {
		path = c.Services[server.Service].HealthPath
	}
	return h.backend.QueryStatus(ctx, server, path)
}
