package routing

import (
	"context"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/organisation"
)

// waiter is a queued request, waiting in Acquire.
type waiter struct {
	request Request
	item    organisation.Item[*waiter]
	// result receives the grant, or is closed on a refusal. Its buffer of one
	// keeps the sender from blocking on a waiter that has just given up.
	result  chan *grant
	refusal *contract.Refusal // set before result is closed
}

// missesDeadline reports whether a request that joined the queue now would miss
// its deadline, and the time after which it may be retried.
//
// Without this check, each request under overload would wait until its deadline
// before it is refused. Callers would occupy hosts without being served, and
// requests that could be served in time would queue behind requests that cannot.
// Called with mu held.
func (s *service) missesDeadline(request *Request, now time.Time) (wait time.Duration, missesDeadline bool) {
	if s.queue.Len() == 0 {
		return 0, false
	}
	perSecond := s.served.PerSecond(now)
	if perSecond <= 0 {
		return 0, false // the queue's service rate is not known
	}
	wait = time.Duration(s.queue.CostAhead(request.Organisation) / perSecond * float64(time.Second))
	return max(wait, minRetryAfter), now.Add(time.Duration(waitSafetyFactor * float64(wait))).After(request.Deadline)
}

// enqueue queues a request. Called with mu held.
func (s *service) enqueue(request Request, now time.Time) *waiter {
	w := &waiter{request: request, result: make(chan *grant, 1)}
	w.item = organisation.Item[*waiter]{
		Value:        w,
		Organisation: request.Organisation,
		Priority:     request.Priority,
		Cost:         s.cost(&request),
		QueuedAt:     now,
	}
	s.queue.Push(&w.item)
	return w
}

// wait blocks until the waiter is granted or refused, its deadline passes or ctx
// is done.
func (s *service) wait(ctx context.Context, w *waiter) (Grant, error) {
	timer := time.NewTimer(time.Until(w.request.Deadline))
	defer timer.Stop()
	select {
	case g := <-w.result:
		return s.finishWait(w, g)
	case <-timer.C:
		return s.giveUp(w, contract.NotRun(contract.ReasonDeadline, s.retryAfter(), "no backend server was free before the deadline"))
	case <-ctx.Done():
		refusal := contract.NotRun(contract.ReasonDeadline, s.retryAfter(), "given up while queued")
		return s.giveUp(w, refusal.WithCause(ctx.Err()))
	}
}

// finishWait records the result of a waiter and returns it; a nil grant means
// that the waiter was refused.
func (s *service) finishWait(w *waiter, g *grant) (Grant, error) {
	if g == nil {
		return nil, countRefusal(w.refusal)
	}
	grantsTotal.WithLabelValues("after_waiting").Inc()
	waitSeconds.Observe(time.Since(w.item.QueuedAt).Seconds())
	return g, nil
}

// giveUp removes a waiter from the queue. A grant that arrived concurrently is
// released unused; otherwise its slot on the server would leak.
func (s *service) giveUp(w *waiter, refusal *contract.Refusal) (Grant, error) {
	s.mu.Lock()
	s.queue.Remove(&w.item)
	s.mu.Unlock()
	select {
	case g := <-w.result:
		if g == nil {
			return nil, countRefusal(w.refusal)
		}
		g.Done(Result{NotRun: true})
	default:
		s.mu.Lock()
		s.limits.Release(w.request.Organisation)
		s.mu.Unlock()
	}
	return nil, countRefusal(refusal)
}

// serveQueue serves the queue as far as the policy allows. It acquires mu.
func (s *service) serveQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(time.Now())
}

// serve grants queued requests in fair order. If the first one has to wait, the
// requests behind it are not considered: a stream of small requests could starve
// a large one. Called with mu held.
func (s *service) serve(now time.Time) {
	if s.queue.Len() == 0 || !s.refresh(now) {
		return
	}
	for s.queue.Len() > 0 {
		item := s.queue.Peek()
		candidates, recoverable := s.candidates(&item.Value.request)
		if len(candidates) == 0 && !recoverable {
			s.refuse(item.Value, contract.NotRun(contract.ReasonNoBackendServer, retryNoServer, "no backend server may take the request"))
			continue
		}
		var chosen *candidate
		if len(candidates) > 0 {
			chosen = s.choose(&item.Value.request, candidates, now)
		}
		if chosen == nil {
			return
		}
		s.queue.Serve(item)
		item.Value.result <- s.grant(&item.Value.request, chosen, now)
	}
}

// refuse removes a request from the queue and refuses it. Called with mu held.
func (s *service) refuse(w *waiter, refusal *contract.Refusal) {
	s.queue.Remove(&w.item)
	s.limits.Release(w.request.Organisation)
	w.refusal = refusal
	close(w.result)
}

// refuseAll closes the service and refuses all queued requests.
func (s *service) refuseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for s.queue.Len() > 0 {
		s.refuse(s.queue.Peek().Value, contract.NotRun(contract.ReasonHostLeaving, retryNoServer, "entry host stops"))
	}
}

// retryAfter estimates the time after which a request that was not placed may be
// retried: the time to serve all requests queued now.
func (s *service) retryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	perSecond := s.served.PerSecond(time.Now())
	if perSecond <= 0 {
		return retryNoServer
	}
	wait := time.Duration(s.queue.Cost() / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// waitSafetyFactor multiplies the estimated wait, since requests of other
// organisations that arrive later may be served first.
const waitSafetyFactor = 1.5
