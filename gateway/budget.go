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
	// budgetFraction is the fraction of the limit that is used. The rest is headroom
	// because the operator's windows start at other times than this host's.
	budgetFraction = 0.8
	windowSlots    = 10
)

// ring counts requests and retries in slots of one tenth of the window.
type ring struct {
	requests, retries [windowSlots]int
	slot              int64 // newest slot, counted from Budget.began
}

// RecordRequest counts a request to a service. The gateway calls it at the first
// attempt of a request, and, unless the request is a generation, again at each
// further attempt until a server may have received the request.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.currentRing(service)
	r.requests[r.slot%windowSlots]++
}

// Withdraw reports whether a request may be retried and, if so, counts the retry.
func (b *Budget) Withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.currentRing(service)
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	allowed := budgetFraction * (b.Allowance/float64(max(1, b.Hosts())) + b.Ratio*float64(requests))
	if float64(retries+1) > allowed {
		return false
	}
	r.retries[r.slot%windowSlots]++
	return true
}

// currentRing returns the ring of a service, advanced to the current time. Called
// with mu held.
func (b *Budget) currentRing(service string) *ring {
	if b.services == nil {
		b.services, b.began = map[string]*ring{}, time.Now()
	}
	now := int64(time.Since(b.began) / (b.Window / windowSlots))
	r := b.services[service]
	if r == nil {
		r = &ring{slot: now}
		b.services[service] = r
	}
	if now-r.slot > windowSlots {
		*r = ring{slot: now}
	}
	for r.slot < now {
		r.slot++
		r.requests[r.slot%windowSlots], r.retries[r.slot%windowSlots] = 0, 0
	}
	return r
}
