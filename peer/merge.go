package peer

import (
	"time"
)

// mergeResult is the result of merging member records.
type mergeResult struct {
	changed     bool
	urgent      bool // to be gossiped before the next probe
	transitions []transition
	notable     []Member // with another state, or another answer of the store, than before
	disputed    []Member // suspect or gone here, but alive or leaving in the received record
}

// transition is a change of a member's state, for logs and counters.
type transition struct {
	Member
	from State
}

// merge merges member records into the table. Records are ordered by
// incarnation, sequence, then state; older ones are ignored.
func (t *table) merge(records []Member, now time.Time) mergeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result mergeResult
	for _, m := range records {
		if !m.valid() {
			continue
		}
		if m.Host == t.self.Host {
			result.changed = t.mergeSelf(m) || result.changed
			continue
		}
		t.mergeOther(m, now, &result)
	}
	return result
}

// mergeSelf merges a record of this host and refutes it if it overrides the
// host's own.
//
// Failure: after a freeze or a network partition other hosts list this one as
// suspect or gone, so that callers avoid it and its records count as lost. The
// received record then has this incarnation and the current sequence or a
// higher one. The next sequence overrides it on all hosts; only this host
// raises its sequence.
func (t *table) mergeSelf(m Member) bool {
	if m.Incarnation > t.self.Incarnation {
		t.superseded = max(t.superseded, m.Incarnation)
		return false
	}
	if m.Incarnation < t.self.Incarnation || t.self.State == StateGone || !m.overrides(t.self) {
		return false
	}
	t.self.Sequence = m.Sequence + 1
	t.announceSelf()
	return true
}

func (t *table) announceSelf() {
	t.selfRetransmitsLeft = t.retransmits()
	t.generation++
}

func (t *table) mergeOther(m Member, now time.Time, result *mergeResult) {
	known, ok := t.entries[m.Host]
	if ok && !m.overrides(known.Member) {
		if known.disputedBy(m) {
			result.disputed = append(result.disputed, known.Member)
		}
		return
	}
	if ok && t.refutedByExchange(known, m, now) {
		return
	}
	m.ConfigurationVersion = 0
	from := State(0)
	if ok {
		from = known.State
		if m.Incarnation == known.Incarnation {
			m.ConfigurationVersion = known.ConfigurationVersion
		}
	}
	storeChanged := ok && m.StoreUnreachable != known.StoreUnreachable
	t.set(&entry{Member: m, stateSince: now})
	result.changed = true
	result.urgent = result.urgent || storeChanged || m.State == StateLeaving || from == StateLeaving && m.State == StateGone
	if from != m.State || storeChanged {
		result.notable = append(result.notable, m)
	}
	if from != m.State {
		result.transitions = append(result.transitions, transition{m, from})
	}
}

// disputedBy reports whether this host lists the member as suspect or gone
// while a received record with the same sequence lists it as alive or leaving.
func (e *entry) disputedBy(received Member) bool {
	return e.State >= StateSuspect && !e.unconfirmed && received.State <= StateLeaving &&
		e.Incarnation == received.Incarnation && e.Sequence == received.Sequence
}

// refutedByExchange reports whether a received record declares a member gone
// although this host does not suspect it and has recently exchanged messages
// with it. Such a record is ignored.
//
// Failure: after a network partition heals, a small part of the fleet lists
// all other hosts as gone. Its records override those of the same sequence, so
// that callers elsewhere lose most addresses for a moment. A host that really
// died is suspected first, and that record is accepted.
func (t *table) refutedByExchange(known *entry, received Member, now time.Time) bool {
	return received.State == StateGone && known.State <= StateLeaving &&
		known.Incarnation == received.Incarnation && known.Sequence == received.Sequence &&
		now.Sub(known.lastExchange) < t.exchangeWindow
}
