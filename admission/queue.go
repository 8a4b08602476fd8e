// Package admission orders the generations that wait for a place on a backend
// server. It does no I/O and has no clock of its own.
package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/papayasail/papayasail/internal/ratemeter"
	"github.com/papayasail/papayasail/organisation"
	"github.com/papayasail/papayasail/placement"
)

// maxBlocked is the number of organisations of a lane whose first waiters may
// find no place before Step stops trying the lane, or those of one scope. Waiters
// of a lane need similar resources, so the others would rarely find one.
const maxBlocked = 6

// MaxExcess is how many times the free places of a full queue the waiters of one
// organisation may be. It leaves places for the others, however many it sends.
const MaxExcess = 4

// Waiter is a generation that waits for a place. One that was removed may be pushed
// again, for a repeated placement RPC; it keeps its forecast.
type Waiter[T any] struct {
	Value       T
	Request     string // request ID, for the log
	Fingerprint uint64 // equal for a caller's retries; zero: unknown
	// Organisation is the one that the request counts against.
	Organisation string
	Rank         int // priority; 0 is served first
	Need         placement.Need
	// Scope identifies the servers that may run it; "": all.
	Scope string
	// Arrived is when the caller's first attempt arrived.
	Arrived time.Time
	// OnTimeUntil is the latest time at which it can be placed and still be
	// expected to meet its latency goal.
	OnTimeUntil time.Time
	// HoldUntil is when it is refused if it has no place by then.
	HoldUntil time.Time
	// StartBy is the latest time at which it can be placed and still end before
	// its deadline.
	StartBy time.Time
	// Attempted is when the current attempt arrived; zero: when it is first pushed.
	Attempted time.Time
	// Repeated reports whether the request was queued here before, by an earlier
	// placement RPC of the same attempt. It is not counted as an arrival again.
	Repeated bool

	item     organisation.Item[*Waiter[T]]
	lane     *lane[T]  // nil: not queued
	index    int       // in Queue.events
	counted  bool      // as an arrival
	forecast time.Time // forecast of its placement when it was queued; zero: not known
}

// cost is what a waiter counts against the share of its organisation, in tokens.
func (w *Waiter[T]) cost() float64 {
	return float64(placement.Held(w.Need.PromptTokens, 0, w.Need.OutputTokens))
}

// laneKey identifies a lane. Lanes are tried in the order of their keys.
type laneKey struct {
	late  bool
	rank  int
	class class
}

func (k laneKey) compare(other laneKey) int {
	lateness := 0
	switch {
	case k.late && !other.late:
		lateness = 1
	case other.late && !k.late:
		lateness = -1
	}
	return cmp.Or(lateness, cmp.Compare(k.rank, other.rank), cmp.Compare(k.class, other.class))
}

// lane is the queue of the waiters of one rank and class that can be on time, or of
// those that cannot.
type lane[T any] struct {
	key      laneKey
	queue    *organisation.Queue[*Waiter[T]]
	arrivals ratemeter.Meter // tokens of arriving on-time work
}

// Queue orders waiters: those that can be on time before those that can only be
// late, then by rank, then fairly across organisations by tokens, then by arrival.
// It is not safe for concurrent use.
type Queue[T any] struct {
	capacity int
	lanes    []*lane[T] // in the order in which they are tried
	events   eventHeap[T]
	metrics  *Metrics

	waitersOf map[string]int // by organisation

	now        time.Time // latest time that a method was called with
	service    [classes]serviceRate
	queued     [classes]int       // waiters
	nextReturn [classes]time.Time // earliest retry time of the next refused caller
}

// NewQueue returns an empty queue for at most capacity waiters.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, waitersOf: map[string]int{}}
}

// SetMetrics sets the metrics in which the queue is recorded. Several queues may
// share them. Call it before Push.
func (q *Queue[T]) SetMetrics(metrics *Metrics) { q.metrics = metrics }

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return len(q.events) }

