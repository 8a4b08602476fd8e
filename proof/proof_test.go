package proof

import (
	"fmt"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/internal/rapidtest"
)

const (
	ciSeed      = "20260101" // fixed, so that CI runs are reproducible
	ciSequences = "1000"
	shards      = 4 // sequences of one test that run concurrently
	gentleRatio = 4 // number of sequences with faults per gentle sequence
)

// TestMain sets the default seed and number of sequences; flags override them,
// as in `make fuzz`.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400) // worlds are short-lived; the default spends most of the time in garbage collection
	rapidtest.Main(m, rapidtest.Flags{"seed": ciSeed, "checks": ciSequences, "nofailfile": "true", "shrinktime": "60s"})
}

// uniform generates a number from 0 to n-1. rapid's own generators of numbers
// and choices prefer small values and would rarely select the last actions.
func uniform(n int) *rapid.Generator[int] {
	return rapid.Custom(func(t *rapid.T) int {
		drawn := 0
		for _, bit := range rapid.SliceOfN(rapid.Bool(), uniformBits, uniformBits).Draw(t, "bits") {
			drawn <<= 1
			if bit {
				drawn |= 1
			}
		}
		return drawn * n >> uniformBits
	})
}

const (
	uniformBits = 10
	minSteps    = 10
	extraSteps  = 26
)

// actionsOf generates sequences of the named verbs. Requests are more frequent
// than faults, and waits let both take effect.
func actionsOf(names []string) *rapid.Generator[[]Action] {
	weighted := []string{"wait"} // first, because rapid shrinks towards the first choice
	for _, frequent := range []string{"wait", "wait", "narrative", "narrative", "letter", "letter", "verdict", "verdict", "reading", "repeat elsewhere", "resume elsewhere", "thaw host", "start host"} {
		if slices.Contains(names, frequent) {
			weighted = append(weighted, frequent)
		}
	}
	weighted = append(weighted, names...)
	small := uniform(8)
	action := rapid.Custom(func(t *rapid.T) Action {
		return Action{
			Verb: weighted[uniform(len(weighted)).Draw(t, "verb")],
			A:    small.Draw(t, "a"), B: small.Draw(t, "b"), N: small.Draw(t, "n"),
		}
	})
	return rapid.Custom(func(t *rapid.T) []Action {
		steps := minSteps + uniform(extraSteps).Draw(t, "steps")
		return rapid.SliceOfN(action, steps, steps).Draw(t, "steps")
	})
}

// runSharded checks sequences in several shards that run concurrently. All
// shards draw the same sequences from the same seed, and each runs every
// stride-th one, starting at a different offset. A stride equal to shards runs
// all sequences; a larger one runs fewer.
func runSharded(t *testing.T, stride int, sequences *rapid.Generator[[]Action], play func([]Action, *Counts) []string) *Counts {
	counts := NewCounts()
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				turn, failing := shard, false
				rapid.Check(t, func(rt *rapid.T) {
					actions := sequences.Draw(rt, "actions")
					turn++
					if turn%stride != 0 && !failing {
						return // another shard's sequence, or skipped
					}
					var violations []string
					defer logBlockedGoroutines(t)
					synctest.Test(t, func(*testing.T) { violations = play(actions, counts) })
					if len(violations) > 0 {
						failing = true // rapid shrinks from here on, so every sequence has to run
						rt.Fatalf("%s", strings.Join(violations, "\n"))
					}
				})
			})
		}
	})
	return counts
}

// logBlockedGoroutines logs the stacks of goroutines that are still blocked in
// the bubble when synctest panics with a deadlock; the panic does not include
// them.
func logBlockedGoroutines(t *testing.T) {
	cause := recover()
	if cause == nil {
		return
	}
	if text := fmt.Sprint(cause); strings.Contains(text, "deadlock") {
		stacks := make([]byte, 4<<20)
		for _, stack := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
			if strings.Contains(stack, "synctest bubble") {
				t.Log(stack)
			}
		}
	}
	panic(cause)
}

// Guards against duplicate, reordered or foreign tokens, double runs of letters and verdicts,
// wrong "not run" outcomes, and hosts that do not recover, under any order of requests and faults.
func TestOracleUnderFaults(t *testing.T) {
	names := slices.Sorted(maps.Keys(verbs))
	counts := runSharded(t, shards, actionsOf(names), RunSequence)
	t.Logf("actions that applied:\n%s", counts)
	if missing := counts.Missing(); len(missing) > 0 {
		t.Errorf("actions that never applied: %s", strings.Join(missing, ", "))
	}
}

// Guards against requests lost or run twice under load during graceful restarts, drains and
// store outages: every request sent through the client library must succeed and run exactly once.
func TestGentleSequencesLoseNothing(t *testing.T) {
	counts := runSharded(t, gentleRatio*shards, actionsOf(gentleVerbs), RunGentleSequence)
	t.Logf("actions that applied:\n%s", counts)
	for _, name := range gentleVerbs {
		if counts.Applied(name) == 0 {
			t.Errorf("action never applied: %s", name)
		}
	}
}
