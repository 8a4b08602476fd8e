package domain

import (
	"slices"

	"github.com/papayasail/papayasail/peer"
)

const (
	// MaxUnorderedHosts is the maximum number of hosts in an answer from which
	// callers choose at random.
	MaxUnorderedHosts = 64
	// minDomainHosts is the minimum number of live hosts in the caller's domain
	// for an answer of that domain only: with one host, its death would leave
	// callers without an address.
	minDomainHosts = 2
)

// UnorderedHosts returns the entry hosts from which callers of a failure domain choose
// at random: the live hosts of their domain or, with fewer than two of those,
// the live hosts of all domains. Suspects are returned only if no host is
// alive, because callers ignore the order: with ten hosts, a tenth of the callers
// would wait for each suspect. Leaving hosts are returned only if there are no
// others: a leaving host still serves short requests until it stops, for example
// during a rolling restart of all hosts.
func UnorderedHosts(members []peer.Member, callerDomain string) []peer.Member {
	hosts := inState(members, peer.StateAlive, callerDomain)
	if len(hosts) < minDomainHosts {
		hosts = inState(members, peer.StateAlive, "")
	}
	if len(hosts) == 0 {
		hosts = inState(members, peer.StateSuspect, "")
	}
	if len(hosts) == 0 {
		hosts = inState(members, peer.StateLeaving, "")
	}
	return hosts[:min(len(hosts), MaxUnorderedHosts)]
}

// inState returns the members with a caller address in a state and a failure
// domain; an empty domain matches all.
func inState(members []peer.Member, state peer.State, domain string) []peer.Member {
	return slices.Collect(func(yield func(peer.Member) bool) {
		for _, m := range members {
			if m.State == state && m.CallerAddress != "" && (domain == "" || m.FailureDomain == domain) && !yield(m) {
				return
			}
		}
	})
}
