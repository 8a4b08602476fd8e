package allocation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/peer"
)

// hostsPerPart is how many entry hosts share an allocator before a service is
// cut into parts. At the target's 31 generations a second and host, one
// allocator of 390 hosts would have 12,000 calls a second; a call for a place
// costs some 60 us.
const hostsPerPart = 128

// Part is the share of a service's servers that one allocator decides for. All
// hosts cut a service alike, by the number of hosts that they know. Where two
// of them differ for a moment, two allocators place on the same servers, each
// by what it is told: prompts may queue up, nothing runs twice.
type Part struct {
	Service string
	Index   int
	Count   int // of the service's parts; zero and one: all servers
}

// Whole is a service that is not cut.
func Whole(service string) Part { return Part{Service: service} }

// Holds reports whether a server belongs to the part.
func (p Part) Holds(server string) bool { return p.Index == partOf(server, p.Count) }

// partOf returns the part to which a server or an entry host belongs.
func partOf(id string, count int) int {
	if count <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(count))
}

// partsOf returns how many parts a service is cut into.
func partsOf(members []peer.Member) int {
	return max(1, (len(members)+hostsPerPart-1)/hostsPerPart)
}

// Chosen returns the allocator of a part among the members, or "": one of the
// hosts that watch the store, so that it hears first which servers leave.
func Chosen(members []peer.Member, part Part) string {
	watchers := domain.Watchers(members, domain.DefaultWatchers)
	if len(watchers) == 0 {
		return ""
	}
	return slices.MaxFunc(watchers, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(a, part), score(b, part)), cmp.Compare(a, b))
	})
}

func score(host string, part Part) uint64 {
	return xxhash.Sum64String(host + "\x00" + part.Service + string(rune('0'+part.Index)))
}
