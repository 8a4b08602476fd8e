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
	// hosts of the own domain by FirstForDuties, and of the other domains in turn.
	Readers []string
	// First is set if this host is the first of its domain.
	First bool
	// Relay is set if this host is one of the relays.
	Relay bool
}

// ViewSources returns the sources of the host self. Its cost is one hash for each member.
func ViewSources(members []peer.Member, self peer.Member) Sources {
	domains := byDomain(members)
	own := domains[self.FailureDomain]
	relays := 0
	if len(own) > hostsWithoutRelays {
		relays = int(math.Ceil(math.Sqrt(float64(len(own)))))
	}
	first := namesOf(FirstForDuties(own, max(relays, maxSources)))
	s := Sources{
		First: len(first) > 0 && first[0] == self.Host, Relay: slices.Contains(first[:relays], self.Host),
		Readers: readers(first, othersFirst(domains, self)),
	}
	if relays > 0 {
		start := int(xxhash.Sum64String(self.Host) % uint64(relays))
		s.Relays = slices.DeleteFunc(slices.Concat(first[start:relays], first[:start]), func(host string) bool { return host == self.Host })
	}
	return s
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
