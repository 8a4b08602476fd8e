package domain

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/peer"
)

func memberNamed(members []peer.Member, host string) peer.Member {
	return members[slices.IndexFunc(members, func(m peer.Member) bool { return m.Host == host })]
}

// Guards against sources that share a failure domain, and against a fleet whose hosts all read the
// store or all ask one host.
func TestSourcesOfViews(t *testing.T) {
	for _, size := range []struct{ domains, hosts, relays, readers int }{
		{1, 1, 0, 1}, {3, 2, 0, 6}, {3, 10, 0, 12}, {3, 100, 10, 12}, {5, 200, 15, 12},
	} {
		is := is.New(t)
		members := fleet(size.domains, size.hosts)
		readers, askedFirst, roles := map[string]bool{}, map[string]int{}, map[SourceRole]int{}
		for _, m := range members {
			s := ViewSources(members, m)
			is.Equal(len(s.Readers), size.readers)
			if s.Role != FirstOfDomain {
				is.Equal(memberNamed(members, s.Readers[0]).FailureDomain, m.FailureDomain)
			}
			roles[s.Role]++
			domains := map[string]bool{}
			for _, host := range s.Readers {
				readers[host] = true
				domains[memberNamed(members, host).FailureDomain] = true
			}
			is.Equal(len(domains), size.domains)
			if size.relays == 0 {
				is.Equal(len(s.Relays), 0)
				is.True(s.Role != Relay)
				continue
			}
			is.True(len(s.Relays) >= size.relays-1) // a relay is not one of its own
			is.True(!slices.Contains(s.Relays, m.Host))
			askedFirst[s.Relays[0]]++
		}
		is.Equal(roles[FirstOfFleet], 1)
		is.Equal(roles[FirstOfDomain], size.domains-1)
		is.Equal(roles[Relay], size.domains*max(0, size.relays-1))
		is.True(len(readers) <= max(size.readers, size.domains*maxSources/2))
		for _, count := range askedFirst {
			is.True(count <= 4*size.hosts/size.relays)
		}
	}
}
