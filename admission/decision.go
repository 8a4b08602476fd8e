package admission

import "time"

// Reasons of refusals.
const (
	ReasonHopeless  = "hopeless"   // it is not forecast to start early enough to end before its deadline
	ReasonNoTime    = "no_time"    // the caller leaves no time for a wait
	ReasonQueueFull = "queue_full" // the queue has no room
	ReasonExpired   = "expired"    // it waited as long as it may be held
)

// MinRetryAfter is the least delay after which a refused caller is told to retry.
const MinRetryAfter = 400 * time.Millisecond

// Decision is the result for a generation that could not be placed.
type Decision struct {
	// Hold reports whether it waits in the queue; the other fields are for refusals.
	Hold bool
	// RetryAfter is when the caller should retry.
	RetryAfter time.Duration
	// Place reports whether the queue position is to be kept: the caller is expected
	// to retry. Pass RetryAfter to Returns.Keep as the due time, and twice that as its
	// end.
	Place  bool
	Reason string
	// Forecast is the expected wait until it is placed, if ForecastKnown is set.
	Forecast      time.Duration
	ForecastKnown bool
}

// Caller describes how long the caller waits and how it retries.
type Caller struct {
	Deadline time.Time
	// HonourShare is the share of the remaining time for which the caller honours a
	// retry delay.
	HonourShare float64
	// Returned reports whether the caller has retried already: Returns.Claim has
	// returned an arrival.
	Returned bool
}

// Admit decides whether a waiter that could not be placed is held. Call it after
// Push and Step; it also accepts one that Push has rejected. It removes a refused
// waiter from the queue.
func (q *Queue[T]) Admit(w *Waiter[T], caller Caller, now time.Time) Decision {
	wait, known := q.Forecast(w, now)
	reason := ""
	switch earliest, earliestKnown := q.earliest(w, now); {
	case !w.StartBy.After(now) || !w.HoldUntil.After(now):
		reason = ReasonNoTime
	case earliestKnown && now.Add(earliest).After(w.StartBy):
		reason = ReasonHopeless
	case w.lane == nil:
		reason = ReasonQueueFull
	default:
		if known && w.forecast.IsZero() {
			w.forecast = now.Add(wait)
		}
		return Decision{Hold: true, Forecast: wait, ForecastKnown: known}
	}
	q.Remove(w)
	return q.refuse(w, caller, reason, wait, known, now)
}

// Expire decides when the caller of a waiter that Expired has returned should retry.
func (q *Queue[T]) Expire(w *Waiter[T], caller Caller, now time.Time) Decision {
	wait, known := q.Forecast(w, now)
	return q.refuse(w, caller, ReasonExpired, wait, known, now)
}

// refuse returns a refusal. The retry delay is the forecast wait, but after the
// retry times of the callers that were refused before, one after the other at the
// rate at which work is placed: more callers than can be placed would be refused
// again. A delay that the caller would not honour is shortened.
func (q *Queue[T]) refuse(w *Waiter[T], caller Caller, reason string, wait time.Duration, known bool, now time.Time) Decision {
	q.metrics.refused(reason)
	d := Decision{Reason: reason, Forecast: wait, ForecastKnown: known}
	most := max(MinRetryAfter, time.Duration(caller.HonourShare*float64(caller.Deadline.Sub(now))))
	d.RetryAfter = min(max(wait, MinRetryAfter), most)
	if caller.Returned || w.Fingerprint == 0 {
		return d
	}
	d.Place = true
	next := &q.nextReturn[w.class()]
	due := now.Add(max(wait, MinRetryAfter))
	if due.Before(*next) {
		due = *next
	}
	if due.Sub(now) <= most {
		d.RetryAfter = due.Sub(now)
		*next = due.Add(q.spacing(w, now))
	} else {
		d.RetryAfter = most
	}
	return d
}

// spacing returns the time in which late work of a waiter's size is placed.
func (q *Queue[T]) spacing(w *Waiter[T], now time.Time) time.Duration {
	perSecond, _ := q.service[w.class()].perSecond()
	if perSecond <= 0 {
		return 0
	}
	return duration(w.cost(), max(perSecond-q.onTimeArrivals(w.class(), now), minLateShare*perSecond))
}
