package freshness

import (
	"sync"
	"time"
)

// availability is a span of time in which the store answered reads of some host, with no
// pause over oldAge. It is evidence about the store: a host that stood still or was cut off
// has none for that time, and adopts that of other hosts.
type availability struct {
	from, to time.Time // zero: nothing is known
	// afterOutage is set if nobody is known to have read the store shortly before from.
	// Otherwise the time before from is not known.
	afterOutage bool
}

// merge adds what another read, or another host, shows.
func (a availability) merge(b availability) availability {
	switch {
	case b.to.IsZero():
		return a
	case a.to.IsZero():
		return b
	case b.from.Sub(a.to) > oldAge:
		b.afterOutage = true
		return b
	case a.from.Sub(b.to) > oldAge:
		return a
	}
	switch {
	case b.from.Before(a.from):
		a.from, a.afterOutage = b.from, a.afterOutage || b.afterOutage
	case !a.afterOutage && b.from.Sub(a.from) <= oldAge:
		a.afterOutage = b.afterOutage // this host knows nothing from before that outage ended
	}
	if b.to.After(a.to) {
		a.to = b.to
	}
	return a
}

// availabilityTable holds the availability that a host knows. No other lock is taken while
// its mutex is held.
type availabilityTable struct {
	mu    sync.Mutex // guards known
	known availability
}

func (t *availabilityTable) get() availability {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

func (t *availabilityTable) merge(b availability) (before, after availability) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.known
	t.known = before.merge(b)
	return before, t.known
}
