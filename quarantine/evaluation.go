package quarantine

import (
	"time"

	"go.uber.org/zap"
)

// addCrash adds a crash to the evidence on the parts of prompts, reports whether it was
// new, and starts reviews. Called with mu held.
func (t *Table) addCrash(crash Crash, at time.Time, own bool) bool {
	t.parts.forgetBefore(time.Now().Add(-suspicionDuration))
	if !t.parts.addCrash(crash, at, own) {
		return false
	}
	if t.reviewsLeft == 0 {
		time.AfterFunc(reviewInterval, t.review)
	}
	t.reviewsLeft = int(evaluationDelay/reviewInterval) + 1
	return true
}

// review quarantines the parts that are to be blamed for the known crashes, and repeats
// this until the newest crash is older than evaluationDelay. All hosts come to the same
// decision; those whose own runs crashed store it.
func (t *Table) review() {
	t.mu.Lock()
	now := time.Now()
	var cancels []func()
	changed, stored := false, false
	for _, part := range t.parts.reviewUntil(now.Add(-evaluationDelay), t.isQuarantined).blamed() {
		cancels, changed = append(cancels, t.quarantinePart(part)...), true
		stored = stored || t.parts.crashedUnderOwn(part)
	}
	t.parts.suspected = map[uint64]struct{}{}
	for _, part := range t.parts.reviewUntil(now, t.isQuarantined).suspected() {
		t.parts.suspected[part] = struct{}{}
	}
	if t.reviewsLeft--; t.reviewsLeft > 0 {
		time.AfterFunc(reviewInterval, t.review)
	}
	t.mu.Unlock()
	t.notify(cancels, changed, stored)
}

// quarantinePart quarantines a part, again after a trial that crashed a server, and
// returns the functions that cancel runs. Called with mu held.
func (t *Table) quarantinePart(part uint64) []func() {
	updated := Record{Fingerprint: part, Part: true, Crashes: 1}
	if known := t.get(part); known != nil {
		updated.Epoch, updated.Crashes = known.Epoch, known.Crashes+1
	}
	return t.set(updated, lifetime(updated), true, sourceOwn)
}

// reportPassed records that a run wrote its first event at the given time and went on,
// and ends the quarantine of the parts of its prompt.
func (t *Table) reportPassed(parts []uint64, began time.Time) {
	t.mu.Lock()
	changed, cleared := false, false
	for _, part := range parts {
		changed = t.parts.addPass(part, began) || changed
		cleared = t.clearPassedPart(part) || cleared
	}
	t.mu.Unlock()
	t.notify(nil, changed || cleared, cleared)
}

// clearPassedPart ends the quarantine of a part if a run with it that began later has
// passed, and reports whether it did. Called with mu held.
func (t *Table) clearPassedPart(part uint64) bool {
	known := t.get(part)
	if known == nil || !known.Part || known.Crashes == 0 || !t.parts.passedSince(part, known.since().Add(-clearingWindow)) {
		return false
	}
	t.logger.Info(msgPartCleared, partField(part), zap.Uint32("in_a_row", known.Crashes))
	t.set(Record{Fingerprint: part, Part: true, Epoch: known.Epoch + 1}, clearedRetention, true, sourceOwn)
	return true
}

// MergeEvidence merges evidence from another host and reports whether any of it was new.
func (t *Table) MergeEvidence(evidence Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, changed := time.Now(), false
	for _, p := range evidence.Passes {
		changed = t.parts.addPass(p.Part, now.Add(-p.Age)) || changed
	}
	for _, c := range evidence.Crashes {
		if c.Age < suspicionDuration && len(c.Parts) <= MaxParts {
			changed = t.addCrash(c, now.Add(-c.Age), false) || changed
		}
	}
	if len(evidence.Crashes) > 0 {
		t.clearExplained()
	}
	return changed
}
