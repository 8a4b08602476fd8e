package admission

import (
	"math"
	"time"

	"github.com/papayasail/papayasail/organisation"
)

const (
	// serviceTimeConstant is the time with waiting work over which the service
	// rate is averaged.
	serviceTimeConstant = 5 * time.Second
	// idleTimeConstant is the time without waiting work over which an earlier
	// service rate loses its weight. Engines join and leave meanwhile.
	idleTimeConstant = 20 * time.Second
	// minMeasured is the time with waiting work after which a service rate is known.
	minMeasured = 500 * time.Millisecond
	// stallTime is the time for which work has to wait without any placement
	// until the rate counts as zero.
	stallTime = 5 * time.Second
	// arrivalTimeConstant is the time over which arriving on-time work is averaged.
	arrivalTimeConstant = 5 * time.Second
	// minLateShare is the share of the service rate that a forecast for late work
	// counts on at least, also if on-time work arrives at a higher rate than it is
	// served. Such bursts usually end before late work has to start.
	minLateShare = 0.5
)

// endless is the forecast of a wait whose end is not in sight.
const endless = time.Hour

// class divides generations by the resource that they wait for: brief ones for
// prefill, long ones for memory.
type class int

const (
	brief class = iota
	long
	classes
)

func (w *Waiter[T]) class() class {
	if w.Need.Brief() {
		return brief
	}
	return long
}

// serviceRate estimates how many tokens of waiting generations are placed per
// second, from the placements made while generations were waiting. Those made
// while nothing waits say how much arrives, not how much can be served.
//
// It assumes that the next seconds are like the last ones. At the beginning of a
// shortage it therefore reflects the generations that end then, which were placed
// at the lower rate before the shortage. It is not known until generations have
// waited for minMeasured in total. While nothing waits the estimate stays as it
// is, but loses its weight, so that it is soon replaced when work waits again, and
// is not known after some idleTimeConstant.
type serviceRate struct {
	tokens  float64       // decayed sum of the tokens placed while work waited
	waited  float64       // decayed time for which work waited, in seconds
	waiting bool          // work is waiting
	at      time.Time     // time of the last decay
	stalled time.Duration // time for which work has waited since the last placement, less the time without waiting work
}

// advance decays the estimate.
func (r *serviceRate) advance(now time.Time) {
	age := now.Sub(r.at)
	if age <= 0 {
		return
	}
	switch {
	case r.at.IsZero():
	case r.waiting:
		seconds := serviceTimeConstant.Seconds()
		kept := math.Exp(-age.Seconds() / seconds)
		r.tokens *= kept
		r.waited = r.waited*kept + seconds*(1-kept)
		r.stalled += age
	default:
		kept := math.Exp(-age.Seconds() / idleTimeConstant.Seconds())
		r.tokens *= kept
		r.waited *= kept
		r.stalled = max(0, r.stalled-age)
	}
	r.at = now
}

// placed counts a placement.
func (r *serviceRate) placed(tokens float64) {
	if r.waiting {
		r.tokens += tokens
	}
	r.stalled = 0
}

// perSecond returns the estimate.
func (r *serviceRate) perSecond() (tokens float64, known bool) {
	if r.stalled >= stallTime {
		return 0, true
	}
	if r.waited < minMeasured.Seconds() || r.tokens <= 0 {
		return 0, false
	}
	return r.tokens / r.waited, true
}

// highPerSecond returns the estimate plus twice its standard error, if generations
// cost the given tokens each.
func (r *serviceRate) highPerSecond(cost float64) (tokens float64, known bool) {
	tokens, known = r.perSecond()
	if tokens > 0 {
		tokens += 2 * math.Sqrt(r.tokens*cost) / r.waited
	}
	return tokens, known
}

// advance brings the meters of the queue up to now.
func (q *Queue[T]) advance(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
	for i := range q.service {
		q.service[i].advance(now)
	}
}

