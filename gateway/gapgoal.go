package gateway

// minGapEvents is the number of events from which a generation counts for the gap goals
// of its engine. Shorter ones seldom meet a slow moment of the engine.
const minGapEvents = 30

// recordGapGoal records, once, whether the engine kept the gap goal of the route: a miss
// while the generation still runs, the rest at its complete end. The pauses of a move say
// nothing about an engine.
func (t *task) recordGapGoal(run *run, complete bool) {
	if t.gapRecorded || t.route.GapGoal <= 0 || t.events < minGapEvents || t.moves > 0 {
		return
	}
	kept := t.serverPause <= t.route.GapGoal
	if kept && !complete {
		return
	}
	t.gapRecorded = true
	run.currentWork().GapGoal(kept)
	result := "kept"
	if !kept {
		result = "missed"
	}
	t.gateway.options.Metrics.gapGoals.WithLabelValues(result).Inc()
}
