package domain

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/peer"
)

func modify(members []peer.Member, host string, change func(*peer.Member)) {
	for i := range members {
		if members[i].Host == host {
			change(&members[i])
		}
	}
}

func setStoreUnreachable(m *peer.Member) { m.StoreUnreachable = true }

func TestRejectedWatcherIsReplaced(t *testing.T) {
	// Guards against a domain without changes for nine seconds, because the
	// store rejects a third of the hosts including the watcher of the domain.
	is := is.New(t)
	members := fleet(5, 20)
	before := Watchers(members)
	is.Equal(len(before), 5)
	modify(members, before[0], setStoreUnreachable)
	after := Watchers(members)
	is.Equal(len(after), 5)
	is.True(!slices.Contains(after, before[0]))
	for _, host := range before[1:] {
		is.True(slices.Contains(after, host))
	}
}

// Guards against a fleet without changes because the store rejects all hosts that watch it,
// and against all hosts asking a store that is down.
func TestAllRejectedWatchersAreReplacedByFew(t *testing.T) {
	is := is.New(t)
	members := fleet(5, 20)
	first := Watchers(members)
	tried := map[string]bool{}
	for round := range 2 * maxRejectedWatchers {
		watchers := Watchers(members)
		is.Equal(len(watchers), 5)
		if round < maxRejectedWatchers {
			for _, host := range watchers {
				is.True(!tried[host]) // nothing is known of it yet
			}
		} else {
			is.Equal(watchers, first)
		}
		for _, host := range watchers {
			tried[host] = true
			modify(members, host, setStoreUnreachable)
		}
	}
	is.Equal(len(tried), 5*maxRejectedWatchers)
}

func TestFewDomainsHaveThreeWatchers(t *testing.T) {
	// Guards against the loss of all watchers of a fleet of one or two domains
	// when two hosts die at once.
	is := is.New(t)
	is.Equal(len(Watchers(fleet(1, 7))), MinWatchers)
	is.Equal(len(Watchers(fleet(2, 5))), MinWatchers)
	is.Equal(len(Watchers(fleet(1, 2))), 2)
}

func TestStrongHostsGetDuties(t *testing.T) {
	// Guards against duties for 60 hosts assigned to hosts with a fifth of a
	// core while three others have nearly a whole one.
	is := is.New(t)
	members := fleet(2, 20)
	for i := range members {
		members[i].Capacity = 192
	}
	for _, host := range []string{"d0-h3", "d0-h4", "d1-h5"} {
		modify(members, host, func(m *peer.Member) { m.Capacity = 800 })
	}
	is.Equal(Watchers(members), []string{"d0-h3", "d0-h4", "d1-h5"})
	modify(members, "d1-h5", func(m *peer.Member) { m.State = peer.StateSuspect })
	is.True(!slices.Contains(Watchers(members), "d1-h5"))
}
