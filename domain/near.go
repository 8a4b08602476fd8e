package domain

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/internal/selection"
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
	// minUnordered is the number of hosts, if there are as many, below which weak
	// hosts are not left out of an answer.
	minUnordered = 8
)

// UnorderedHosts returns the entry hosts from which callers of a failure domain choose
// at random: the live hosts of their domain or, with fewer than two of those,
// the live hosts of all domains. Suspects are returned only if no host is
// alive, because callers ignore the order: with ten hosts, a tenth of the callers
// would wait for each suspect. Leaving hosts are returned only if there are no
// others: a leaving host still serves short requests until it stops, for example
// during a rolling restart of all hosts.
//
// Hosts are returned by their capacity: a host with a quarter of the capacity of
// the strong ones is in a quarter of the answers. Which hosts an answer leaves out
// depends on the answering host only, so that callers keep their connections, and
// answers of all hosts together contain every host.
func UnorderedHosts(members []peer.Member, callerDomain, answering string) []*peer.Member {
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
	return byCapacity(hosts, answering)
}

// byCapacity returns at most MaxUnorderedHosts of the hosts: the strong ones, and
// weak ones in proportion to their capacity.
func byCapacity(hosts []*peer.Member, answering string) []*peer.Member {
	strong, weak := splitByCapacity(hosts)
	if len(weak) > 0 {
		share := meanCapacity(weak) / meanCapacity(strong)
		count := max(int(math.Ceil(share*float64(len(weak)))), minUnordered-len(strong))
		weak = sample(weak, count, answering)
	}
	return sample(append(strong, weak...), MaxUnorderedHosts, answering)
}

// splitByCapacity divides hosts by strongShare of the highest capacity among them.
func splitByCapacity(hosts []*peer.Member) (strong, weak []*peer.Member) {
	limit := strongLimit(hosts)
	for _, m := range hosts {
		if float64(m.Capacity) >= limit {
			strong = append(strong, m)
		} else {
			weak = append(weak, m)
		}
	}
	return strong, weak
}

func meanCapacity(hosts []*peer.Member) float64 {
	sum := 0
	for _, m := range hosts {
		sum += m.Capacity
	}
	return float64(sum) / float64(len(hosts))
}

// sample returns count of the hosts, chosen by rendezvous hashing with the name of
// the answering host.
func sample(hosts []*peer.Member, count int, answering string) []*peer.Member {
	if len(hosts) <= count {
		return hosts
	}
	seed := xxhash.Sum64String(answering)
	return selection.Lowest(hosts, count, func(m **peer.Member) uint64 { return score((*m).Host, seed) }, cmp.Compare)
}

// inState returns the members with a caller address in a state and a failure
// domain; an empty domain matches all.
func inState(members []peer.Member, state peer.State, domain string) []*peer.Member {
	var matching []*peer.Member
	for i := range members {
		if m := &members[i]; m.State == state && m.CallerAddress != "" && (domain == "" || m.FailureDomain == domain) {
			matching = append(matching, m)
		}
	}
	return matching
}
