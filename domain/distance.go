// Package domain makes decisions by failure domain: the distances between
// domains, the entry hosts that callers should use, and the hosts that watch
// the platform.
package domain

import (
	"sync"
	"time"
)

const (
	// DefaultDistance is assumed between two domains without a setting or a
	// round-trip sample.
	DefaultDistance = 10 * time.Millisecond
	// sampleDivisor is the divisor of the moving average: one sample has the
	// weight 1/sampleDivisor.
	sampleDivisor = 8
)

// Pair is a pair of failure domains.
type Pair struct {
	From, To string
}

func (p Pair) ordered() Pair {
	if p.From > p.To {
		return Pair{p.To, p.From}
	}
	return p
}

// Distances holds the one-way delays between failure domains, from settings or
// estimated from round trips. It is safe for concurrent use.
type Distances struct {
	fixed map[Pair]time.Duration

	mu      sync.Mutex // guards learned
	learned map[Pair]time.Duration
}

// NewDistances returns distances with fixed values from the settings, which
// samples never override.
func NewDistances(settings map[Pair]time.Duration) *Distances {
	d := &Distances{fixed: make(map[Pair]time.Duration), learned: make(map[Pair]time.Duration)}
	for pair, delay := range settings {
		d.fixed[pair.ordered()] = delay
	}
	return d
}

// Learn adds a round-trip sample between two domains to the moving average.
func (d *Distances) Learn(from, to string, roundTrip time.Duration) {
	pair := Pair{from, to}.ordered()
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.learned[pair]
	if !ok {
		d.learned[pair] = roundTrip / 2
		return
	}
	d.learned[pair] = known + (roundTrip/2-known)/sampleDivisor
}

// Between returns the one-way delay between two domains. It is zero within a domain
// other than the unknown one (""). Otherwise it is the value of the settings, else
// the average of the samples, else DefaultDistance.
func (d *Distances) Between(from, to string) time.Duration {
	if from == to && from != "" {
		return 0
	}
	pair := Pair{from, to}.ordered()
	if delay, ok := d.fixed[pair]; ok {
		return delay
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if delay, ok := d.learned[pair]; ok {
		return delay
	}
	return DefaultDistance
}

// Near returns own and the domains whose one-way delay from own is at most
// within: the region in which hosts probe each other.
func (d *Distances) Near(own string, domains []string, within time.Duration) []string {
	near := []string{own}
	for _, other := range domains {
		if other != own && d.Between(own, other) <= within {
			near = append(near, other)
		}
	}
	return near
}
