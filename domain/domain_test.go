package domain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/peer"
)

func member(host, domain string, state peer.State) peer.Member {
	return peer.Member{Host: host, Incarnation: 7, State: state, FailureDomain: domain, CallerAddress: "http://" + host}
}

func fleet(domains, hosts int) []peer.Member {
	var members []peer.Member
	for d := range domains {
		for h := range hosts {
			members = append(members, member(fmt.Sprintf("d%d-h%d", d, h), fmt.Sprintf("d%d", d), peer.StateAlive))
		}
	}
	return members
}

func TestDistances(t *testing.T) {
	is := is.New(t)
	d := NewDistances(map[Pair]time.Duration{{"konya", "ankara"}: 1500 * time.Microsecond})
	is.Equal(d.Between("ankara", "konya"), 1500*time.Microsecond)
	is.Equal(d.Between("ankara", "ankara"), time.Duration(0))
	is.Equal(d.Between("ankara", "kirikkale"), DefaultDistance)
	d.Learn("kirikkale", "ankara", 2*time.Millisecond)
	is.Equal(d.Between("ankara", "kirikkale"), time.Millisecond)
	d.Learn("ankara", "kirikkale", 18*time.Millisecond)
	is.Equal(d.Between("ankara", "kirikkale"), 2*time.Millisecond)
	d.Learn("ankara", "konya", time.Second)
	is.Equal(d.Between("ankara", "konya"), 1500*time.Microsecond)
	is.Equal(d.Near("ankara", []string{"konya", "ankara", "izmir"}, 5*time.Millisecond), []string{"ankara", "konya"})
}

func TestAddressesPreferNearAndSpread(t *testing.T) {
	is := is.New(t)
	members := fleet(3, 20)
	distances := NewDistances(nil)
	first := make(map[string]int)
	for seed := range uint64(1000) {
		answer := Addresses(members, distances, "d1", seed)
		is.Equal(len(answer), MaxAddresses)
		is.Equal(answer[0].FailureDomain, "d1")
		is.True(answer[MaxAddresses-1].FailureDomain != "d1") // survives the loss of its domain
		first[answer[0].Host]++
	}
	is.Equal(len(first), 20)
	for _, count := range first {
		is.True(count > 20 && count < 90) // 50 expected
	}
	is.Equal(Addresses(members, distances, "d1", 1)[0].Incarnation, uint64(7))
}

// Guards against callers refused by a leaving host or waiting for a dead one,
// because the answer lists them before live hosts.
func TestAddressesAvoidLeavingGoneAndSuspect(t *testing.T) {
	is := is.New(t)
	members := []peer.Member{
		member("a1", "a", peer.StateSuspect), member("a2", "a", peer.StateLeaving),
		member("a3", "a", peer.StateGone), member("b1", "b", peer.StateAlive),
	}
	answer := Addresses(members, NewDistances(nil), "a", 1)
	is.Equal(len(answer), 2)
	is.Equal(answer[0].Host, "b1")
	is.Equal(answer[1].Host, "a1")
	is.Equal(AnswerTTL(members, "b1"), IsolatedTTL)
	is.Equal(AnswerTTL(members, "a1"), UnsettledTTL)
}

// Guards against an answer without addresses from a host that is partitioned
// from all others, while the caller can reach them.
func TestAddressesWhenAllAreSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(3, 3)
		for i := range members {
			members[i].State = rapid.SampledFrom([]peer.State{peer.StateSuspect, peer.StateGone, peer.StateLeaving}).Draw(t, "state")
		}
		answer := Addresses(members, NewDistances(nil), "d0", rapid.Uint64().Draw(t, "seed"))
		suspects := 0
		for _, m := range members {
			if m.State == peer.StateSuspect {
				suspects++
			}
		}
		if len(answer) != min(suspects, MaxAddresses) {
			t.Fatalf("%d addresses for %d suspects", len(answer), suspects)
		}
	})
}

// BenchmarkAddresses measures one answer in a fleet of the target size.
func BenchmarkAddresses(b *testing.B) {
	members := fleet(10, 39)
	distances := NewDistances(nil)
	for i := range b.N {
		Addresses(members, distances, "d1", uint64(i))
	}
}

func TestWatchers(t *testing.T) {
	is := is.New(t)
	members := fleet(10, 39)
	before := Watchers(members)
	is.Equal(len(before), 10) // one of each domain
	for i := range members {
		if members[i].Host == before[0] {
			members[i].State = peer.StateGone
		}
	}
	after := Watchers(members)
	is.Equal(len(after), 10)
	kept := 0
	for _, host := range after {
		if slices.Contains(before, host) {
			kept++
		}
	}
	is.Equal(kept, 9)
	is.True(!IsWatcher(members, before[0]))
	is.True(IsWatcher(members, before[1]))
}

// Guards against a domain without a watcher, which receives changes late,
// because a partitioned host suspects all others and does not choose itself.
func TestWatchersOfPartitionedHost(t *testing.T) {
	is := is.New(t)
	members := fleet(2, 5)
	for i := range members[1:] {
		members[i+1].State = peer.StateSuspect
	}
	is.True(IsWatcher(members, members[0].Host))
	is.Equal(len(Watchers(members)), MinWatchers)
}
