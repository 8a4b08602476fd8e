// Package migration decides in which order generations are migrated from backend
// servers that are leaving, and to which destinations. It does no I/O.
//
// Concurrent copies share the link and delay each other, and with them the last,
// short increment of each migration, during which the stream stalls. If each host
// migrated its runs independently, streams would stall for most of a second. The
// moves of all hosts are therefore ordered in one queue. Typically several engines
// are reclaimed at once with about two seconds of notice, each with four to ten
// generations of about 3,500 tokens.
package migration

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/papayasail/papayasail/placement"
)

const (
	// gatherDelay is the delay between the first move queued for a leaving engine
	// and the first turn: hosts receive the notice within 10 ms of each other,
	// and all moves have to be queued before they can be ordered. It is also the
	// interval between calls of GrantReady while moves are queued.
	gatherDelay = 15 * time.Millisecond
	// turnLease is the maximum duration of a turn, so that a host that fails
	// during its turn does not block the others. The longest copies, to another
	// failure domain, take about 500 ms.
	turnLease = 1200 * time.Millisecond
	// memoryLimit and overcommitLimit are the shares of a destination's memory
	// that may be held, including the migrated run; brief runs
	// (placement.Need.Brief) need free memory instead. overcommitLimit applies if
	// no engine has room within memoryLimit: a preemption later costs less than a
	// lost run now.
	memoryLimit     = 1.0
	overcommitLimit = 1.3
)

// Move is a run to migrate.
type Move struct {
	Source string // leaving server
	Run    string // id of the run
	// LostWork is the work that is lost if the run is lost, in tokens prefilled and
	// produced.
	LostWork int
	// Need describes the memory to copy (PromptTokens) and the expected
	// remaining output (OutputTokens).
	Need placement.Need
	// Except contains the servers that take no request of the run's host now.
	Except []string
}

// shortRunTokens is the number of tokens that a run produces in about 1 s. A
// run with fewer tokens left ends before its server has left.
const shortRunTokens = 120

// density returns the tokens of work saved per copied token, or 0 for a run that
// ends before its server leaves. Moves with a higher density are migrated first:
// if there is not enough time for all, this order saves the most work.
func (m Move) density() float64 {
	if m.Need.OutputTokens < shortRunTokens {
		return 0
	}
	return float64(m.LostWork) / float64(max(1, m.Need.PromptTokens))
}

// Grant contains the destination of a run; empty: there is none, and the run is
// not migrated.
type Grant struct{ Destination string }

// Candidates returns the possible destinations for runs of a source. SameDomain
// is set for those in the source's failure domain.
type Candidates func(source string) []placement.Candidate

// Queue schedules moves so that at any time each engine sends at most one copy
// and receives at most one; a turn ends after turnLease, also if its copy still
// runs. The run that saves the most work per copied token is migrated first; runs
// that end soon are migrated last.
type Queue struct {
	candidates Candidates
	now        func() time.Time

	mu          sync.Mutex // guards the fields below
	waiting     []*waitingMove
	turns       map[string]turn      // by source
	firstQueued map[string]time.Time // time of the first move, by source
}

type waitingMove struct {
	move    Move
	granted chan Grant
}

// turn is a migration in progress.
type turn struct {
	run         string
	destination string
	until       time.Time
}

// NewQueue returns an empty queue. now returns the current time.
func NewQueue(candidates Candidates, now func() time.Time) *Queue {
	return &Queue{candidates: candidates, now: now, turns: map[string]turn{}, firstQueued: map[string]time.Time{}}
}

// Enqueue queues a move. The channel receives its grant. cancel removes the move
// from the queue; if it was granted in the meantime, the turn has to be ended
// with End.
func (q *Queue) Enqueue(move Move) (granted <-chan Grant, cancel func()) {
	w := &waitingMove{move: move, granted: make(chan Grant, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.firstQueued[move.Source]; !known {
		q.firstQueued[move.Source] = q.now()
	}
	q.waiting = append(q.waiting, w)
	return w.granted, func() { q.remove(w) }
}

func (q *Queue) remove(w *waitingMove) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(other *waitingMove) bool { return other == w })
}

// End ends the turn of a run. It does nothing if the turn has expired.
func (q *Queue) End(source, run string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.turns[source].run == run {
		delete(q.turns, source)
	}
}

// GrantReady grants all moves that can start now. It returns the delay after which
// it must be called again at the latest, or zero if no move is queued.
func (q *Queue) GrantReady() time.Duration {
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
	return gatherDelay
}

// expire ends the turns that have lasted turnLease. It also removes the time of the
// first move of each source whose first move was queued over a minute ago. Called
// with mu held.
func (q *Queue) expire(now time.Time) {
	for source, t := range q.turns {
		if now.After(t.until) {
			delete(q.turns, source)
		}
	}
	for source, at := range q.firstQueued {
		if now.Sub(at) > time.Minute {
			delete(q.firstQueued, source)
		}
	}
}

// grant tries to start a move. It reports whether the move leaves the queue.
// Called with mu held.
func (q *Queue) grant(w *waitingMove, now time.Time) bool {
	source := w.move.Source
	if _, busy := q.turns[source]; busy || now.Sub(q.firstQueued[source]) < gatherDelay {
		return false
	}
	all := slices.DeleteFunc(q.candidates(source), func(c placement.Candidate) bool { return slices.Contains(w.move.Except, c.ID) })
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

// destination returns the best server that is not receiving a copy, or "" if the
// move has to wait. Servers in the source's failure domain are preferred, since
// copies to other domains take twice as long: if a server in that domain has room
// within memoryLimit but is receiving a copy, the run waits until it can receive
// the next one. Servers are used up to overcommitLimit only if none in any domain
// has room within memoryLimit.
func (q *Queue) destination(need placement.Need, all []placement.Candidate) string {
	sameDomain := slices.DeleteFunc(slices.Clone(all), func(c placement.Candidate) bool { return !c.SameDomain })
	for _, memory := range []float64{memoryLimit, overcommitLimit} {
		limits := placement.Limits{Memory: memory}
		for _, subset := range [][]placement.Candidate{sameDomain, all} {
			if placement.Pick(need, subset, limits, noDraw) < 0 {
				continue // none has room, whether it is receiving a copy or not
			}
			if i := placement.Pick(need, q.notReceiving(subset), limits, noDraw); i >= 0 {
				return q.notReceiving(subset)[i].ID
			}
			return ""
		}
	}
	return ""
}

// notReceiving returns the candidates that are not receiving a copy.
func (q *Queue) notReceiving(subset []placement.Candidate) []placement.Candidate {
	return slices.DeleteFunc(slices.Clone(subset), func(c placement.Candidate) bool {
		for _, t := range q.turns {
			if t.destination == c.ID {
				return true
			}
		}
		return false
	})
}

func noDraw(int) int { return 0 }
