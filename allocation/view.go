package allocation

import (
	"cmp"
	"slices"
	"sync"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/peer"
)

// view is derived from one membership list: how services are divided into parts
// and which hosts allocate them. It is recomputed when the membership changes.
//
// It is cached because each host reads it some hundred times per second, and
// ranking all hosts on each read takes more CPU time than the rest of the process.
type view struct {
	generation uint64
	members    []peer.Member
	watchers   []string

	mu       sync.Mutex          // guards the fields below
	ranked   map[Part][]string   // see allocators
	byDomain map[string][]string // see dutyHosts
}

func newView(generation uint64, members []peer.Member, watchers []string) *view {
	return &view{generation: generation, members: members, watchers: watchers, ranked: map[Part][]string{}, byDomain: map[string][]string{}}
}

// currentView returns the current view. No lock is held while calling Members:
// Members reads the version of the configuration, and applying a configuration
// calls this client.
func (c *Client) currentView() *view {
	generation := c.peers.Generation()
	if known := c.view.Load(); known != nil && known.generation == generation {
		return known
	}
	next := newView(generation, c.peers.Members(), c.peers.Watchers())
	c.view.Store(next)
	return next
}

// allocators returns the hosts that may allocate a part, in order of preference, at
// most maxAllocators. The caller must not modify the slice.
//
// The parts of a domain are allocated by its hosts. Those that watch the store
// come before the others, because they are the first to learn which servers
// leave; the list is then rotated by the index of the part, so that the parts of
// a domain have different allocators. Undivided services, and domains without
// live hosts, are allocated by hosts of any domain that watch the store.
func (v *view) allocators(part Part) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	hosts, known := v.ranked[part]
	if known {
		return hosts
	}
	if own := v.dutyHosts(part.Domain); len(own) > 0 {
		first := part.Index % len(own)
		hosts = slices.Concat(own[first:], own[:first])
	} else {
		hosts = slices.SortedFunc(slices.Values(v.watchers), func(a, b string) int {
			return cmp.Or(cmp.Compare(score(b, part), score(a, part)), cmp.Compare(b, a))
		})
	}
	hosts = hosts[:min(maxAllocators, len(hosts))]
	v.ranked[part] = hosts
	return hosts
}

// dutyHosts returns the hosts of a failure domain that may allocate its parts, those
// that watch the store first, or none if the domain is empty. It looks at all members
// once for each domain, whatever the number of parts. Requires mu.
func (v *view) dutyHosts(failureDomain string) []string {
	if failureDomain == "" {
		return nil
	}
	hosts, known := v.byDomain[failureDomain]
	if known {
		return hosts
	}
	var watching, others []*peer.Member
	for i := range v.members {
		m := &v.members[i]
		switch {
		case m.FailureDomain != failureDomain || m.State != peer.StateAlive && m.State != peer.StateSuspect:
		case slices.Contains(v.watchers, m.Host):
			watching = append(watching, m)
		default:
			others = append(others, m)
		}
	}
	count := len(watching) + len(others)
	needed := maxAllocators + count/hostsPerPart // so that each part can start at its index
	for _, m := range append(domain.FirstForDuties(watching, count), domain.FirstForDuties(others, needed)...) {
		hosts = append(hosts, m.Host)
	}
	v.byDomain[failureDomain] = hosts
	return hosts
}

// preferredAllocator returns the preferred allocator of a part, or "" if there is none.
func (c *Client) preferredAllocator(part Part) string {
	if hosts := c.currentView().allocators(part); len(hosts) > 0 {
		return hosts[0]
	}
	return ""
}

// mayAllocate reports whether this host is among the allocators of a part, so that
// other hosts may consider it to be the allocator.
func (c *Client) mayAllocate(part Part) bool {
	return slices.Contains(c.currentView().allocators(part), c.host)
}

// hostCount returns the number of known entry hosts.
func (c *Client) hostCount() int {
	return len(c.currentView().members)
}

// partitioning returns the current division of a service into parts.
func (c *Client) partitioning(service string) partitioning {
	return partition(service, c.fleet.Domains(service), c.currentView().members)
}
