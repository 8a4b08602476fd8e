package domain

import (
	"cmp"
	"slices"

	"github.com/papayasail/papayasail/internal/selection"
	"github.com/papayasail/papayasail/peer"
)

const (
	// watchersPerDomain is the number of hosts of each failure domain that
	// watch the platform's store, so that a partitioned domain still receives
	// changes. A second watcher would double the calls, and is not needed
	// because a watcher that the store rejects is replaced.
	watchersPerDomain = 1
	// MinWatchers is the minimum number of watchers in a fleet of few
	// domains, so that two hosts may die at once.
	MinWatchers = 3
	// maxRejectedWatchers is the number of hosts of a domain that say that the store does
	// not answer them from which it counts as unavailable to all of the domain: no further
	// ones try.
	maxRejectedWatchers = 8
	// strongShare is a fraction of the highest capacity among the ranked hosts:
	// a host with at least that capacity counts as strong.
	strongShare = 0.5

	// watcherSeed makes the scores independent of those in Addresses, so that
	// the two do not prefer the same hosts.
	watcherSeed = 0x77617463
)

// Watchers returns the hosts that watch the platform for the fleet, ordered by
// name: the first of each failure domain by FirstForDuties, and the next ones
// until there are MinWatchers. Hosts with different views may choose
// differently; then a few more or fewer hosts watch, and a digest mismatch in
// probes still brings changes to all others.
//
// Failure: the store rejects some hosts, possibly all watchers, and serves the others. A
// watcher that reports this is replaced by the next host of its domain, of which nothing
// is known yet. Only when maxRejectedWatchers of a domain have tried, or all of its hosts,
// the first ones watch again and retry, so that an outage of the store does not make all
// hosts ask it.
func Watchers(members []peer.Member) []string {
	chosen := chooseWatchers(members)
	watchers := make([]string, 0, len(chosen))
	for _, m := range chosen {
		watchers = append(watchers, m.Host)
	}
	slices.Sort(watchers)
	return watchers
}

// IsWatcher reports whether host is a watcher. A host that is partitioned from
// all others chooses itself for its domain, since it lists no other live host.
func IsWatcher(members []peer.Member, host string) bool {
	_, found := slices.BinarySearch(Watchers(members), host)
	return found
}

func storeUnreachable(m *peer.Member) bool { return m.StoreUnreachable }

func chooseWatchers(members []peer.Member) []*peer.Member {
	var watchers, next []*peer.Member
	for _, hosts := range byDomain(members) {
		first := FirstForDuties(untried(hosts), watchersPerDomain+MinWatchers)
		split := min(watchersPerDomain, len(first))
		watchers = append(watchers, first[:split]...)
		next = append(next, first[split:]...)
	}
	if lacking := MinWatchers - len(watchers); lacking > 0 {
		watchers = append(watchers, FirstForDuties(next, lacking)...)
	}
	return watchers
}

// untried returns the hosts of a domain without those that the store rejects; all of them
// if there are no others, or too many that it rejects.
func untried(hosts []*peer.Member) []*peer.Member {
	others := slices.DeleteFunc(slices.Clone(hosts), storeUnreachable)
	if len(others) == 0 || len(hosts)-len(others) >= maxRejectedWatchers {
		return hosts
	}
	return others
}

// byDomain groups the alive and suspect hosts by failure domain.
//
// Failure: a domain has no live host in this view, for instance because this
// host is partitioned. Suspects are eligible too, so that such a domain still
// has a watcher if its hosts are in fact alive.
func byDomain(members []peer.Member) map[string][]*peer.Member {
	domains := make(map[string][]*peer.Member)
	for i := range members {
		m := &members[i]
		if m.State == peer.StateAlive || m.State == peer.StateSuspect {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
		}
	}
	return domains
}

// FirstForDuties returns the first n hosts by preference for fleet-wide duties:
// live ones before suspects, strong ones before weak ones, then by rendezvous
// score. A change of one host reassigns a duty only if that host is or becomes the
// first, or if it changes the highest capacity and so which hosts count as strong.
// Its cost is one hash for each host.
//
// The CPU capacity of hosts differs by a factor of four. A weak host that
// places the generations of 60 others has no capacity left for its own callers.
func FirstForDuties(hosts []*peer.Member, n int) []*peer.Member {
	limit := strongLimit(hosts)
	return selection.Lowest(hosts, n, func(host **peer.Member) dutyRank {
		m := *host
		return dutyRank{m.State, float64(m.Capacity) < limit, score(m.Host, watcherSeed), m.Host}
	}, dutyRank.compare)
}

// strongLimit returns the least capacity of a strong host among the given ones.
func strongLimit(hosts []*peer.Member) float64 {
	highest := 0
	for _, m := range hosts {
		highest = max(highest, m.Capacity)
	}
	return strongShare * float64(highest)
}

// dutyRank orders hosts by preference for duties.
type dutyRank struct {
	state peer.State
	weak  bool
	score uint64
	host  string
}

func (r dutyRank) compare(other dutyRank) int {
	if order := cmp.Compare(r.state, other.state); order != 0 {
		return order
	}
	if r.weak != other.weak {
		if r.weak {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.score, r.score), cmp.Compare(r.host, other.host))
}
