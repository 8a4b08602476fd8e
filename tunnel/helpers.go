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
	live       []peer.Member        // other live hosts at generation
	avoided    map[helper]time.Time // those that could not help, and until when they are asked last
}

// helper is a host that is asked for tunnels to servers of a service.
type helper struct{ host, service string }

func newHelpers(o Options) *helpers {
	return &helpers{options: o, avoided: map[helper]time.Time{}}
}

// choose returns up to count hosts in the order in which to ask them for a tunnel to a
// server of a service: hosts that have not failed to help lately first, the near ones before the others. If all hosts of
// a failure domain are cut off, the second one is of another domain.
func (h *helpers) choose(service string, count int) []string {
	members := h.liveOthers()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	near := 0
	for _, m := range members {
		if m.FailureDomain == h.options.Domain && now.After(h.avoided[helper{m.Host, service}]) {
			near++
		}
	}
	rank := func(m peer.Member) int {
		switch {
		case !now.After(h.avoided[helper{m.Host, service}]):
			return 2
		case near >= minNearHelpers && m.FailureDomain != h.options.Domain:
			return 1
		}
		return 0
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b peer.Member) int { return rank(a) - rank(b) })
	preferOtherDomain(members, func(m peer.Member) bool { return rank(m) < 2 })
	var chosen []string
	for _, m := range members[:min(count, len(members))] {
		chosen = append(chosen, m.Host)
	}
	return chosen
}

// preferOtherDomain moves the first usable member of another failure domain than the
// first one to the second place.
func preferOtherDomain(members []peer.Member, usable func(peer.Member) bool) {
	for i := 1; i < len(members); i++ {
		if members[i].FailureDomain != members[0].FailureDomain && usable(members[i]) {
			other := members[i]
			copy(members[2:i+1], members[1:i])
			members[1] = other
			return
		}
	}
}

// liveOthers returns a copy of the other live hosts.
func (h *helpers) liveOthers() []peer.Member {
	generation := h.options.Peers.Generation()
	h.mu.Lock()
	live, current := h.live, h.live != nil && generation == h.generation
	h.mu.Unlock()
	if current {
		return slices.Clone(live)
	}
	live = slices.DeleteFunc(slices.Clone(h.options.Peers.Members()), func(m peer.Member) bool {
		return m.State != peer.StateAlive || m.Host == h.options.Host
	})
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
