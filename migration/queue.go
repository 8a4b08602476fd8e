// Package migration decides in which order generations move off backend
// servers that are leaving, and where to. It does no input or output.
//
// The load it answers: an engine with four to ten generations of some 3,500
// tokens is reclaimed with about two seconds of notice, several engines at a
// time. Copies that run at the same time queue behind each other, and so does
// the last, short increment of each move, during which the stream stands still:
// for most of a second where each host moves its runs by itself.
package migration

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/papayasail/papayasail/placement"
)

const (
	// gather is how long the first run of a leaving engine waits for the
	// others: hosts hear of the notice within 10 ms of each other, and the
	// order is only as good as what is in it.
	gather = 15 * time.Millisecond
	// turnLease ends the turn of a host that died in it. The longest copies,
	// to another failure domain, take some 500 ms.
	turnLease = 1200 * time.Millisecond
	// fullMemory and overfull are shares of an engine's memory that moved
	// runs may fill. A preemption later costs less than a lost run now.
	fullMemory = 1.0
	overfull   = 1.3
)

// Move is a run that waits for its turn.
type Move struct {
	Source string // leaving server
	Run    string
	// Size is the work that is lost with the run, in tokens read and made.
	Size int
	// Need is the memory to be copied, and what it is expected to make yet.
	Need placement.Need
}

// endsSoon is how many tokens a run makes in about a second; one that has
// fewer left ends before its server is gone.
const endsSoon = 120

// density orders moves: the work that a copied token saves. Where time is too
// short for all, the most work is saved by the densest first.
func (m Move) density() float64 {
	if m.Need.OutputTokens < endsSoon {
		return 0
	}
	return float64(m.Size) / float64(max(1, m.Need.PromptTokens))
}

// Grant says where a run goes; an empty destination: nowhere.
type Grant struct{ Destination string }

// Candidates returns the servers to which a run of a source may go; those in
// the source's failure domain are marked so.
type Candidates func(source string) []placement.Candidate

// Queue gives turns to moves so that at any moment at most one copy leaves an
// engine, and at most one arrives at another. The run whose copy saves most
// work for its size goes first; those that end soon go last.
type Queue struct {
	candidates Candidates
	now        func() time.Time

	mu      sync.Mutex // guards all below
	waiting []*waitingMove
	turns   map[string]turn // by source
	first   map[string]time.Time
}

type waitingMove struct {
	move    Move
	granted chan Grant
}

// turn is a move in progress.
type turn struct {
	run         string
	destination string
	until       time.Time
}

// NewQueue returns an empty queue.
func NewQueue(candidates Candidates, now func() time.Time) *Queue {
	return &Queue{candidates: candidates, now: now, turns: map[string]turn{}, first: map[string]time.Time{}}
}

// Enter queues a move. The channel gets its grant. Cancel takes it out of the
// queue; a grant that was given meanwhile has to be ended with End.
func (q *Queue) Enter(move Move) (granted <-chan Grant, cancel func()) {
	w := &waitingMove{move: move, granted: make(chan Grant, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.first[move.Source]; !known {
		q.first[move.Source] = q.now()
	}
	q.waiting = append(q.waiting, w)
	return w.granted, func() { q.drop(w) }
}

func (q *Queue) drop(w *waitingMove) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(other *waitingMove) bool { return other == w })
}

// End ends the turn of a run.
func (q *Queue) End(source, run string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.turns[source].run == run {
		delete(q.turns, source)
	}
}

// Step grants what may begin now and returns when to look again at the
// latest; zero: nothing waits.
func (q *Queue) Step() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.expire(now)
	slices.SortStableFunc(q.waiting, func(a, b *waitingMove) int {
		return cmp.Or(cmp.Compare(b.move.density(), a.move.density()), cmp.Compare(a.move.Run, b.move.Run))
	})
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingMove) bool { return q.grant(w, now) })
	if len(q.waiting) == 0 {
		return 0
	}
	return gather
}

func (q *Queue) expire(now time.Time) {
	for source, t := range q.turns {
		if now.After(t.until) {
			delete(q.turns, source)
		}
	}
	for source, at := range q.first {
		if now.Sub(at) > time.Minute {
			delete(q.first, source)
		}
	}
}

// grant reports whether the move left the queue. Called with mu held.
func (q *Queue) grant(w *waitingMove, now time.Time) bool {
	source := w.move.Source
	if _, busy := q.turns[source]; busy || now.Sub(q.first[source]) < gather {
		return false
	}
	all := q.candidates(source)
	if len(all) == 0 {
		w.granted <- Grant{}
		return true
	}
	destination := q.destination(w.move.Need, all)
	if destination == "" {
		return false
	}
	q.turns[source] = turn{w.move.Run, destination, now.Add(turnLease)}
	w.granted <- Grant{destination}
	return true
}

// destination returns the best server that receives no copy now. Servers of
// the source's own failure domain go first, as copies to others take twice as
// long: a run waits for one of them rather than go further.
func (q *Queue) destination(need placement.Need, all []placement.Candidate) string {
	near := slices.DeleteFunc(slices.Clone(all), func(c placement.Candidate) bool { return !c.SameDomain })
	for _, memory := range []float64{fullMemory, overfull} {
		limits := placement.Limits{Memory: memory}
		for _, some := range [][]placement.Candidate{near, all} {
			if placement.Pick(need, some, limits, noDraw) < 0 {
				continue // none has room, busy or not
			}
			if i := placement.Pick(need, q.idle(some), limits, noDraw); i >= 0 {
				return q.idle(some)[i].ID
			}
			return ""
		}
	}
	return ""
}

// idle returns the candidates that receive no copy.
func (q *Queue) idle(some []placement.Candidate) []placement.Candidate {
	return slices.DeleteFunc(slices.Clone(some), func(c placement.Candidate) bool {
		for _, t := range q.turns {
			if t.destination == c.ID {
				return true
			}
		}
		return false
	})
}

func noDraw(int) int { return 0 }
