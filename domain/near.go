package domain

import (
	"slices"

	"github.com/papayasail/papayasail/peer"
)

const (
	// MostSpread bounds an answer whose addresses callers use evenly.
	MostSpread = 64
	// leastSpread is how many hosts an answer names if there are any: with
	// one alone its death would leave callers without any.
	leastSpread = 2
)

// Spread chooses the entry hosts among which callers of a failure domain
// choose at random: the live ones of their domain, and with fewer than two of
// those the live ones of all. Suspects are named only when no host is alive:
// callers do not keep to an order, so a tenth of them would wait for each.
// Leaving hosts are named when there is nobody else: all are being stopped in
// turn, and go on serving short requests until they end.
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

// inState returns the members in a state and, unless it is empty, a failure domain.
func inState(members []peer.Member, state peer.State, domain string) []peer.Member {
	return slices.Collect(func(yield func(peer.Member) bool) {
		for _, m := range members {
			if m.State == state && m.CallerAddress != "" && (domain == "" || m.FailureDomain == domain) && !yield(m) {
				return
			}
		}
	})
}
