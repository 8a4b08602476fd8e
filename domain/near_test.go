package domain

import (
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/peer"
)

func TestSpreadReturnsLiveHostsOfTheCallersDomain(t *testing.T) {
	is := is.New(t)
	members := append(fleet(2, 3), member("d0-stopping", "d0", peer.StateLeaving), member("d0-dead", "d0", peer.StateSuspect))
	chosen := UnorderedHosts(members, "d0")
	is.Equal(len(chosen), 3)
	for _, m := range chosen {
		is.Equal(m.FailureDomain, "d0")
		is.Equal(m.State, peer.StateAlive)
	}
}

func TestSpreadReturnsMoreThanOneHost(t *testing.T) {
	// Guards against an answer with the only host that is left in the caller's
	// domain, whose death would leave callers without an address.
	is := is.New(t)
	members := append(fleet(1, 3), member("d1-h0", "d1", peer.StateAlive))
	is.Equal(len(UnorderedHosts(members, "d1")), 4)
	is.Equal(len(UnorderedHosts([]peer.Member{member("a", "d", peer.StateSuspect)}, "d")), 1) // better than none
}

func TestSpreadReturnsLeavingHostsWhenAllLeave(t *testing.T) {
	// Guards against an answer without addresses for some seconds while all
	// hosts are stopped in turn and still complete their requests.
	is := is.New(t)
	leaving := []peer.Member{member("a", "d", peer.StateLeaving), member("b", "e", peer.StateLeaving)}
	is.Equal(len(UnorderedHosts(leaving, "d")), 2)
	is.Equal(len(UnorderedHosts(append(leaving, member("c", "e", peer.StateAlive)), "d")), 1)
}
