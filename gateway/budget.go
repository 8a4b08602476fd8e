package gateway

import (
	"sync"
	"time"
)

// Budget limits retries so that all hosts together stay within the operator's
// limit without coordination: each host may use an equal part of the fixed
// allowance plus a ratio of its own requests.
//
// Without a limit, every request to a service that has slowed down is sent twice,
// which doubles the load that slowed it.
type Budget struct {
	// Ratio is the number of retries allowed per request in a window.
	Ratio float64
	// Allowance is the number of additional retries per window for all hosts
	// together.
	Allowance float64
	// Window is the period over which the operator counts requests and retries.
	Window time.Duration
	// Hosts returns the number of entry hosts that share the allowance.
	Hosts func() int

	mu       sync.Mutex // guards all below
	services map[string]*ring
	began    time.Time // start of the first slot; monotonic, unlike the wall clock, which may jump
}

const (
	// budgetMargin is the fraction of the limit that is used. The rest is headroom
	// because the operator's windows start at other times than this host's.
	budgetMargin = 0.8
	ringSlots    = 10
)

// ring counts requests and retries in slots of one tenth of the window.
type ring struct {
	requests, repeats [ringSlots]int
	slot              int64 // newest slot, counted from Budget.began
}

// Request counts the first send of a request to a service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service)
	r.requests[r.slot%ringSlots]++
}

// Spend reports whether a request may be retried and, if so, counts the retry.
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

// at returns the ring of a service, advanced to the current time. Called with mu
// held.
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