// arrived counts a waiter as arriving on-time work, unless it was counted before.
func (q *Queue[T]) arrived(w *Waiter[T], now time.Time) {
	if w.Repeated || w.counted || w.lane.key.late {
		return
	}
	w.counted = true
	w.lane.arrivals.Add(w.cost(), now)
}

// OnTimeTokensPerSecond returns the rate at which long generations arrive that can be
// on time, a moving average over arrivalTimeConstant, in tokens of engine memory.
// Brief ones are not counted, because they hold memory for a moment only.
func (q *Queue[T]) OnTimeTokensPerSecond(now time.Time) float64 {
	return q.onTimeArrivals(long, now)
}

// onTimeArrivals returns the rate at which on-time work of a class arrives.
func (q *Queue[T]) onTimeArrivals(c class, now time.Time) (tokens float64) {
	for _, l := range q.lanes {
		if !l.key.late && l.key.class == c {
			tokens += l.arrivals.PerSecond(now)
		}
	}
	return tokens
}

// Forecast returns the expected wait until the waiter is placed, in queue order;
// known is false before anything was measured. The waiter need not be queued.
//
// It assumes the service rate of the last seconds (see serviceRate), that on-time
// work in the lanes before the waiter's continues to arrive as it did, but leaves
// minLateShare to late work, and that no other work joins the waiter's own lane. A
// waiter that is not forecast to be on time is counted behind the on-time work.
func (q *Queue[T]) Forecast(w *Waiter[T], now time.Time) (wait time.Duration, known bool) {
	q.advance(now)
	c := w.class()
	perSecond, known := q.service[c].perSecond()
	if !known {
		return 0, false
	}
	if w.OnTimeUntil.After(now) {
		ahead, arriving := q.ahead(w, false, now)
		if wait := duration(ahead, perSecond-arriving); !now.Add(wait).After(w.OnTimeUntil) {
			return wait, true
		}
	}
	ahead, arriving := q.ahead(w, true, now)
	return duration(ahead, max(perSecond-arriving, minLateShare*perSecond)), true
}

// earliest returns the wait if the waiter gets the whole service rate after the
// work that is queued ahead of it, and if the rate is as high as it may be by the
// measurements.
func (q *Queue[T]) earliest(w *Waiter[T], now time.Time) (wait time.Duration, known bool) {
	q.advance(now)
	perSecond, known := q.service[w.class()].highPerSecond(w.cost())
	if !known {
		return 0, false
	}
	if w.OnTimeUntil.After(now) {
		ahead, _ := q.ahead(w, false, now)
		if wait := duration(ahead, perSecond); !now.Add(wait).After(w.OnTimeUntil) {
			return wait, true
		}
	}
	ahead, _ := q.ahead(w, true, now)
	return duration(ahead, perSecond), true
}

// ahead returns the tokens that are queued before the waiter in the on-time or late
// lane of its rank, including its own, and the rate at which work arrives in the
// lanes before that lane. It counts work of the waiter's class only, because the
// other class needs other resources.
func (q *Queue[T]) ahead(w *Waiter[T], late bool, now time.Time) (tokens, arriving float64) {
	key := laneKey{late: late, rank: w.Rank, class: w.class()}
	tokens = w.cost()
	for _, l := range q.lanes {
		switch order := l.key.compare(key); {
		case l.key.class != key.class || order > 0:
		case order < 0:
			tokens += l.queue.Cost()
			if l == w.lane {
				tokens -= w.cost()
			}
			arriving += l.arrivals.PerSecond(now)
		case l == w.lane:
			tokens += l.queue.CostBefore(&w.item)
		default:
			item := organisation.Item[*Waiter[T]]{Organisation: w.Organisation, Cost: w.cost(), QueuedAt: w.Arrived}
			tokens += l.queue.CostBefore(&item)
		}
	}
	return tokens, arriving
}

// duration returns the time in which tokens are served, at most endless.
func duration(tokens, perSecond float64) time.Duration {
	if perSecond <= 0 || tokens/perSecond >= endless.Seconds() {
		return endless
	}
	return time.Duration(tokens / perSecond * float64(time.Second))
}
