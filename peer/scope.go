package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/internal/defaults"
	"github.com/papayasail/papayasail/internal/selection"
)

// Defaults of Scope.
const (
	DefaultScopePeers   = 12
	DefaultScopeBridges = 3
	ringSuccessors      = 2
)

// Scope limits the hosts that this host probes, so that its number of messages
// and connections does not grow with the fleet. If the fleet has at most
// Peers+Bridges other hosts, this host probes all of them.
type Scope struct {
	Near    []string // failure domains with low delay; empty: all are near
	Peers   int      // hosts probed in near failure domains
	Bridges int      // hosts probed in the other domains, plus one for each near host short of Peers
}

func (s Scope) withDefaults() Scope {
	defaults.Set(&s.Peers, DefaultScopePeers)
	defaults.Set(&s.Bridges, DefaultScopeBridges)
	return s
}

// neighbours returns the hosts that self probes. The choice is stable: a change
// of one member changes few neighbours, so that connections are reused.
//
// With rendezvous hashing alone a host may be the neighbour of no other host,
// and its death would go undetected. Each host therefore also probes its
// successors on a ring of all near hosts and its successor on a ring of all
// hosts. Every host thus has a prober, even alone in its failure domain.
func (s Scope) neighbours(self Member, others []Member) []Member {
	if len(others) <= s.Peers+s.Bridges {
		return others
	}
	near, far := s.split(self, others)
	bridges := s.Bridges + max(0, s.Peers-len(near))
	chosen := closest(self, near, s.Peers-ringSuccessors)
	chosen = withMissing(chosen, successors(self, near, ringSuccessors))
	chosen = append(chosen, closest(self, far, bridges-1)...)
	return withMissing(chosen, successors(self, others, 1))
}

// withMissing appends the members of more that are not in chosen.
func withMissing(chosen, more []Member) []Member {
	for _, m := range more {
		if !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

func (s Scope) split(self Member, others []Member) (near, far []Member) {
	for _, m := range others {
		if len(s.Near) == 0 || m.FailureDomain == self.FailureDomain || slices.Contains(s.Near, m.FailureDomain) {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// closest returns the n members with the highest rendezvous score. The score
// is symmetric, so that most pairs probe each other and gossip both ways.
func closest(self Member, members []Member, n int) []Member {
	return selection.Lowest(members, n, func(m *Member) uint64 { return ^pairScore(self.Host, m.Host) }, cmp.Compare)
}

// successors returns the n members that follow self on the ring of hashed
// names.
func successors(self Member, members []Member, n int) []Member {
	start := hashStrings(self.Host)
	return selection.Lowest(members, n, func(m *Member) uint64 { return hashStrings(m.Host) - start }, cmp.Compare)
}

func pairScore(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return hashStrings(a, b)
}

// hashStrings hashes strings with a separator, so that ("ab", "c") and
// ("a", "bc") differ.
func hashStrings(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
