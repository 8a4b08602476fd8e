package gatewayhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

const (
	msgConfiguration        = "configuration in force"
	msgConfigurationPartial = "parts of the configuration in force cannot be read, and allow nothing"

	// maxLoggedProblems bounds the unreadable parts that one log line names.
	maxLoggedProblems = 8
)

// apply applies a stored object to the gateway or the fleet. It is called with
// the replica table's lock held.
func (h *Host) apply(object store.Object) error {
	objects := h.options.Objects
	switch {
	case object.Kind == objects.Configuration && object.Name == objects.ConfigurationName && !object.Deleted:
		return h.applyConfiguration(object)
	case object.Kind == objects.Servers && object.Deleted:
		h.removeServer(object.Name)
	case object.Kind == objects.Servers:
		return h.applyServer(object)
	case object.Kind == objects.Evacuations:
		h.fleet.SetEvacuated(object.Name, !object.Deleted)
		h.evacuationRevision.Store(max(h.evacuationRevision.Load(), uint64(object.Version)))
	case object.Kind == objects.Quarantine && !object.Deleted:
		h.mergeQuarantine(object)
	}
	return nil
}

func (h *Host) applyConfiguration(object store.Object) error {
	next, err := h.options.Objects.ReadConfiguration(object.Value)
	if err != nil {
		return err
	}
	h.gateway.SetConfiguration(next)
	h.logger.Info(msgConfiguration, zap.Uint64("configuration", next.Version), zap.Uint64("revision", object.Version.Revision()),
		zap.Uint64("era", object.Version.Era()))
	if problems := next.Problems; len(problems) > 0 {
		h.logger.Error(msgConfigurationPartial, zap.Uint64("configuration", next.Version), zap.Int("count", len(problems)),
			zap.Errors("problems", problems[:min(maxLoggedProblems, len(problems))]))
	}
	return nil
}

func (h *Host) applyServer(object store.Object) error {
	server, err := h.options.Objects.ReadServer(object.Name, object.Value)
	if err != nil {
		h.fleet.MarkInvalid(object.Name)
		return err
	}
	if h.fleet.Put(server) {
		go h.resolveConflict(server)
	}
	return nil
}

// conflictTime is how long one of two entries of a server with different services or
// addresses has to stand until it counts as the server's own. Servers write their entries
// every one to three seconds, also over those of others.
const conflictTime = 5 * time.Second

// resolveConflict adopts an entry that differs from the first one of its server's
// incarnation, unless the server has written another one within conflictTime in which the
// store answered.
func (h *Host) resolveConflict(server fleet.Server) {
	for {
		_ = sleep.For(context.Background(), conflictTime) // fails only when the context ends, which this one never does
		if h.viewCurrentFor(conflictTime) {
			h.fleet.ResolveConflict(server, conflictTime)
			return
		}
	}
}

const (
	// entryRecoveryTime is the time after a store outage within which live servers
	// have recreated the entries that expired during the outage.
	entryRecoveryTime = 2500 * time.Millisecond
	// leavingQueryTimeout bounds one status query to a server whose entry is gone;
	// leavingQueryInterval separates two of them.
	leavingQueryTimeout  = 200 * time.Millisecond
	leavingQueryInterval = 250 * time.Millisecond

	msgEntryGone = "entry of a backend server is gone after a disturbance of the store"
)

// removeServer removes a server whose entry was deleted from the store.
//
// Failure: servers cannot renew their entries during a store outage, so the
// entries expire, and after the outage all servers appear removed although they
// are alive. Within ListChangedSlack after an outage, a server is therefore
// removed only if its entry is not recreated within entryRecoveryTime. Hosts that
// watch the store query the server, and remove it earlier if it reports that it
// is or may be leaving or if a query fails. While the store answers any host, a missing entry is a
// removal, even if it rejects this host.
//
// It is called with the replica table's lock held. The membership acquires that
// lock as well, so calling WatchDuty.Watches here would deadlock the host.
func (h *Host) removeServer(id string) {
	if h.views.SinceOutage() > h.options.ListChangedSlack {
		h.fleet.Remove(id)
		return
	}
	go h.removeAfterOutage(id)
}

// removeAfterOutage decides whether a server is gone whose entry was deleted shortly
// after an outage of the store. Only the few hosts that watch the store query
// the server; the others are notified by the allocator if it is leaving.
func (h *Host) removeAfterOutage(id string) {
	if server, _ := h.fleet.Get(id); server.ID != "" && h.watch.Watches() {
		h.removeAfterPolling(server)
		return
	}
	_ = sleep.For(context.Background(), entryRecoveryTime) // fails only when the context ends, which this one never does
	h.removeUnlessRecreated(id)
}

// removeUnlessRecreated removes a server unless its entry has been recreated.
func (h *Host) removeUnlessRecreated(id string) {
	if _, back := h.table.Get(h.options.Objects.Servers, id); !back {
		h.fleet.Remove(id)
	}
}

// removeAfterPolling polls a server until its entry has been recreated, the
// server reports that it is or may be leaving, a query fails, or entryRecoveryTime has
// passed. It polls repeatedly because a server's status may be several
// hundred milliseconds old: the first answer may predate its decision to leave.
func (h *Host) removeAfterPolling(server fleet.Server) {
	for elapsed := time.Duration(0); elapsed < entryRecoveryTime; elapsed += leavingQueryInterval {
		leaving, err := h.queryLeaving(server)
		if leaving || err != nil {
			h.logger.Info(msgEntryGone, zap.String("server", server.ID), zap.Bool("departs", leaving), zap.Duration("after", elapsed), zap.Error(err))
			break
		}
		_ = sleep.For(context.Background(), leavingQueryInterval) // fails only when the context ends, which this one never does
		if _, back := h.table.Get(h.options.Objects.Servers, server.ID); back {
			return
		}
	}
	h.removeUnlessRecreated(server.ID)
}

// queryLeaving queries the status of a server and returns whether it is or may be leaving.
func (h *Host) queryLeaving(server fleet.Server) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), leavingQueryTimeout)
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
