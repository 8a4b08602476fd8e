package allocation

import (
	"slices"
	"sync"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/peer"
)

// view is what follows from the members at one moment: how services are cut and
// who decides. It is worked out anew when the members change.
//
// The load it answers: each host looks at it some hundred times a second, and
// ranking all hosts each time takes more processor time than all else.
type view struct {
	generation uint64
	members    []peer.Member
	watchers   []string

	mu     sync.Mutex // guards ranked
	ranked map[Part][]string
}

// look returns the view of now. No lock is held while the members are asked:
// they ask for the version of the configuration, and whoever puts one in force
// asks this client.
func (c *Client) look() *view {
	generation := c.peers.Generation()
	if known := c.view.Load(); known != nil && known.generation == generation {
		return known
	}
	members := c.peers.Members()
	next := &view{generation: generation, members: members, watchers: domain.Watchers(members), ranked: map[Part][]string{}}
	c.view.Store(next)
	return next
}

// allocators returns the hosts that may decide for a part, the first choice
// first; the caller must not change them.
func (v *view) allocators(part Part) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	hosts, known := v.ranked[part]
	if !known {
		hosts = ranked(v.members, v.watchers, part)
		v.ranked[part] = hosts
	}
	return hosts
}

// chosen returns the allocator of a part, or "".
func (c *Client) chosen(part Part) string {
	if hosts := c.look().allocators(part); len(hosts) > 0 {
		return hosts[0]
	}
	return ""
}

// decidesFor reports whether other hosts may take this one for the allocator
// of a part.
func (c *Client) decidesFor(part Part) bool {
	return slices.Contains(c.look().allocators(part), c.host)
}

// hosts returns how many hosts there are.
func (c *Client) hosts() int {
	return len(c.look().members)
}

// cut returns how a service is cut into parts now.
func (c *Client) cut(service string) cut {
	return cutOf(service, c.fleet.Domains(service), c.look().members)
}
