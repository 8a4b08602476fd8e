package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retransmits is the number of messages in which one host sends a changed
	// record of a quarantined request. Records of suspected and cleared requests
	// are sent suspectRetransmits times, which is lower because each crash makes
	// all requests on the server suspects.
	retransmits        = 12
	suspectRetransmits = 4
	// maxChangedRecords is the maximum number of changed records in one message.
	maxChangedRecords = 8
	// repeatsPerMessage is the maximum number of quarantined requests that a
	// message repeats besides the changed records, so that a host that missed a
	// change still receives it.
	repeatsPerMessage = 2
)

// GossipRecords returns the records for one gossip message to another host.
func (t *Table) GossipRecords() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var news []Record
	for _, e := range t.pendingRecords(now) {
		e.retransmitsLeft--
		news = append(news, e.snapshot(now))
	}
	for range repeatsPerMessage {
		e := t.nextRepeat()
		if e == nil || slices.ContainsFunc(news, func(r Record) bool { return r.Fingerprint == e.Fingerprint }) {
			break
		}
		news = append(news, e.snapshot(now))
	}
	return news
}

// GossipEvidence returns the evidence for one gossip message to another host.
func (t *Table) GossipEvidence() Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.gossip(time.Now())
}

// gossip returns up to maxChangedRecords crashes and as many passes that are still to be
// gossiped, first the crashes under runs that the servers had just begun to answer.
func (e *partEvidence) gossip(now time.Time) Evidence {
	var evidence Evidence
	for _, answering := range []bool{true, false} {
		for _, c := range e.crashes {
			for _, r := range c.runs {
				if r.Answering == answering && r.retransmitsLeft > 0 && len(evidence.Crashes) < maxChangedRecords {
					r.retransmitsLeft--
					crash := r.Crash
					crash.Age = now.Sub(r.at)
					evidence.Crashes = append(evidence.Crashes, crash)
				}
			}
		}
	}
	for part, left := range e.news {
		if len(evidence.Passes) == maxChangedRecords {
			break
		}
		if e.news[part] = left - 1; left == 1 {
			delete(e.news, part)
		}
		if passed, known := e.passes.Peek(part); known {
			evidence.Passes = append(evidence.Passes, Pass{part, now.Sub(passed)})
		}
	}
	return evidence
}

// pendingRecords returns up to maxChangedRecords changed records that are still to
// be gossiped. Records with more crashes come first; records with equally many
// crashes are ordered by the number of messages left, highest first. It deletes
// expired records. Called with mu held.
func (t *Table) pendingRecords(now time.Time) []*entry {
	var pending []*entry
	for fingerprint, e := range t.requests {
		switch {
		case !now.Before(e.expires):
			delete(t.requests, fingerprint)
		case e.retransmitsLeft > 0:
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.retransmitsLeft, a.retransmitsLeft))
	})
	return pending[:min(len(pending), maxChangedRecords)]
}

// nextRepeat returns the next quarantined request in rotation, or nil. Called
// with mu held.
func (t *Table) nextRepeat() *entry {
	if len(t.rotation) == 0 {
		for fingerprint, e := range t.requests {
			if e.Quarantined() {
				t.rotation = append(t.rotation, fingerprint)
			}
		}
	}
	if len(t.rotation) == 0 {
		return nil
	}
	next := t.rotation[0]
	t.rotation = t.rotation[1:]
	if e := t.get(next); e != nil && e.Quarantined() {
		return e
	}
	return nil
}

// All returns the records of the quarantined requests.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Record
	now := time.Now()
	for _, e := range t.requests {
		if e.Quarantined() && now.Before(e.expires) {
			all = append(all, e.snapshot(now))
		}
	}
	return all
}

// snapshot returns the record with its remaining time.
func (e *entry) snapshot(now time.Time) Record {
	r := e.Record
	r.Remaining = e.expires.Sub(now)
	return r
}
