package fleet

import (
	"slices"
	"time"
)

// Overflowing returns the lives of those wanted engines of a service whose
// memory is about to overflow, by what all hosts have there.
func (t *Table) Overflowing(name string, wanted func(id string) bool) []Life {
	var lives []Life
	for _, c := range t.CandidatesAmong(name, "", wanted) {
		if c.Overflows() {
			lives = append(lives, Life{c.ID, c.Born})
		}
	}
	return lives
}

// SetOverflowing takes in which engines of a service are about to overflow, of
// those for which wanted. On each of them one generation of this host is told
// to move elsewhere: the one that will hold most.
func (t *Table) SetOverflowing(name string, lives []Life, wanted func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.service(name).members {
		if !wanted(e.server.ID) {
			continue
		}
		if time.Since(e.relieved) > reliefInterval && slices.ContainsFunc(lives, e.server.Life().Is) {
			e.relieve()
		}
	}
}

// reliefInterval spaces the generations of a host that are told so on one
// engine: a move takes some 300 ms, and its effect is heard with the next report.
const reliefInterval = 600 * time.Millisecond

// leastRelief is how many tokens a generation has still to make to be worth a
// move; an engine makes some 120 a second for each.
const leastRelief = 240

// relieve is called with the table's mu held.
func (e *entry) relieve() {
	var chosen *Work
	for w := range e.work {
		if w.produced > 0 && w.remaining() >= leastRelief && (chosen == nil || w.remaining() > chosen.remaining()) {
			chosen = w
		}
	}
	if chosen == nil {
		return
	}
	e.relieved = time.Now()
	select {
	case chosen.relief <- struct{}{}:
	default:
	}
}

func (w *Work) remaining() int { return w.OutputTokens - w.produced }

// Relief holds a token when the work is to move, as its engine is about to
// overflow.
func (w *Work) Relief() <-chan struct{} { return w.relief }
