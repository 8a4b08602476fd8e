package domain

import (
	"cmp"
	"slices"

	"github.com/papayasail/papayasail/peer"
)

const (
	// watchersPerDomain is how many hosts of each failure domain watch the
	// platform's store: a domain that is cut off from the others goes on
	// hearing of changes. A second one in each made twice the calls, and a
	// watcher that the store turns away is replaced.
	watchersPerDomain = 1
	// LeastWatchers is how many watch in a fleet of few domains, so that two
	// hosts may die at once.
	LeastWatchers = 3
	// strongShare is the share of the strongest host's processor from which a
	// host of the domain counts as strong.
	strongShare = 0.5

	// watcherSeed keeps watchers and addresses from choosing the same hosts.
	watcherSeed = 0x77617463
)

// Watchers chooses the hosts that watch the platform for the fleet: the best
// live one of each failure domain, and the next best ones until there are
// LeastWatchers. Two hosts with different views may choose differently; then a
// few more or fewer watch, and the digests in probes carry changes to the rest.
//
// Failure: the store turns some hosts away and serves the others, and all
// watchers of a domain may be among the former. One that says so is replaced
// while another watcher is served; if none is the store is away, and they go
// on trying.
func Watchers(members []peer.Member) []string {
	standing := watchersAmong(members, func(peer.Member) bool { return true })
	if slices.ContainsFunc(standing, served) && slices.ContainsFunc(standing, turnedAway) {
		standing = watchersAmong(members, served)
	}
	watchers := make([]string, 0, len(standing))
	for _, m := range standing {
		watchers = append(watchers, m.Host)
	}
	slices.Sort(watchers)
	return watchers
}

// Watches reports whether host is to watch the platform. A host that is
// suspected by nobody but cut off from all others finds itself among the
// choice of its domain, since it sees no other live host.
func Watches(members []peer.Member, host string) bool {
	_, found := slices.BinarySearch(Watchers(members), host)
	return found
}

func served(m peer.Member) bool { return !m.StoreUnreachable }

func turnedAway(m peer.Member) bool { return m.StoreUnreachable }

// watchersAmong chooses among the members that are eligible.
func watchersAmong(members []peer.Member, eligible func(peer.Member) bool) []peer.Member {
	var watchers, next []peer.Member
	for _, hosts := range byDomain(members) {
		hosts = slices.DeleteFunc(hosts, func(m peer.Member) bool { return !eligible(m) })
		RankForDuties(hosts)
		split := min(watchersPerDomain, len(hosts))
		watchers = append(watchers, hosts[:split]...)
		next = append(next, hosts[split:]...)
	}
	if lacking := LeastWatchers - len(watchers); lacking > 0 {
		RankForDuties(next)
		watchers = append(watchers, next[:min(lacking, len(next))]...)
	}
	return watchers
}

// byDomain returns the hosts that are not known to be leaving or gone.
//
// Failure: a domain has no live host in this view, for instance because this
// host is cut off; suspects of such a domain are chosen, so that somebody
// there watches whatever is true.
func byDomain(members []peer.Member) map[string][]peer.Member {
	domains := make(map[string][]peer.Member)
	for _, m := range members {
		if m.State == peer.StateAlive || m.State == peer.StateSuspect {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
		}
	}
	return domains
}

// RankForDuties orders hosts by who takes duties for others first: live ones
// before suspects, strong ones before weak ones, then by rendezvous score. A
// change of one host moves the others' duties only if it was first.
//
// The load it answers: hosts differ by a factor of four in processor. One of
// the weakest that places the generations of 60 others has none left for its
// own callers.
func RankForDuties(hosts []peer.Member) {
	strongest := 0
	for _, m := range hosts {
		strongest = max(strongest, m.Capacity)
	}
	order := make([]dutyRank, len(hosts))
	for i, m := range hosts {
		order[i] = dutyRank{m, float64(m.Capacity) < strongShare*float64(strongest), score(m.Host, watcherSeed)}
	}
	slices.SortFunc(order, dutyRank.compare)
	for i, r := range order {
		hosts[i] = r.Member
	}
}

// dutyRank is a host with what orders it.
type dutyRank struct {
	peer.Member
	weak  bool
	score uint64
}

func (r dutyRank) compare(other dutyRank) int {
	if order := cmp.Compare(r.State, other.State); order != 0 {
		return order
	}
	if r.weak != other.weak {
		if r.weak {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.score, r.score), cmp.Compare(r.Host, other.Host))
}
