package domain

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/peer"
)

const (
	// maxSources is the maximum number of hosts that read the store for the hosts of a
	// failure domain.
	maxSources = 12
	// hostsWithoutRelays is the number of hosts of a domain up to which all ask the sources.
	hostsWithoutRelays = 16
)

// Sources are the hosts that a host asks for a newer view of the store.
type Sources struct {
	// Relays ask the sources on behalf of other hosts of their domain; none in a small
	// domain. They begin with that of this host.
	Relays []string
	// Readers read the store themselves, in the order in which they are asked: the first
	// hosts of the own domain by FirstForDuties, and of the other domains in turn. The first
	// host of a domain asks that of the fleet before it reads the store.
	Readers []string
	// Role is what this host does for others.
	Role SourceRole
}

// SourceRole is what a host does for the views of others.
type SourceRole int

// The roles of sources. Each refreshes its view a little before those that ask it.
const (
	NoSource      SourceRole = iota
	Relay                    // of its domain
	FirstOfDomain            // asked by the relays, or by all hosts of a small domain
	FirstOfFleet             // asked by the first hosts of the other domains
)

// ViewSources returns the sources of the host self. Its cost is one hash for each member.
func ViewSources(members []peer.Member, self peer.Member) Sources {
	domains := byDomain(members)
	own := domains[self.FailureDomain]
	relays := 0
	if len(own) > hostsWithoutRelays {
		relays = int(math.Ceil(math.Sqrt(float64(len(own)))))
	}
	first := namesOf(FirstForDuties(own, max(relays, maxSources)))
	ofFleet := firstOfFleet(domains)
	s := Sources{Readers: readers(first, othersFirst(domains, self))}
	switch {
	case self.Host == ofFleet:
		s.Role = FirstOfFleet
	case len(first) > 0 && first[0] == self.Host:
		s.Role = FirstOfDomain
		s.Readers = append([]string{ofFleet}, slices.DeleteFunc(s.Readers, func(host string) bool { return host == ofFleet })...)
	case slices.Contains(first[:relays], self.Host):
		s.Role = Relay
	}
	if relays > 0 {
		start := int(xxhash.Sum64String(self.Host) % uint64(relays))
		s.Relays = slices.DeleteFunc(slices.Concat(first[start:relays], first[:start]), func(host string) bool { return host == self.Host })
	}
	return s
}

// firstOfFleet returns the first host by FirstForDuties among those of the domains, or "".
func firstOfFleet(domains map[string][]*peer.Member) string {
	var firsts []*peer.Member
	for _, hosts := range domains {
		firsts = append(firsts, FirstForDuties(hosts, 1)...)
	}
	if first := FirstForDuties(firsts, 1); len(first) > 0 {
		return first[0].Host
	}
	return ""
}

// readers takes two hosts of the own domain, then one of each other domain, in turn.
func readers(own []string, others [][]string) []string {
	var chosen []string
	take := func(hosts *[]string, count int) {
		count = min(count, len(*hosts), maxSources-len(chosen))
		chosen = append(chosen, (*hosts)[:count]...)
		*hosts = (*hosts)[count:]
	}
	for before := -1; before < len(chosen); {
		before = len(chosen)
		take(&own, 2)
		for i := range others {
			take(&others[i], 1)
		}
	}
	return chosen
}

// othersFirst returns the first hosts of each other domain. Domains are ordered by self's
// domain, so that those without a working source do not all ask the same hosts.
func othersFirst(domains map[string][]*peer.Member, self peer.Member) [][]string {
	delete(domains, self.FailureDomain)
	order := make([]string, 0, len(domains))
	for name := range domains {
		order = append(order, name)
	}
	slices.Sort(order)
	next, _ := slices.BinarySearchFunc(order, self.FailureDomain, strings.Compare)
	var first [][]string
	for _, name := range slices.Concat(order[next:], order[:next]) {
		first = append(first, namesOf(FirstForDuties(domains[name], maxSources)))
	}
	return first
}

func namesOf(members []*peer.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Host)
	}
	return names
}