// Push adds a waiter. It returns false if the queue is full, or if the organisation
// has too many of its places.
func (q *Queue[T]) Push(w *Waiter[T], now time.Time) bool {
	q.advance(now)
	if q.waitersOf[w.Organisation] >= MaxExcess*(q.capacity-q.Len()) {
		return false
	}
	if w.Attempted.IsZero() {
		w.Attempted = now
	}
	q.enqueue(w, !w.OnTimeUntil.After(now))
	heap.Push(&q.events, w)
	q.waitersOf[w.Organisation]++
	q.arrived(w, now)
	return true
}

// enqueue adds a waiter to its lane.
func (q *Queue[T]) enqueue(w *Waiter[T], late bool) {
	w.lane = q.laneOf(laneKey{late, w.Rank, w.class()})
	q.metrics.addWaiting(late, 1)
	w.item = organisation.Item[*Waiter[T]]{Value: w, Organisation: w.Organisation, Cost: w.cost(), QueuedAt: w.Arrived}
	w.lane.queue.Push(&w.item)
	q.queued[w.class()]++
}

func (q *Queue[T]) laneOf(key laneKey) *lane[T] {
	at, found := slices.BinarySearchFunc(q.lanes, key, func(l *lane[T], key laneKey) int { return l.key.compare(key) })
	if !found {
		added := &lane[T]{key, organisation.NewQueue[*Waiter[T]](func(string) float64 { return 1 }), ratemeter.New(arrivalTimeConstant)}
		q.lanes = slices.Insert(q.lanes, at, added)
	}
	return q.lanes[at]
}

// Remove removes a waiter. It does nothing if the waiter is not queued.
func (q *Queue[T]) Remove(w *Waiter[T]) {
	if w.lane == nil {
		return
	}
	q.dequeue(w)
	q.forget(w)
}

// forget removes a waiter that has left its lane.
func (q *Queue[T]) forget(w *Waiter[T]) {
	heap.Remove(&q.events, w.index)
	w.lane = nil
	if q.waitersOf[w.Organisation]--; q.waitersOf[w.Organisation] == 0 {
		delete(q.waitersOf, w.Organisation)
	}
}

// dequeue removes a waiter from its lane.
func (q *Queue[T]) dequeue(w *Waiter[T]) {
	w.lane.queue.Remove(&w.item)
	q.left(w)
}

// Step offers places to the waiters in order, and returns how many were placed;
// place reports whether it reserved a place for the waiter, and gets whether the
// waiter can only be late.
//
// A lane whose waiters find no place does not block the lanes behind it, since a
// brief generation needs other resources than a long one. Late waiters get no
// place that a waiter before them with no greater need would use on time.
func (q *Queue[T]) Step(place func(w *Waiter[T], late bool) bool) (placed int) {
	var blocked blockedNeeds
	for _, l := range q.lanes {
		for l.queue.Len() > 0 {
			chosen := l.next(func(w *Waiter[T]) bool {
				switch {
				case l.key.late && blocked.precede(w.Scope, w.class(), w.Need.PromptTokens):
				case place(w, l.key.late):
					return true
				case !l.key.late:
					blocked.add(w.Scope, w.class(), w.Need.PromptTokens)
				}
				return false
			})
			if chosen == nil {
				break
			}
			q.serve(chosen)
			placed++
		}
	}
	for c := range q.queued {
		q.service[c].waiting = q.queued[c] > 0
	}
	return placed
}

// blockedNeeds are the prompt tokens of the smallest waiters that can be on time and
// found no place in a step, by scope and class; zero: none.
type blockedNeeds map[string][classes]int

func (b *blockedNeeds) add(scope string, c class, tokens int) {
	if *b == nil {
		*b = blockedNeeds{}
	}
	smallest := (*b)[scope]
	if tokens = max(1, tokens); smallest[c] == 0 || tokens < smallest[c] {
		smallest[c] = tokens
		(*b)[scope] = smallest
	}
}

