package domain

import (
	"slices"

	"github.com/papayasail/papayasail/peer"
)

const (
	// MostSpread is the maximum number of hosts in an answer from which callers
	// choose at random.
	MostSpread = 64
	// leastSpread is the minimum number of live hosts in the caller's domain
	// for an answer of that domain only: with one host, its death would leave
	// callers without an address.
	leastSpread = 2
)

// Spread returns the entry hosts from which callers of a failure domain choose
// at random: the live hosts of their domain or, with fewer than two of those,
// the live hosts of all domains. Suspects are returned only if no host is
// alive: callers ignore the order, so that with ten hosts a tenth of them would
// wait for each suspect. Leaving hosts are returned only if there are no
// others: during a rolling restart of all hosts they serve short requests until
// they end.
func Spread(members []peer.Member, callerDomain string) []peer.Member {
	near := inState(members, peer.StateAlive, callerDomain)
	if len(near) < leastSpread {
		near = inState(members, peer.StateAlive, "")
	}
	if len(near) == 0 {
		near = inState(members, peer.StateSuspect, "")
	}
	if len(near) == 0 {
		near = inState(members, peer.StateLeaving, "")
	}
	return near[:min(len(near), MostSpread)]
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
