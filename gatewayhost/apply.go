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
