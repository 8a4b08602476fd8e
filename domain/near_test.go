package domain

import (
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/peer"
)

func TestSpreadNamesLiveHostsOfTheCallersDomain(t *testing.T) {
	is := is.New(t)
	members := append(fleet(2, 3), member("d0-stopping", "d0", peer.StateLeaving), member("d0-dead", "d0", peer.StateSuspect))
	chosen := Spread(members, "d0")
	is.Equal(len(chosen), 3)
	for _, m := range chosen {
		is.Equal(m.FailureDomain, "d0")
		is.Equal(m.State, peer.StateAlive)
	}
}

func TestSpreadNamesMoreThanOneHost(t *testing.T) {
	// One host of the caller's domain is left. Callers choose at random among
	// the answer; its death would leave them without any.
	is := is.New(t)
	members := append(fleet(1, 3), member("d1-h0", "d1", peer.StateAlive))
	is.Equal(len(Spread(members, "d1")), 4)
	is.Equal(len(Spread([]peer.Member{member("a", "d", peer.StateSuspect)}, "d")), 1) // better than none
}

func TestSpreadNamesLeavingHostsWhenAllLeave(t *testing.T) {
	// All hosts are stopped in turn and still finish what they have. An answer
	// without an address would leave callers with nobody to ask for seconds.
	is := is.New(t)
	leaving := []peer.Member{member("a", "d", peer.StateLeaving), member("b", "e", peer.StateLeaving)}
	is.Equal(len(Spread(leaving, "d")), 2)
	is.Equal(len(Spread(append(leaving, member("c", "e", peer.StateAlive)), "d")), 1)
}
