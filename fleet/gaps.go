package fleet

import (
	"math"
	"time"
)

const (
	// gapHalfLife is the time in which the evidence on missed gap goals halves. It spans
	// the lifetimes of a few long generations.
	gapHalfLife = 30 * time.Second
	// priorGaps is the number of generations of which the mean of the service has the
	// weight, so that a single miss has little effect.
	priorGaps = 4
	// gapRefresh is the interval at which the shares of a service are computed.
	gapRefresh = 500 * time.Millisecond
	// minGapEvidence is the number of missed goals of a service below which none counts.
	minGapEvidence = 0.05
	// maxGapReport bounds the generations that one report of a host counts for.
	maxGapReport = 1000
)

// gapCounts counts the generations of an engine that kept and missed the gap goals of
// their routes, discounted by age.
type gapCounts struct {
	kept, missed float64
	at           time.Time // time to which the counts are discounted
}

// add adds generations of any host.
func (g *gapCounts) add(kept, missed int, now time.Time) {
	g.discount(now)
	g.kept += float64(max(0, min(maxGapReport, kept)))
	g.missed += float64(max(0, min(maxGapReport, missed)))
}

// discount reduces the counts by their age.
func (g *gapCounts) discount(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(g.at)) / float64(gapHalfLife))
	g.kept, g.missed, g.at = g.kept*factor, g.missed*factor, now
}

// share returns the share of missed goals, of which the prior is the expected value.
func (g *gapCounts) share(prior float64) float64 {
	return (g.missed + prior*priorGaps) / (g.kept + g.missed + priorGaps)
}

// GapGoal records whether a generation that ran on the engine only kept the gap goal of
// its route.
func (w *Work) GapGoal(kept bool) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	if !w.table.isEngine(w.entry) {
		return
	}
	var outcome Evidence
	if kept {
		outcome.GapKept = 1
	} else {
		outcome.GapMissed = 1
	}
	w.entry.evidence.GapKept += outcome.GapKept
	w.entry.evidence.GapMissed += outcome.GapMissed
	w.table.evident[w.entry] = struct{}{}
	w.table.recordGaps(w.entry, outcome)
}

// recordGaps requires mu.
func (t *Table) recordGaps(e *entry, outcome Evidence) {
	if outcome.GapKept > 0 || outcome.GapMissed > 0 {
		e.gaps.add(outcome.GapKept, outcome.GapMissed, time.Now())
	}
	if outcome.GapMissed > 0 {
		t.service(e.server.Service).gapsMissed = true
	}
}

// refreshGaps computes the engines' shares of missed gap goals. Requires Table.mu.
func (s *service) refreshGaps(now time.Time) {
	if !s.gapsMissed || now.Sub(s.gapsAt) < gapRefresh {
		return
	}
	s.gapsAt = now
	total := gapCounts{at: now}
	for _, e := range s.members.all {
		e.gaps.discount(now)
		total.kept += e.gaps.kept
		total.missed += e.gaps.missed
	}
	s.gapsMissed = total.missed >= minGapEvidence
	prior := total.share(0)
	for _, e := range s.members.all {
		e.gapMisses = 0
		if s.gapsMissed {
			e.gapMisses = e.gaps.share(prior)
		}
	}
}
