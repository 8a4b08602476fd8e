package domain

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/peer"
)

const (
	// MaxAddresses is the maximum number of addresses in one answer; a caller
	// needs a few for failover.
	MaxAddresses = 8
	// otherDomains is the minimum number of addresses outside the caller's
	// domain, if there are any alive, so that the caller survives the loss of
	// its domain.
	otherDomains = 2
	// HealthyTTL is how long a caller may cache an answer while no host is
	// suspect or leaving.
	HealthyTTL = 30 * time.Second
	// UnsettledTTL is the same while some host is suspect or leaving.
	UnsettledTTL = 10 * time.Second
	// IsolatedTTL is the same while some host is suspect or leaving and no host
	// but the answering one is alive.
	IsolatedTTL = 5 * time.Second
)

// Address is an entry host that a caller may use.
type Address struct {
	Host          string
	URL           string
	FailureDomain string
	Incarnation   uint64 // incarnation of the host for the homes in idempotency keys
}

// Addresses returns the entry hosts for one caller, best first: those of the
// nearest domain, in an order that seed varies between callers, then those of
// other domains by distance. Leaving and gone hosts are omitted; suspects come
// last. At most MaxAddresses are returned; live hosts of other domains replace the
// last ones if needed, see otherDomains.
//
// Failure: the answering host is partitioned and suspects all others, or a
// whole domain is suspected wrongly, so that the answer would contain no live
// host. Suspects are therefore kept at the end of the list: when all hosts are
// suspect the answer still contains them.
func Addresses(members []peer.Member, distances *Distances, callerDomain string, seed uint64) []Address {
	usable := candidatesOf(members, distances, callerDomain, seed)
	slices.SortFunc(usable, compareCandidates)
	chosen := withOtherDomains(usable)
	addresses := make([]Address, 0, len(chosen))
	for _, c := range chosen {
		m := members[c.index]
		addresses = append(addresses, Address{Host: m.Host, URL: m.CallerAddress, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation})
	}
	return addresses
}

// candidate is a usable member with its sort keys. Candidates are sorted instead of
// members, because members are large.
type candidate struct {
	index    int
	state    peer.State
	distance time.Duration
	score    uint64
	outside  bool // not in the caller's domain
}

// candidatesOf returns the alive and suspect members that have a caller address,
// unsorted.
func candidatesOf(members []peer.Member, distances *Distances, callerDomain string, seed uint64) []candidate {
	candidates := make([]candidate, 0, len(members))
	between := make(map[string]time.Duration)
	for i := range members {
		m := &members[i]
		if m.CallerAddress == "" || m.State != peer.StateAlive && m.State != peer.StateSuspect {
			continue
		}
		distance, known := between[m.FailureDomain]
		if !known {
			distance = distances.Between(callerDomain, m.FailureDomain)
			between[m.FailureDomain] = distance
		}
		candidates = append(candidates, candidate{i, m.State, distance, score(m.Host, seed), m.FailureDomain != callerDomain})
	}
	return candidates
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.state, b.state), cmp.Compare(a.distance, b.distance), cmp.Compare(a.score, b.score), cmp.Compare(a.index, b.index))
}

// withOtherDomains truncates the list to MaxAddresses. If it contains too few
// hosts outside the caller's domain, live ones replace its last entries.
func withOtherDomains(sorted []candidate) []candidate {
	if len(sorted) <= MaxAddresses {
		return sorted
	}
	chosen := slices.Clone(sorted[:MaxAddresses])
	others := 0
	for _, c := range chosen {
		if c.outside {
			others++
		}
	}
	for _, c := range sorted[MaxAddresses:] {
		if others >= otherDomains {
			break
		}
		if c.outside && c.state == peer.StateAlive {
			chosen = append(chosen, c)
			others++
		}
	}
	if extra := len(chosen) - MaxAddresses; extra > 0 {
		chosen = slices.Delete(chosen, MaxAddresses-extra, MaxAddresses)
	}
	return chosen
}

// AnswerTTL returns how long a caller may cache an answer that the host self made
// from members.
func AnswerTTL(members []peer.Member, self string) time.Duration {
	reachable, unsettled := false, false
	for _, m := range members {
		switch m.State {
		case peer.StateAlive:
			reachable = reachable || m.Host != self
		case peer.StateSuspect, peer.StateLeaving:
			unsettled = true
		}
	}
	switch {
	case !reachable && unsettled:
		return IsolatedTTL
	case unsettled:
		return UnsettledTTL
	}
	return HealthyTTL
}

// score returns a host's rendezvous score for a seed.
func score(host string, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(host)
	return d.Sum64()
}