// precede reports whether a late waiter would take a place for which one that can be
// on time waits, in its scope or anywhere. Long generations delay brief ones while
// their prompts are read; brief ones end too soon to take the memory for which long
// ones wait.
func (b blockedNeeds) precede(scope string, c class, tokens int) bool {
	for _, s := range []string{"", scope} {
		for other, smallest := range b[s] {
			if class(other) <= c && smallest > 0 && tokens >= smallest {
				return true
			}
		}
	}
	return false
}

// serve removes a waiter that was placed.
func (q *Queue[T]) serve(w *Waiter[T]) {
	q.service[w.class()].placed(w.cost())
	q.metrics.placed(w.lane.key.late, q.now.Sub(w.Attempted))
	if !w.forecast.IsZero() {
		q.metrics.observeForecastError(q.now.Sub(w.forecast))
	}
	w.lane.queue.Serve(&w.item)
	q.left(w)
	q.forget(w)
}

// left counts a waiter that has left its lane.
func (q *Queue[T]) left(w *Waiter[T]) {
	q.metrics.addWaiting(w.lane.key.late, -1)
	if c := w.class(); q.queued[c] > 1 {
		q.queued[c]--
	} else {
		q.queued[c], q.service[c].waiting = 0, false
	}
}

// next returns the first waiter of the lane for which place returns true, or nil.
func (l *lane[T]) next(place func(w *Waiter[T]) bool) (chosen *Waiter[T]) {
	var blocked map[string]int // waiters, by scope
	l.queue.Each(func(item *organisation.Item[*Waiter[T]]) bool {
		w := item.Value
		if blocked[w.Scope] >= maxBlocked {
			return true
		}
		if place(w) {
			chosen = w
			return false
		}
		if blocked == nil {
			blocked = map[string]int{}
		}
		blocked[w.Scope]++
		return blocked[""] < maxBlocked
	})
	return chosen
}

// Expired moves the waiters that can no longer be on time to the late lanes, and
// removes and returns those that may not be held any longer. Call it before Step.
func (q *Queue[T]) Expired(now time.Time) (expired []*Waiter[T]) {
	q.advance(now)
	for len(q.events) > 0 && !q.events[0].nextEvent().After(now) {
		w := q.events[0]
		if !w.becomesLate() {
			q.Remove(w)
			expired = append(expired, w)
			continue
		}
		q.moveToLate(w)
		heap.Fix(&q.events, w.index)
	}
	return expired
}

// moveToLate moves a waiter from its on-time lane to the late one.
func (q *Queue[T]) moveToLate(w *Waiter[T]) {
	w.lane.queue.Remove(&w.item)
	q.metrics.addWaiting(false, -1)
	q.queued[w.class()]--
	q.enqueue(w, true)
}

// NextEvent returns when a waiter becomes late or expires; zero: never.
func (q *Queue[T]) NextEvent() time.Time {
	if len(q.events) == 0 {
		return time.Time{}
	}
	return q.events[0].nextEvent()
}

// nextEvent is when the waiter becomes late, or expires if it is late or does so first.
func (w *Waiter[T]) nextEvent() time.Time {
	if w.becomesLate() {
		return w.OnTimeUntil
	}
	return w.HoldUntil
}

// becomesLate reports whether the waiter becomes late before it expires.
func (w *Waiter[T]) becomesLate() bool {
	return !w.lane.key.late && w.OnTimeUntil.Before(w.HoldUntil)
}

// eventHeap orders waiters by nextEvent.
type eventHeap[T any] []*Waiter[T]

func (h eventHeap[T]) Len() int           { return len(h) }
func (h eventHeap[T]) Less(i, j int) bool { return h[i].nextEvent().Before(h[j].nextEvent()) }
func (h eventHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *eventHeap[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *eventHeap[T]) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
