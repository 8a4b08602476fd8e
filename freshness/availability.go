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
	mu        sync.Mutex // guards all below
	known     availability
	suspended time.Duration // of the machine, when known was last corrected
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

// correct moves what is known back by the time for which the machine was suspended since the
// last call, given the total, and returns that time. Short ones are errors of the clocks.
func (t *availabilityTable) correct(total time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := total - t.suspended
	if since < minSuspension {
		return 0
	}
	t.suspended = total
	if t.known.to.IsZero() {
		return 0
	}
	t.known.from, t.known.to = t.known.from.Add(-since), t.known.to.Add(-since)
	return since
}
