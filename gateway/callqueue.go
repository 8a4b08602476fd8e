package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/papayasail/papayasail/admission"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/placement"
)

const (
	// callHoldMargin is how many service times before its deadline a call is refused if it
	// has no place. A server's queue may be longer than expected, and an answer after the
	// deadline is lost.
	callHoldMargin = 6
	// pressedDivisor divides the time from a call's arrival to its deadline; when only the
	// quotient is left, a late call is pressed.
	pressedDivisor = 2
)

// callQueues holds the queues of waiting calls, by service.
type callQueues struct {
	mu     sync.Mutex // guards queues; no other lock is acquired while it is held
	queues map[string]*callQueue
}

func (q *callQueues) of(service string) *callQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queues[service]
	if queue == nil {
		if q.queues == nil {
			q.queues = map[string]*callQueue{}
		}
		queue = newCallQueue()
		q.queues[service] = queue
	}
	return queue
}

// prune drops the queues of services that a configuration does not have. Calls that wait
// in them continue to be offered places at intervals.
func (q *callQueues) prune(c *Configuration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for service := range q.queues {
		if c.Services[service] == nil {
			delete(q.queues, service)
		}
	}
}

// callWaiter is a call that waits for a place.
type callWaiter = admission.Waiter[*waitingCall]

type waitingCall struct {
	reserve func(late bool) *fleet.Work
	placed  chan *fleet.Work // receives the reservation; capacity 1
}

// callQueue is the queue of the calls to a plain service that wait at this host: those
// that can be on time first, then by arrival.
//
// One call is offered a place for each call that ends, because its answer reports the load
// of a server. If all were offered places, they would be sent by the same report, and late
// ones would displace those that can be on time.
type callQueue struct {
	mu      sync.Mutex // guards all below; locked before fleet.Table
	waiting *admission.Queue[*waitingCall]
	offered time.Time // when waiting calls were last offered a place
}

func newCallQueue() *callQueue {
	return &callQueue{waiting: admission.NewQueue[*waitingCall](maxHeld)}
}

// push queues a call, and offers a place to the first one in the queue. It returns false if
// the queue is full.
func (q *callQueue) push(w *callWaiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Expired(now)
	if !q.waiting.Push(w, now) {
		return false
	}
	q.offerFirst(now)
	return true
}

// offer offers a place to the first call.
func (q *callQueue) offer(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.offerFirst(now)
}

// poll offers a place to the first call if none was offered lately.
func (q *callQueue) poll(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.offered) >= placementInterval {
		q.offerFirst(now)
	}
}

// offerFirst places at most one call. If it finds no place, neither do those behind it that
// may use the same servers. Requires mu.
func (q *callQueue) offerFirst(now time.Time) {
	if q.waiting.Len() == 0 {
		return
	}
	q.offered = now
	q.waiting.Expired(now) // their own timers end their waits
	placed, full := false, map[string]bool{}
	q.waiting.Step(func(w *callWaiter, late bool) bool {
		if placed || full[w.Scope] {
			return false
		}
		work := w.Value.reserve(late)
		if work == nil {
			full[w.Scope] = true
			return false
		}
		placed = true
		w.Value.placed <- work
		return true
	})
}

// remove removes a call, and returns the place that it has got meanwhile, or nil.
func (q *callQueue) remove(w *callWaiter) *fleet.Work {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Remove(w)
	select {
	case work := <-w.Value.placed:
		return work
	default:
		return nil
	}
}

// queuesCalls reports whether the request waits in a queue of calls where the service time
// of its servers is known.
func (t *task) queuesCalls() bool {
	return t.route.Kind != Generation && t.route.Goal > 0 && !t.gateway.options.Limits.IgnoreCallTimes
}

// shortestCallTime returns the shortest expected time of a call at the candidates if they
// were idle; zero: not known.
func shortestCallTime(candidates []placement.Candidate) (shortest time.Duration) {
	for i := range candidates {
		if c := &candidates[i]; c.Time != nil {
			if took := c.Time.End(0); shortest == 0 || took < shortest {
				shortest = took
			}
		}
	}
	return shortest
}

// queuedAs returns the name under which an organisation's calls are queued. Only the first
// call of a name is offered a place, so calls that may use other servers have another name.
func queuedAs(organisation, scope string) string { return organisation + "\x00" + scope }

// placeCall reserves capacity for a call that takes at least the given time, and waits for
// its turn as long as it can be answered before its deadline.
func (t *task) placeCall(ctx context.Context, took time.Duration) (*fleet.Work, Reason) {
	now, queue := time.Now(), t.gateway.waitingCalls.of(t.service.Name)
	reserve := func(late bool) *fleet.Work { return t.reserveCall(ctx, late) }
	scope := strings.Join(append(t.allowedDomains(), t.tried...), " ")
	w := &callWaiter{
		Value: &waitingCall{reserve, make(chan *fleet.Work, 1)}, Request: t.request.shortID(), Organisation: queuedAs(t.organisation, scope), Rank: t.priority,
		Need: placement.Need{PromptTokens: 1}, Scope: scope,
		Arrived: t.request.Arrived, OnTimeUntil: t.request.Arrived.Add(t.route.Goal - took), HoldUntil: t.deadline.Add(-callHoldMargin * took),
	}
	if !now.Before(w.HoldUntil) {
		return nil, ReasonFull
	}
	if !queue.push(w, now) {
		return nil, ReasonFull
	}
	waiting, stopWaiting := t.gateway.waitContext(ctx, t.deadline)
	defer stopWaiting()
	waiting, cancel := context.WithDeadline(waiting, w.HoldUntil)
	defer cancel()
	poll := time.NewTicker(placementInterval)
	defer poll.Stop()
	for {
		select {
		case work := <-w.Value.placed:
			return work, ""
		case <-poll.C:
			queue.poll(time.Now())
		case <-waiting.Done():
			work := queue.remove(w)
			if work == nil && context.Cause(waiting) == errStopping {
				return nil, ReasonStopping
			}
			return work, ReasonFull
		}
	}
}

// reserveCall reserves capacity for a call at a server whose service time is known.
func (t *task) reserveCall(ctx context.Context, late bool) *fleet.Work {
	candidates := t.gateway.options.Fleet.CandidatesFor(t.candidateQuery())
	need := placement.Need{Late: late, Within: max(0, time.Until(t.request.Arrived.Add(t.route.Goal)))}
	if late {
		need.Within = time.Until(t.deadline)
		need.Pressed = need.Within < t.deadline.Sub(t.request.Arrived)/pressedDivisor
	}
	work := t.reserve(ctx, need, candidates)
	if work == nil {
		t.recordShortage(need, candidates)
	}
	return work
}
