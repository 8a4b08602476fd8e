package gatewayhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

const msgConfiguration = "configuration in force"

// apply puts a stored object in force. It is called with the replica's lock
// held.
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
		h.evacuated.Store(max(h.evacuated.Load(), uint64(object.Version)))
	}
	return nil
}

func (h *Host) applyConfiguration(object store.Object) error {
	next, err := h.options.Objects.ReadConfiguration(object.Value)
	if err != nil {
		return err
	}
	h.gateway.SetConfiguration(next)
	h.logger.Info(msgConfiguration, zap.Uint64("configuration", next.Version), zap.Uint64("revision", uint64(object.Version)))
	return nil
}

func (h *Host) applyServer(object store.Object) error {
	server, err := h.options.Objects.ReadServer(object.Name, object.Value)
	if err != nil {
		h.fleet.Disregard(object.Name)
		return err
	}
	h.fleet.Put(server)
	return nil
}

// undisturbed returns how long ago the store last failed to answer this host
// or the allocators.
func (h *Host) undisturbed() time.Duration {
	return min(h.servers.Undisturbed(), h.allocation.Undisturbed())
}

const (
	// lapsedReturn is how soon after the store's return the entries are back
	// that lapsed while it was away.
	lapsedReturn = 2500 * time.Millisecond
	// departsTimeout bounds the question to a server whose entry is gone.
	departsTimeout  = 200 * time.Millisecond
	departsInterval = 250 * time.Millisecond

	msgEntryGone = "entry of a backend server is gone after a disturbance of the store"
)

// removeServer takes a server out whose entry is gone.
//
// Failure: entries lapse while the store is away, as servers cannot renew
// them, and on its return all servers look gone although they live. After a
// disturbance of the store a server that says it stays counts as gone only
// after the time in which such entries come back.
//
// It is called with the replica's lock held, which the membership takes too:
// who watches the store must not be asked here, or this host hears of nothing
// any more.
func (h *Host) removeServer(id string) {
	if h.undisturbed() > h.options.ListChangedSlack {
		h.fleet.Remove(id)
		return
	}
	go h.removeDoubted(id)
}

// removeDoubted asks the server itself, on the few hosts that watch the store;
// the others hear from the allocator if it leaves.
func (h *Host) removeDoubted(id string) {
	if server, _ := h.fleet.Get(id); server.ID != "" && h.watch.Watches() {
		h.removeUnlessStaying(server)
		return
	}
	_ = sleep.For(context.Background(), lapsedReturn) // never ends early
	h.removeUnlessBack(id)
}

func (h *Host) removeUnlessBack(id string) {
	if _, back := h.table.Get(h.options.Objects.Servers, id); !back {
		h.fleet.Remove(id)
	}
}

// removeUnlessStaying asks until the entry is back, the server says that it
// leaves or does not answer, or the time is over. What a server says of itself
// is some hundred ms old, so that its first answer may be from before.
func (h *Host) removeUnlessStaying(server fleet.Server) {
	for asked := time.Duration(0); asked < lapsedReturn; asked += departsInterval {
		departs, err := h.askDeparts(server)
		if departs || err != nil {
			h.logger.Info(msgEntryGone, zap.String("server", server.ID), zap.Bool("departs", departs), zap.Duration("after", asked), zap.Error(err))
			break
		}
		_ = sleep.For(context.Background(), departsInterval) // never ends early
		if _, back := h.table.Get(h.options.Objects.Servers, server.ID); back {
			return
		}
	}
	h.removeUnlessBack(server.ID)
}

func (h *Host) askDeparts(server fleet.Server) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), departsTimeout)
	defer cancel()
	word, err := h.ask(ctx, server)
	return word.Leaves, err
}

// ask asks a server what it says of itself.
func (h *Host) ask(ctx context.Context, server fleet.Server) (fleet.OwnWord, error) {
	path := ""
	if c := h.gateway.Configuration(); c != nil && c.Services[server.Service] != nil {
		path = c.Services[server.Service].HealthPath
	}
	return h.options.Backend.Ask(ctx, server, path)
}
