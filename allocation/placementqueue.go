package allocation

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/admission"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/placement"
)

const (
	// MaxHold is the longest time for which a call for a place is held at an
	// allocator. Hosts ask again until the request may wait no longer: if the
	// allocator dies, they learn of it in time.
	MaxHold = 500 * time.Millisecond
	// queueCapacity bounds the generations that wait in one part.
	queueCapacity = 8192
	// stepInterval is the interval between attempts to place waiting generations
	// while nothing is reported: reservations expire, and servers recover.
	stepInterval = 40 * time.Millisecond
	// stepSpacing is the least time between two steps for changes of the load. The
	// hosts of a fleet report up to several hundred times per second.
	stepSpacing = 10 * time.Millisecond
	// PatienceMargin is how long before a caller gives up its request is refused, so
	// that the refusal arrives in time.
	PatienceMargin = 300 * time.Millisecond
	// expirySlack is by how much a call may end before the time until which its
	// request may be held, and still be answered with the final refusal. Times are
	// sent in ms, and the host rounds down.
	expirySlack = 20 * time.Millisecond
	// refusalTransit bounds the time that a refusal takes to its caller, who honours a
	// share of the time that is left then.
	refusalTransit = 100 * time.Millisecond
	// defaultPace is the time per output token of engines whose pace is not known.
	defaultPace = 15 * time.Millisecond
	// unlimited is the time limit of requests without one.
	unlimited = time.Hour
)

// ticket is one call for a place for a generation.
type ticket struct {
	host, domain string
	except       []string
	request      PlacementRequest
	caller       admission.Caller
	keptPlace    bool           // it has the queue position of an earlier attempt
	forecast     time.Duration  // expected wait; zero: not known
	result       chan Placement // receives the placement or the refusal of a waiting ticket
}

type waiter = admission.Waiter[*ticket]

// placementQueue orders the generations that ask for a place in one part. Those
// that can be placed at once pass through it too, so that none overtakes others
// that wait for the same resources.
type placementQueue struct {
	allocator *Allocator
	part      Part

	// mu guards the fields below. Lock order: mu, then the locks of offerTable,
	// refusals and fleet.Table.
	mu      sync.Mutex
	queue   *admission.Queue[*ticket]
	returns *admission.Returns
	running bool // run is running
}

// placementQueue returns the queue of a part.
func (a *Allocator) placementQueue(part Part) *placementQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.placementQueues[part]
	if q == nil {
		q = &placementQueue{allocator: a, part: part, queue: admission.NewQueue[*ticket](queueCapacity), returns: admission.NewReturns(admission.MaxReturns, a.Metrics)}
		q.queue.SetMetrics(a.Metrics)
		a.placementQueues[part] = q
	}
	return q
}

// place returns the result for a ticket, at the latest after the time for which it
// may be held. If ctx ends, the ticket leaves the queue.
func (q *placementQueue) place(ctx context.Context, t *ticket) Placement {
	w, placed, settled := q.join(t)
	if settled {
		return placed
	}
	timer := time.NewTimer(t.request.Hold)
	defer timer.Stop()
	select {
	case placed = <-t.result:
		return placed
	case <-timer.C:
	case <-ctx.Done():
	}
	return q.leave(ctx, w)
}

// join queues a ticket and steps the queue. settled is false if the ticket waits.
func (q *placementQueue) join(t *ticket) (w *waiter, placed Placement, settled bool) {
	round := q.newRound()
	q.mu.Lock()
	defer q.mu.Unlock()
	w = q.waiterOf(t, round)
	q.expire(round)
	// A request that was tried before waits for the next step: with a thousand of them,
	// a step for each call would take most of a core in a large fleet.
	if q.queue.Push(w, round.now) && (!t.request.AskedBefore || t.request.Hold <= 0) {
		q.step(round)
	}
	select {
	case placed = <-t.result:
		return w, placed, true
	default:
	}
	if t.request.Hold <= 0 {
		q.queue.Remove(w)
		return w, q.refuse(w, admission.Decision{}, round), true
	}
	decision := q.queue.Admit(w, t.caller, round.now)
	t.forecast = decision.Forecast
	if !decision.Hold {
		return w, q.refuse(w, decision, round), true
	}
	if !q.running {
		q.running = true
		go q.run()
	}
	return w, Placement{}, false
}

// leave removes a ticket whose call ends. If its request may not be held any
// longer, it is refused; otherwise the host may ask again.
func (q *placementQueue) leave(ctx context.Context, w *waiter) Placement {
	round := q.newRound()
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case placed := <-w.Value.result:
		return placed
	default:
	}
	q.queue.Remove(w)
	if ctx.Err() == nil && !round.now.Add(expirySlack).Before(w.HoldUntil) {
		return q.refuse(w, q.queue.Expire(w, w.Value.caller, round.now), round)
	}
	return Placement{Held: round.now.Sub(w.Attempted), Forecast: w.Value.forecast}
}

