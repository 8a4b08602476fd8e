package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/internal/defaults"
)

// Defaults of Scope.
const (
	DefaultScopePeers   = 12
	DefaultScopeBridges = 3
	ringSuccessors      = 2
)

// Scope bounds which hosts this host probes and talks to by itself, so that
// its messages and connections stay flat while the fleet grows. Below
// Peers+Bridges hosts it probes all.
type Scope struct {
	Near    []string // failure domains that cost little to reach; empty: all are near
	Peers   int      // hosts probed in near failure domains
	Bridges int      // hosts probed in the others, and as many more as near ones are lacking
}

func (s Scope) withDefaults() Scope {
	defaults.Set(&s.Peers, DefaultScopePeers)
	defaults.Set(&s.Bridges, DefaultScopeBridges)
	return s
}

// neighbours chooses the hosts that self probes. The choice is stable: a
// change of one member changes few choices, so connections last.
//
// Guard: with random choices alone some host may be chosen by nobody; its
// death would go unseen. Each host therefore also probes its successors on a
// ring of all near hosts, and the next one on a ring of all, so that every host
// has probers, one that is alone in its failure domain too.
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

// withMissing appends those of more that are not among the chosen.
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
// is symmetric, so most links are probed from both ends and share their news.
func closest(self Member, members []Member, n int) []Member {
	return lowest(members, n, func(m *Member) uint64 { return ^pairScore(self.Host, m.Host) })
}

// successors returns the n members that follow self on the ring of hashed names.
func successors(self Member, members []Member, n int) []Member {
	start := hashStrings(self.Host)
	return lowest(members, n, func(m *Member) uint64 { return hashStrings(m.Host) - start })
}

// lowest returns the n members with the lowest keys. Members are large and
// keys cost a hash, so only pairs of key and index are sorted.
func lowest(members []Member, n int, key func(*Member) uint64) []Member {
	type ranked struct {
		key   uint64
		index int
	}
	order := make([]ranked, len(members))
	for i := range members {
		order[i] = ranked{key(&members[i]), i}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	chosen := make([]Member, 0, max(0, n))
	for _, r := range order[:max(0, min(n, len(order)))] {
		chosen = append(chosen, members[r.index])
	}
	return chosen
}

func pairScore(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return hashStrings(a, b)
}

// hashStrings hashes strings so that their boundaries count.
func hashStrings(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
