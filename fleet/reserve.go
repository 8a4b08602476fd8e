package fleet

import (
	"time"

	"github.com/papayasail/papayasail/internal/shortid"
)

// ownReservationLifetime is how long a reservation for this host's own generation
// is valid. The gateway calls Begin within milliseconds of the placement, unless
// the caller has disconnected or its host has used up its processor quota.
const ownReservationLifetime = 300 * time.Millisecond

// ownReservation is a place for a generation of this host for which Begin was not
// called yet.
type ownReservation struct {
	load  Load
	until time.Time
}

// Reserve reserves capacity for a generation of an entry host on a server. For
// other hosts it is ReserveFor; for this host the reservation lasts until Begin is
// called for the request on that server, or ownReservationLifetime.
//
// Without a reservation, an allocator that places several waiting generations of
// its own host at once would give them all the same place.
func (t *Table) Reserve(host, server, request string, load Load) {
	if host != t.host {
		t.ReserveFor(host, server, load)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[server]
	if e == nil {
		return
	}
	now := time.Now()
	e.recordStart(now)
	if e.reserved == nil {
		e.reserved = map[string]ownReservation{}
	}
	e.reserved[shortid.Of(request)] = ownReservation{load, now.Add(ownReservationLifetime)}
}

// endReservation ends the reservation of a request of this host, if there is one.
// Requires Table.mu.
func (e *entry) endReservation(request string) (reserved bool) {
	_, reserved = e.reserved[request]
	delete(e.reserved, request)
	return reserved
}

// reservedLoad returns the load of the reservations of this host, and drops the
// expired ones. Requires Table.mu.
func (e *entry) reservedLoad(now time.Time) (load Load) {
	for request, r := range e.reserved {
		if !now.Before(r.until) {
			delete(e.reserved, request)
			continue
		}
		load.add(r.load)
	}
	return load
}