// run steps the queue while generations wait.
func (q *placementQueue) run() {
	for {
		changed := q.allocator.fleet.Changed()
		wait, waiting := q.stepWaiting()
		if !waiting {
			return
		}
		time.Sleep(stepSpacing)
		select {
		case <-changed:
		case <-time.After(wait - stepSpacing):
		}
	}
}

// stepWaiting steps the queue and returns the time until the next step. waiting is
// false if nothing waits any more.
func (q *placementQueue) stepWaiting() (wait time.Duration, waiting bool) {
	round := q.newRound()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(round)
	q.step(round)
	if q.queue.Len() == 0 {
		q.running = false
		return 0, false
	}
	return min(stepInterval, q.queue.NextEvent().Sub(round.now)), true
}

// expire refuses the tickets that may not be held any longer. Requires mu.
func (q *placementQueue) expire(round *round) {
	for _, w := range q.queue.Expired(round.now) {
		w.Value.result <- q.refuse(w, q.queue.Expire(w, w.Value.caller, round.now), round)
	}
}

// step places the waiters that find a place, in queue order. Requires mu.
func (q *placementQueue) step(round *round) {
	round.onTimeTokensPerSecond = q.queue.OnTimeTokensPerSecond(round.now)
	q.queue.Step(func(w *waiter, late bool) bool {
		placed, ok := q.try(w, late, round)
		if ok {
			w.Value.result <- placed
		}
		return ok
	})
}

// try places a waiter, or returns another part to send it to. Requires mu.
func (q *placementQueue) try(w *waiter, late bool, round *round) (Placement, bool) {
	a, t := q.allocator, w.Value
	candidates := round.candidates(t)
	limits := a.limits
	if late && !w.Need.Brief() {
		limits = limits.Late(round.onTimeTokensPerSecond, totalMemory(candidates))
	}
	waited := round.now.Sub(w.Attempted)
	i := placement.Pick(w.NeedAt(round.now, late), candidates, limits, a.draw)
	if betterPart, found := a.betterPart(q.part, t.request, candidates, i >= 0); found {
		a.logger.Info(msgOnward, zap.String("request", w.Request), zap.String("for", t.host), zap.String("domain", betterPart.Domain),
			zap.Bool("place_here", i >= 0), zap.Int("candidates", len(candidates)), zap.Duration("waited", waited))
		return Placement{Elsewhere: betterPart, Held: waited}, true
	}
	if i < 0 {
		return Placement{}, false
	}
	chosen := &candidates[i]
	a.logger.Info(MsgPlaced, zap.String("request", w.Request), zap.String("for", t.host), zap.String("to", chosen.ID),
		zap.Int("running", chosen.Running), zap.Int("held_tokens", chosen.HeldTokens), zap.Int("unread_tokens", chosen.UnreadTokens),
		zap.Bool("returning", w.Need.Returning), zap.Int("candidates", len(candidates)), zap.Duration("waited", waited),
		zap.Bool("late", late), zap.Int("rank", w.Rank), zap.Bool("kept_place", t.keptPlace), zap.Int("waiting", q.queue.Len()))
	load := fleet.LoadOf(w.Need, 0, false)
	a.fleet.Reserve(t.host, chosen.ID, w.Request, load)
	round.reserved(chosen.ID, load)
	return Placement{Server: chosen.ID, Held: waited}, true
}

// refuse records that a request found no place, and returns the answer for its
// host. It is final if the decision has a reason. Requires mu.
func (q *placementQueue) refuse(w *waiter, decision admission.Decision, round *round) Placement {
	a, t := q.allocator, w.Value
	a.refusals.record(w.Fingerprint, w.Request, t.request.Arrived)
	if decision.Place {
		q.returns.Keep(w.Fingerprint, w.Request, w.Arrived, round.now.Add(decision.RetryAfter), round.now.Add(2*decision.RetryAfter))
	}
	candidates, waited := round.candidates(t), round.now.Sub(w.Attempted)
	shortage := placement.ShortageOf(w.Need, candidates, a.limits)
	fields := []zap.Field{
		zap.String("request", w.Request), zap.String("for", t.host), zap.Int("candidates", len(candidates)),
		zap.Int("prompt_tokens", w.Need.PromptTokens), zap.Int("output_tokens", w.Need.OutputTokens), zap.Bool("returning", w.Need.Returning),
		zap.Int("lack_reading", shortage.Reading), zap.Int("lack_slots", shortage.Slots), zap.Int("lack_memory", shortage.Memory),
		zap.Int("lack_warmth", shortage.Warmth),
	}
	if decision.Reason != "" {
		fields = append(fields, zap.String("reason", decision.Reason), zap.Duration("retry_after", decision.RetryAfter), zap.Duration("waited", waited),
			zap.Time("held_until", w.HoldUntil), zap.Bool("keeps_place", decision.Place), zap.Bool("kept_place", t.keptPlace),
			zap.Int("rank", w.Rank), zap.Int("waiting", q.queue.Len()))
		if decision.ForecastKnown {
			fields = append(fields, zap.Duration("forecast", decision.Forecast))
		}
	}
	a.logger.Info(MsgNoPlace, fields...)
	return Placement{Refused: decision.Reason != "", Reason: decision.Reason, RetryAfter: decision.RetryAfter, Held: waited, Forecast: decision.Forecast}
}

