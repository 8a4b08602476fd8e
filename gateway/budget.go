package gateway

import (
	"sync"
	"time"
)

// Budget bounds how many requests are sent once more, so that hosts together
// keep to what the operator allows without asking each other: each spends an
// equal part of the fixed allowance and its own share of the traffic.
//
// Failure: a service slows down, every request is sent twice, and the load
// that slowed it doubles.
type Budget struct {
	// Ratio is how many repeats each request of a window earns.
	Ratio float64
	// Allowance is how many repeats the fleet may make a window besides.
	Allowance float64
	// Window is the span over which the operator counts.
	Window time.Duration
	// Hosts returns how many entry hosts share the allowance.
	Hosts func() int

	mu       sync.Mutex // guards all below
	services map[string]*ring
	began    time.Time // of the first slot; the time of day may jump, this does not
}

const (
	// budgetMargin leaves room for windows that the operator counts from
	// other moments than this host.
	budgetMargin = 0.8
	ringSlots    = 10
)

// ring counts requests and repeats in slots of a tenth of the window.
type ring struct {
	requests, repeats [ringSlots]int
	slot              int64
}

// Request counts the first send of a request to a service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service)
	r.requests[r.slot%ringSlots]++
}

// Spend reports whether a request may be sent once more, and counts it.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service)
	requests, repeats := 0, 0
	for i := range ringSlots {
		requests += r.requests[i]
		repeats += r.repeats[i]
	}
	allowed := budgetMargin * (b.Allowance/float64(max(1, b.Hosts())) + b.Ratio*float64(requests))
	if float64(repeats+1) > allowed {
		return false
	}
	r.repeats[r.slot%ringSlots]++
	return true
}

// at returns a service's ring turned to the present. Called with mu held.
func (b *Budget) at(service string) *ring {
	if b.services == nil {
		b.services, b.began = map[string]*ring{}, time.Now()
	}
	now := int64(time.Since(b.began) / (b.Window / ringSlots))
	r := b.services[service]
	if r == nil {
		r = &ring{slot: now}
		b.services[service] = r
	}
	if now-r.slot > ringSlots {
		*r = ring{slot: now}
	}
	for r.slot < now {
		r.slot++
		r.requests[r.slot%ringSlots], r.repeats[r.slot%ringSlots] = 0, 0
	}
	return r
}
