package fleet

import (
	"time"

	"go.uber.org/zap"
)

const msgIdentityAdopted = "backend server has the service and address of its later entry"

// sameIdentity reports whether both have the same service and address.
func (s Server) sameIdentity(other Server) bool {
	return s.Service == other.Service && s.Address == other.Address
}

// ResolveConflict adopts the service and the address of the given entry, which differ from
// those of the first one, if no other entry came since and they have stood for some time,
// in which the server would have overwritten an entry of somebody else. A host that starts
// while there is such an entry takes it for the first one.
func (t *Table) ResolveConflict(server Server, stood time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[server.ID]
	if e == nil || e.conflicting == nil || !e.conflicting.sameIdentity(server) || time.Since(e.conflictingSince) < stood {
		return
	}
	t.logger.Warn(msgIdentityAdopted, zap.String("server", server.ID), zap.String("service", server.Service), zap.String("address", server.Address),
		zap.String("service_before", e.server.Service), zap.String("address_before", e.server.Address), zap.Int("own_work", len(e.work)))
	adopted := *e.conflicting
	t.drop(e)
	delete(t.service(e.server.Service).departed, e.server.Incarnation()) // it stays
	t.put(adopted)
}
