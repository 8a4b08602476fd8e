package peer

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/store"
)

// updatesPerMessage is the maximum number of gossiped member records in one
// message.
const updatesPerMessage = 6

const (
	// minRetransmits plus the binary logarithm of the number of members is how
	// many times a host gossips one record.
	minRetransmits = 4
	// duplicateDecrement is subtracted from the remaining retransmissions each
	// time the record arrives from another host, since others then have it
	// already.
	duplicateDecrement = 1
	// exchangeIntervals is the number of probe intervals within which a direct
	// exchange is recent. It covers two rounds of probes of all neighbours in
	// the default scope.
	exchangeIntervals = 30
)

// entry is one member with the local state of this host's failure detector.
type entry struct {
	Member
	stateSince time.Time // when this host recorded the current state
	// unconfirmed marks a suspicion that no other host shares. It is not
	// gossiped and does not expire.
	unconfirmed     bool
	stateBefore     State     // state before an unconfirmed suspicion
	lastExchange    time.Time // last direct exchange
	retransmitsLeft int       // remaining retransmissions of the record
}

// table is the membership table. Its methods are safe for concurrent use.
type table struct {
	mu sync.Mutex // guards all below; no other lock is taken while it is held

	exchangeWindow      time.Duration // see refutedByExchange; set before use
	self                Member
	entries             map[string]*entry // by host, without self
	selfRetransmitsLeft int
	superseded          uint64   // higher incarnation seen under this host's name; zero: none
	generation          uint64   // increases with every change of a member except its configuration version
	digest              uint64   // of the hosts that are not gone
	sorted              []Member // cached result of members without self; nil: recompute
}

func newTable(self Member) *table {
	t := &table{self: self, entries: make(map[string]*entry)}
	t.digest = contribution(self)
	return t
}

// set replaces a member's entry and schedules its record for gossip.
func (t *table) set(e *entry) {
	if old, ok := t.entries[e.Host]; ok {
		t.digest ^= contribution(old.Member)
		e.lastExchange = old.lastExchange
	}
	t.entries[e.Host] = e
	t.updateSorted(e.Member)
	t.digest ^= contribution(e.Member)
	t.generation++
	if !e.unconfirmed {
		e.retransmitsLeft = t.retransmits()
	}
}

// contribution is a member's part of the digest. It leaves out sequence and
// suspicion, which change often and converge without anti-entropy.
func contribution(m Member) uint64 {
	if m.State == StateGone {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.Host)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], m.Incarnation)
	_, _ = d.Write(b[:])
	if m.State == StateLeaving {
		_, _ = d.Write([]byte{1})
	}
	return d.Sum64()
}

func (t *table) retransmits() int {
	return minRetransmits + bits.Len(uint(len(t.entries)))
}

// recordExchange records a direct exchange with a member and its configuration
// version, and ends an unconfirmed suspicion. It reports whether the entry
// changed.
func (t *table) recordExchange(host string, incarnation uint64, version store.Version, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[host]
	if !ok || e.Incarnation != incarnation {
		return false
	}
	e.lastExchange = now
	if version > e.ConfigurationVersion {
		e.ConfigurationVersion = version
		t.updateSorted(e.Member)
		changed = true
	}
	if e.unconfirmed {
		e.unconfirmed, e.State, e.stateSince = false, e.stateBefore, now
		t.updateSorted(e.Member)
		t.generation++
		changed = true
	}
	return changed
}

// suspect marks a member that did not answer as suspect. Confirmed means that
// another host could not reach it either.
func (t *table) suspect(m Member, confirmed bool, now time.Time) (transition, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[m.Host]
	if !ok || e.Incarnation != m.Incarnation || e.Sequence != m.Sequence || e.State == StateGone {
		return transition{}, false
	}
	if e.State == StateSuspect && (!e.unconfirmed || !confirmed) {
		return transition{}, false
	}
	change := transition{e.Member, e.State}
	next := &entry{Member: e.Member, stateSince: now, unconfirmed: !confirmed, stateBefore: e.State}
	next.State = StateSuspect
	change.State = StateSuspect
	t.set(next)
	return change, true
}

// expire declares suspects gone after the suspicion timeout and deletes gone
// members after the retention period.
func (t *table) expire(now time.Time, suspicion, retention time.Duration) []transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	var transitions []transition
	for host, e := range t.entries {
		age := now.Sub(e.stateSince)
		switch {
		case e.State == StateSuspect && !e.unconfirmed && age >= suspicion:
			next := &entry{Member: e.Member, stateSince: now}
			next.State = StateGone
			t.set(next)
			transitions = append(transitions, transition{next.Member, StateSuspect})
		case e.State == StateGone && age >= retention:
			delete(t.entries, host)
			t.sorted = nil
			t.generation++
		}
	}
	return transitions
}

