// Package evacuation plans in which order generations move off a backend
// server that is leaving. It does no input or output.
//
// The load it answers: an engine with four to ten generations of some 3,500
// tokens is reclaimed with about two seconds of notice, two engines at a time.
// One copy takes some 190 ms on a free link. Copies that several entry hosts
// start at once queue behind each other, and the last, short increment of a
// move, during which the stream stands still, queues behind whole copies.
// Every host therefore derives the same order from the engine's own report and
// waits for the copies of those before its own.
package evacuation

import (
	"cmp"
	"slices"
	"time"
)

// Run is a generation on a leaving engine, as the engine reports it.
type Run struct {
	ID     string
	Tokens int // in the engine's memory
}

// Link is what carries a run's memory.
type Link struct {
	BytesPerToken int
	Mbps          float64
}

const (
	// perMove is what a move takes beside the copy: two calls, the last
	// increment and the start at the destination, 20 to 40 ms.
	perMove = 30 * time.Millisecond
	// bitsPerMegabit converts Link.Mbps.
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
)

// CopyTime returns how long a copy takes on a free link.
func (l Link) CopyTime(tokens int) time.Duration {
	if l.Mbps <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(l.BytesPerToken) * bitsPerByte / (l.Mbps * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

// Turns returns for each run when its move should begin, counted from the
// notice. Runs that the report lacks are not in the result; their turn is
// after all others, at the second value.
func Turns(runs []Run, link Link) (turns map[string]time.Duration, after time.Duration) {
	ordered := slices.Clone(runs)
	slices.SortFunc(ordered, func(a, b Run) int { return cmp.Compare(a.ID, b.ID) })
	turns = make(map[string]time.Duration, len(ordered))
	for _, run := range ordered {
		turns[run.ID] = after
		after += link.CopyTime(run.Tokens) + perMove
	}
	return turns, after
}

// Share returns those of the candidates that runs of one leaving engine may
// go to while others leave too: each leaving engine has destinations of its
// own, so that copies of two engines do not queue at one destination. With
// fewer candidates than leaving engines all may be used.
func Share(candidates []string, leaving []string, source string) []string {
	mine := slices.Index(leaving, source)
	if mine < 0 || len(candidates) < 2*len(leaving) {
		return candidates
	}
	sorted := slices.Sorted(slices.Values(candidates))
	var share []string
	for i, id := range sorted {
		if i%len(leaving) == mine {
			share = append(share, id)
		}
	}
	return share
}
