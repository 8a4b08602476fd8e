package gatewayhost

import (
	"sync"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/peer"
)

// memberSummary is what requests need of the membership. It is computed once for
// each change of the membership, since callers ask for addresses once a second.
type memberSummary struct {
	generation uint64
	members    []peer.Member
	peersLive  bool              // another host is alive
	regions    map[string]string // by failure domain

	mu        sync.Mutex          // guards addresses
	addresses map[string][]string // by callers' failure domain
}

// summary returns the summary of the current membership.
func (h *Host) summary() *memberSummary {
	generation := h.Generation()
	if known := h.summarised.Load(); known != nil && known.generation == generation {
		return known
	}
	next := &memberSummary{generation: generation, members: h.Members(), regions: map[string]string{}, addresses: map[string][]string{}}
	for _, m := range next.members {
		if m.Region != "" {
			next.regions[m.FailureDomain] = m.Region
		}
		next.peersLive = next.peersLive || m.State == peer.StateAlive && m.Host != h.options.Name
	}
	h.summarised.Store(next)
	return next
}

// regionOf returns the region of a failure domain, or "" if no known host is there.
func (h *Host) regionOf(failureDomain string) string { return h.summary().regions[failureDomain] }

// addressesFor returns the addresses for callers of a failure domain. The caller
// must not modify the slice.
func (s *memberSummary) addressesFor(callerDomain, answering string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses, known := s.addresses[callerDomain]
	if known {
		return addresses
	}
	for _, m := range domain.UnorderedHosts(s.members, callerDomain, answering) {
		addresses = append(addresses, m.CallerAddress)
	}
	if len(s.addresses) < maxCallerDomains {
		s.addresses[callerDomain] = addresses
	}
	return addresses
}

// maxCallerDomains bounds the answers kept for one membership: callers may name any
// failure domain.
const maxCallerDomains = 64