// reachable returns the members that are alive or leaving, in two parts: those
// with a direct exchange since the given time, and the others.
func (t *table) reachable(since time.Time) (recent, others []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		switch {
		case e.State > StateLeaving:
		case e.lastExchange.After(since):
			recent = append(recent, e.Member)
		default:
			others = append(others, e.Member)
		}
	}
	return recent, others
}

// setSelfState sets this host's own state to leaving or gone.
func (t *table) setSelfState(state State, successor string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.digest ^= contribution(t.self)
	t.self.Sequence++
	t.self.State = state
	t.digest ^= contribution(t.self)
	t.self.Successor = successor
	t.announceSelf()
}

// setStoreUnreachable records whether the platform's store fails to answer this
// host, and reports whether the value changed.
func (t *table) setStoreUnreachable(unreachable bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.StoreUnreachable == unreachable {
		return false
	}
	t.self.StoreUnreachable = unreachable
	t.self.Sequence++
	t.announceSelf()
	return true
}

// pickUpdates selects the records with the most remaining retransmissions, and
// adds the record of addressee if it is suspect or gone, so that it can refute
// it.
func (t *table) pickUpdates(addressee string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []*entry
	for _, e := range t.entries {
		if e.retransmitsLeft > 0 && e.Host != addressee {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.retransmitsLeft, a.retransmitsLeft), cmp.Compare(a.Host, b.Host))
	})
	var updates []Member
	for _, e := range fresh[:min(updatesPerMessage, len(fresh))] {
		e.retransmitsLeft--
		updates = append(updates, e.Member)
	}
	if e, ok := t.entries[addressee]; ok && e.State >= StateSuspect && !e.unconfirmed {
		updates = append(updates, e.Member)
	}
	return updates
}

// all returns the records of all other members except unconfirmed suspicions,
// and their hashes.
func (t *table) all() (members []Member, hashes []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if !e.unconfirmed {
			members = append(members, e.Member)
			hashes = append(hashes, e.hash())
		}
	}
	return members, hashes
}

// noteDuplicates lowers the remaining retransmissions of records that this host
// has and that arrived once more from another host.
func (t *table) noteDuplicates(records []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range records {
		if e, ok := t.entries[m.Host]; ok && e.Member.hash() == m.hash() {
			e.retransmitsLeft = max(0, e.retransmitsLeft-duplicateDecrement)
		}
	}
}

// stopRetransmitting stops the gossip of records that were received in a full
// sync. Other hosts that lack them detect it by the digest and sync themselves.
func (t *table) stopRetransmitting(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if e, ok := t.entries[m.Host]; ok && !e.overrides(m) {
			e.retransmitsLeft = 0
		}
	}
}

// pending returns the number of records with remaining retransmissions.
func (t *table) pending() (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.retransmitsLeft > 0 {
			count++
		}
	}
	return count
}

// fillIn fills in the fields that Member.short leaves out of a host's record
// of itself.
func (t *table) fillIn(m Member) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[m.Host]
	if m.PeerAddress != "" || !ok || e.Incarnation != m.Incarnation {
		return m
	}
	m.PeerAddress, m.CallerAddress, m.FailureDomain, m.Region, m.Capacity = e.PeerAddress, e.CallerAddress, e.FailureDomain, e.Region, e.Capacity
	return m
}

// members returns all members with self, ordered by host.
func (t *table) members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sorted == nil {
		t.sorted = make([]Member, 0, len(t.entries)+1)
		for _, e := range t.entries {
			t.sorted = append(t.sorted, e.Member)
		}
		slices.SortFunc(t.sorted, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	}
	members := make([]Member, 0, len(t.sorted)+1)
	i, _ := t.findSorted(t.self.Host)
	members = append(members, t.sorted[:i]...)
	members = append(members, t.self)
	return append(members, t.sorted[i:]...)
}

// updateSorted puts a member's record into the sorted list, so that a change of one
// member does not sort all of them.
func (t *table) updateSorted(m Member) {
	if t.sorted == nil {
		return
	}
	i, found := t.findSorted(m.Host)
	if found {
		t.sorted[i] = m
	} else {
		t.sorted = slices.Insert(t.sorted, i, m)
	}
}

func (t *table) findSorted(host string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, host, func(m Member, host string) int { return cmp.Compare(m.Host, host) })
}

func (t *table) localMember() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

func (t *table) member(host string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[host]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// summary returns the generation, the membership digest and the incarnation
// that supersedes this host (zero: none), without copying the members.
func (t *table) summary() (generation, digest, superseded uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation, t.digest, t.superseded
}
