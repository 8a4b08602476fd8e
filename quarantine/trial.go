package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// trialPeriod is how long after a part's time in quarantine single requests with it
	// are tried, at one host; without a trial in that time, the part is forgotten.
	trialPeriod = 10 * time.Minute
	// trialSpacing is the minimum time between two trials of a part.
	trialSpacing = 30 * time.Second
	// suspectSpacing is the minimum time from a crash to the next run with a suspected
	// part, so that the evaluation comes first.
	suspectSpacing = 2 * evaluationDelay
	// minPartRetry and maxPartRetry bound the time after which callers of a quarantined
	// part may try again. When the part will be served is not known.
	minPartRetry = 15 * time.Second
	maxPartRetry = 30 * time.Second
)

// partQuarantineDurations are how long a part is quarantined before it is tried, by
// the number of trials that have crashed a server; the last one repeats. The first one is
// short, as a wrong quarantine refuses all requests with the part.
var partQuarantineDurations = []time.Duration{20 * time.Second, 5 * time.Minute, 30 * time.Minute}

// partRetry returns the time after which a caller of a quarantined part may try again.
func partRetry() time.Duration { return minPartRetry + rand.N(maxPartRetry-minPartRetry) }

// partsOnTrial returns the parts that may be tried, by one request at a time: those
// whose time in quarantine is over, and those that are suspected. Called with mu held.
func (t *Table) partsOnTrial(parts []uint64) (quarantined, suspected []uint64) {
	for _, part := range parts {
		switch {
		case t.isQuarantined(part):
			if t.remainingQuarantine(part) == 0 {
				quarantined = append(quarantined, part)
			}
		default:
			if t.parts.isSuspected(part) {
				suspected = append(suspected, part)
			}
		}
	}
	return quarantined, suspected
}

// startTrials starts a trial of the parts whose time in quarantine is over, and reports
// whether it may. Called with mu held.
func (t *Table) startTrials(quarantined, suspected []uint64) bool {
	now := time.Now()
	busy := slices.ContainsFunc(suspected, func(part uint64) bool {
		return t.hasWaitingRun(part) || t.parts.crashedBetween(part, now.Add(-suspectSpacing), now)
	})
	if busy || slices.ContainsFunc(quarantined, func(part uint64) bool { return now.Before(t.requests[part].nextTrial) }) {
		return false
	}
	for _, part := range quarantined {
		t.requests[part].nextTrial = now.Add(trialSpacing)
		t.logger.Info(msgTrial, partField(part))
	}
	return true
}

// hasWaitingRun reports whether a run with the part has not begun. Called with mu held.
func (t *Table) hasWaitingRun(part uint64) bool {
	for run := range t.runs[part] {
		if !run.begun {
			return true
		}
	}
	return false
}
