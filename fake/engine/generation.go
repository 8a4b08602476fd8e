package engine

import "time"

// phase is the state of a generation.
type phase int

const (
	waiting phase = iota
	running
	ended
)

const (
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// generation is a generation that the engine queues, runs or keeps. The engine's
// mutex guards it.
type generation struct {
	id           string
	prompt       string
	prefix       uint64
	promptTokens int
	priority     int
	arrival      uint64 // order of arrival
	length       int    // tokens after which it stops by itself
	limit        int    // tokens after which it is cut off
	produced     int    // tokens produced; TokenText derives their text from id and index
	phase        phase
	finish       string // finish reason once ended

	preempted  int
	readers    int
	detachedAt time.Time     // when a reader last detached
	changed    chan struct{} // closed and replaced when produced or phase changes
	endedAt    time.Time
}

// memoryTokens returns the memory that the generation uses, in tokens.
func (g *generation) memoryTokens() int { return g.promptTokens + g.produced }

// notify wakes the readers.
func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// before reports whether g has precedence over other: by priority, then by arrival.
func (g *generation) before(other *generation) bool {
	if g.priority != other.priority {
		return g.priority > other.priority
	}
	return g.arrival < other.arrival
}
