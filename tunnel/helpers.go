package tunnel

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/peer"
)

const (
	// helperBackoff is how long a host that could not help is asked last.
	helperBackoff = 3 * time.Second
	// minNearHelpers is the number of hosts of its own failure domain from which on a
	// host asks these first: fewer would carry the load of all that are cut off there.
	minNearHelpers = 3
)

// helpers chooses the hosts that are asked for tunnels.
type helpers struct {
	options Options

	mu         sync.Mutex // guards all below
	generation uint64
	live       []candidate          // other hosts that run at generation
	avoided    map[helper]time.Time // those that could not help, and until when they are asked last
}

// candidate is a host that may be asked for tunnels.
type candidate struct {
	host, domain string
	leaving      bool
}

// helper is a host that is asked for tunnels to servers of a service.
type helper struct{ host, service string }

func newHelpers(o Options) *helpers {
	return &helpers{options: o, avoided: map[helper]time.Time{}}
}

// choose returns up to count hosts in the order in which to ask them for a tunnel to a
// server of a service: those that have not failed to help lately first, near ones before
// the others, and leaving ones, whose tunnels may be cut off, after these. The second one is
// of another failure domain than the first: all hosts of a domain may be cut off.
func (h *helpers) choose(service string, count int) []string {
	hosts := h.liveOthers()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	avoided := func(c candidate) bool { return !now.After(h.avoided[helper{c.host, service}]) }
	near := 0
	for _, c := range hosts {
		if c.domain == h.options.Domain && !c.leaving && !avoided(c) {
			near++
		}
	}
	rank := func(c candidate) int {
		switch {
		case avoided(c):
			return 3
		case c.leaving:
			return 2
		case near >= minNearHelpers && c.domain != h.options.Domain:
			return 1
		}
		return 0
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b candidate) int { return rank(a) - rank(b) })
	preferOtherDomain(hosts, func(c candidate) bool { return rank(c) < 2 })
	var chosen []string
	for _, c := range hosts[:min(count, len(hosts))] {
		chosen = append(chosen, c.host)
	}
	return chosen
}

// preferOtherDomain moves the first usable host of another failure domain than the first
// one to the second place.
func preferOtherDomain(hosts []candidate, usable func(candidate) bool) {
	for i := 1; i < len(hosts); i++ {
		if hosts[i].domain != hosts[0].domain && usable(hosts[i]) {
			other := hosts[i]
			copy(hosts[2:i+1], hosts[1:i])
			hosts[1] = other
			return
		}
	}
}

// liveOthers returns a copy of the other hosts that are alive or leaving.
func (h *helpers) liveOthers() []candidate {
	generation := h.options.Peers.Generation()
	h.mu.Lock()
	live, current := h.live, h.live != nil && generation == h.generation
	h.mu.Unlock()
	if current {
		return slices.Clone(live)
	}
	live = []candidate{}
	for _, m := range h.options.Peers.Members() {
		leaving := m.State == peer.StateLeaving
		if (leaving || m.State == peer.StateAlive) && m.Host != h.options.Host {
			live = append(live, candidate{m.Host, m.FailureDomain, leaving})
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation, h.live = generation, live
	now := time.Now()
	maps.DeleteFunc(h.avoided, func(_ helper, until time.Time) bool { return now.After(until) })
	return slices.Clone(live)
}

// record records whether a host opened a tunnel to a server of a service. A host that
// finds the server out of reach, but reaches others of the service, is not avoided.
func (h *helpers) record(host, service string, err error) {
	var answer *peer.TunnelError
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil || errors.As(err, &answer) && answer.Conclusive() {
		delete(h.avoided, helper{host, service})
		return
	}
	h.avoided[helper{host, service}] = time.Now().Add(helperBackoff)
}
