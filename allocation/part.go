package allocation

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/peer"
)

const (
	// hostsPerPart is how many entry hosts share an allocator before a service
	// is divided into parts. At the target load of 31 generations per second
	// and host, a single allocator of 390 hosts would get 12,000 calls per
	// second. A placement call takes about 60 us of CPU time, so these calls
	// would take about 0.7 of a core.
	hostsPerPart = 128
	// maxAllocators is how many hosts are tried as allocator of a part before
	// a host decides by itself.
	maxAllocators = 3
)

// Part is the share of a service's servers that one allocator decides for: all
// servers in a small fleet, those of one failure domain or a fraction of them
// in a large one. All hosts derive the same parts from the same membership.
// While their memberships differ, two allocators may place on the same servers,
// each with partial information: prompts may queue, but nothing runs twice.
type Part struct {
	Service string
	Domain  string // failure domain; "": all
	Index   int
	Count   int // number of parts that the domain's servers are divided into; zero or one: not divided
}

// WholeService returns the only part of a service that is not divided.
func WholeService(service string) Part { return Part{Service: service} }

// share returns the servers of the service that belong to the part.
func (p Part) share() fleet.Share {
	return fleet.Share{Domain: p.Domain, Index: p.Index, Count: p.Count}
}

// Contains reports whether a server belongs to the part.
func (p Part) Contains(server fleet.Server) bool { return p.share().Contains(server) }

// partitioning is the division of a service into parts.
type partitioning struct {
	service string
	domains []string       // of its servers, in order; empty: not divided
	counts  map[string]int // number of parts for each domain's servers
}

// partition divides a service with servers in the given failure domains.
func partition(service string, domains []string, members []peer.Member) partitioning {
	c := partitioning{service: service}
	if len(members) <= hostsPerPart || len(domains) == 0 {
		return c
	}
	hosts := map[string]int{}
	for _, m := range members {
		hosts[m.FailureDomain]++
	}
	c.domains, c.counts = domains, map[string]int{}
	for _, d := range domains {
		c.counts[d] = max(1, (hosts[d]+hostsPerPart-1)/hostsPerPart)
	}
	return c
}

// parts returns all parts, in order.
func (c partitioning) parts() []Part {
	if len(c.domains) == 0 {
		return []Part{WholeService(c.service)}
	}
	var parts []Part
	for _, d := range c.domains {
		for index := range c.counts[d] {
			parts = append(parts, Part{Service: c.service, Domain: d, Index: index, Count: c.counts[d]})
		}
	}
	return parts
}

// partOf returns the part of a server, or the part that an entry host asks for
// a place. A host in a domain without servers of the service is assigned to
// another domain, always the same one.
func (c partitioning) partOf(domain, id string) Part {
	if len(c.domains) == 0 {
		return WholeService(c.service)
	}
	if c.counts[domain] == 0 {
		domain = c.domains[fleet.ShareIndex(id, len(c.domains))]
	}
	return Part{Service: c.service, Domain: domain, Index: fleet.ShareIndex(id, c.counts[domain]), Count: c.counts[domain]}
}

// PreferredAllocator returns the preferred allocator of a part among the members, or "" if there is none.
func PreferredAllocator(members []peer.Member, part Part) string {
	if hosts := newView(0, members, domain.Watchers(members)).allocators(part); len(hosts) > 0 {
		return hosts[0]
	}
	return ""
}

func score(host string, part Part) uint64 {
	return xxhash.Sum64String(host + "\x00" + part.Service + strconv.Itoa(part.Index))
}