// waiterOf returns the waiter for a ticket. Requires mu.
func (q *placementQueue) waiterOf(t *ticket, round *round) *waiter {
	req, now := &t.request, round.now
	if req.Arrived.IsZero() {
		req.Arrived = now
	}
	w := &waiter{
		Value: t, Request: req.Request, Fingerprint: req.Fingerprint, Organisation: req.Organisation, Rank: req.Rank, Need: req.Need, Scope: strings.Join(req.Domains, ","),
		Arrived: req.Arrived, Attempted: req.Arrived, Repeated: req.AskedBefore,
	}
	w.Need.Returning = q.allocator.refusals.returning(req.Fingerprint, req.Request)
	if req.GiveUp.IsZero() {
		// It is tried once, with the work that can be on time.
		w.OnTimeUntil, w.HoldUntil, w.StartBy = now.Add(unlimited), now.Add(unlimited), now.Add(unlimited)
		return w
	}
	firstArrived := req.Arrived
	if arrived, known := q.allocator.refusals.firstArrival(req.Fingerprint, req.Request); known {
		firstArrived = arrived
	}
	arrived, kept := q.returns.Claim(req.Fingerprint, req.Request, now)
	if !arrived.IsZero() {
		firstArrived = arrived
	}
	if kept {
		t.keptPlace, w.Arrived = true, arrived
	}
	delay := placement.MinFirstEventDelay(w.Need)
	w.OnTimeUntil = req.Goal.Add(firstArrived.Sub(req.Arrived) - delay)
	w.StartBy = req.Deadline.Add(-delay - time.Duration(w.Need.OutputTokens)*paceOf(round.candidates(t)))
	w.HoldUntil = req.GiveUp.Add(-PatienceMargin - delay)
	if w.StartBy.Before(w.HoldUntil) {
		w.HoldUntil = w.StartBy
	}
	t.caller = admission.Caller{Deadline: req.Deadline.Add(-refusalTransit), HonourShare: req.HonourShare, Returned: !arrived.IsZero() || w.Need.Returning}
	return w
}

// paceOf returns the median of the engines' known times per output token.
func paceOf(candidates []placement.Candidate) time.Duration {
	paces := make([]time.Duration, 0, len(candidates))
	for i := range candidates {
		if pace := candidates[i].Pace; pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) == 0 {
		return defaultPace
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// totalMemory returns the memory of all engines, in tokens.
func totalMemory(candidates []placement.Candidate) (tokens int) {
	for i := range candidates {
		tokens += candidates[i].MemoryTokens
	}
	return tokens
}

// round is the state of one step of a queue. It caches the candidates, since one
// step tries several waiters.
type round struct {
	allocator             *Allocator
	part                  Part
	now                   time.Time
	coldShare             float64
	onTimeTokensPerSecond float64
	byQuery               map[string][]placement.Candidate // by allowed failure domains and excluded servers
}

// newRound returns the state of a step that begins now. It must not be called with
// the lock of a queue held: ColdShare may acquire the locks of the membership.
func (q *placementQueue) newRound() *round {
	return &round{allocator: q.allocator, part: q.part, now: time.Now(), coldShare: q.allocator.coldShare(q.part)}
}

// candidates returns the servers that may get the ticket's generation. The slice is
// valid until the next call.
func (r *round) candidates(t *ticket) []placement.Candidate {
	key := strings.Join(t.request.Domains, ",") + "\x00" + strings.Join(t.except, ",")
	candidates, known := r.byQuery[key]
	if !known {
		candidates = r.allocator.candidatesIn(t.request.Domains, r.part, t.domain, r.coldShare, t.except...)
		if r.byQuery == nil {
			r.byQuery = map[string][]placement.Candidate{}
		}
		r.byQuery[key] = candidates
	}
	for i := range candidates {
		candidates[i].SameDomain = candidates[i].Domain == t.domain
	}
	return candidates
}

// reserved adds a reservation to the cached candidates. Those of a server in its slow
// start are dropped, because the reservation counts against its rate limit too.
func (r *round) reserved(server string, load fleet.Load) {
	for key, candidates := range r.byQuery {
		i := slices.IndexFunc(candidates, func(c placement.Candidate) bool { return c.ID == server })
		switch {
		case i < 0:
		case candidates[i].SlowStart:
			delete(r.byQuery, key)
		default:
			c := &candidates[i]
			c.Running += load.Requests
			c.HeldTokens += load.HeldTokens
			c.UsedTokens += load.UsedTokens
			c.UnreadTokens += load.UnreadTokens
			c.BriefUnreadTokens += load.BriefUnreadTokens
		}
	}
}
