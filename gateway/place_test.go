package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/backend"
)

// testPatience is how long the callers of newPatientHarness wait.
const testPatience = 16 * time.Second

// calls records the requests for a place.
type calls struct {
	mu       sync.Mutex // guards requests
	requests []allocation.PlacementRequest
}

// hold answers without a place after the time for which the request may be held.
func (c *calls) hold(ctx context.Context, req allocation.PlacementRequest) allocation.Placement {
	c.mu.Lock()
	c.requests = append(c.requests, req)
	c.mu.Unlock()
	if req.Hold <= 0 {
		return allocation.Placement{} // timers that have expired break the race detector if many run in one bubble
	}
	select {
	case <-time.After(req.Hold):
	case <-ctx.Done():
	}
	return allocation.Placement{}
}

// newPatientHarness returns a harness whose generations wait in turn, at an allocator
// that has no place.
func newPatientHarness() (*harness, *calls) {
	w, c := newHarness(), &calls{}
	w.place = c.hold
	w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 3, gap).reply(), nil }
	configuration := w.configuration(2, "key")
	route := configuration.Route("h", "/letter/1")
	route.Goal, route.Patience, route.HonourShare = 4*time.Second, testPatience, 1.0/3
	w.gateway.SetConfiguration(configuration)
	return w, c
}

// Guards against a request that is held until its caller has given up, and against calls
// for a place in quick succession or without the times that the allocator needs.
func TestGenerationWaitsUntilShortlyBeforeItsCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, c := newPatientHarness()
		began := time.Now()
		o := w.serve("/letter/1")
		is.Equal(o.Reason, ReasonFull)
		is.True(o.NotRun && o.RetryAfter >= retryFull)
		is.Equal(time.Since(began), testPatience-allocation.PatienceMargin)
		is.Equal(len(c.requests), int(testPatience/allocation.MaxHold))
		for i, req := range c.requests {
			is.True(req.Hold > 0 && req.Hold <= allocation.MaxHold)
			is.Equal(req.AskedBefore, i > 0)
			is.Equal(req.Arrived, began)
			is.Equal(req.Organisation, "o")
			is.Equal(req.GiveUp.Sub(began), testPatience)
			is.Equal(req.Goal.Sub(began), 4*time.Second)
			is.Equal(req.Deadline.Sub(began), 39*time.Second)
		}
	})
}

// Guards against a host that asks an allocator without pause if that answers at once, as
// one of an earlier version does.
func TestCallsForAPlaceAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := newPatientHarness()
		asked := 0
		w.place = func(context.Context, allocation.PlacementRequest) allocation.Placement {
			asked++
			return allocation.Placement{}
		}
		w.serve("/letter/1")
		is.True(asked <= int(testPatience/placementInterval))
	})
}

// Guards against a caller that is told another time to retry than its allocator has kept
// its position for, and against further calls after a final refusal.
func TestFinalRefusalIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := newPatientHarness()
		asked := 0
		w.place = func(context.Context, allocation.PlacementRequest) allocation.Placement {
			asked++
			return allocation.Placement{Refused: true, Reason: "expired", RetryAfter: 5 * time.Second}
		}
		began := time.Now()
		o := w.serve("/letter/1")
		is.Equal(o.Status, http.StatusServiceUnavailable)
		is.True(o.NotRun)
		is.Equal(o.RetryAfter, 5*time.Second)
		is.Equal(asked, 1)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Guards against requests that a stopping host holds until it is gone: their callers
// would not know that they have not run.
func TestStoppingHostRefusesWaitingGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := newPatientHarness()
		stop := time.Now().Add(700 * time.Millisecond)
		time.AfterFunc(time.Until(stop), func() { w.gateway.Stop(stop.Add(7 * time.Second)) })
		short := make(chan Outcome, 1)
		go func() {
			request := w.request("/letter/2")
			request.Deadline = time.Now().Add(5 * time.Second) // it can end before the host stops
			short <- w.gateway.Serve(t.Context(), request, &recorder{})
		}()
		o := w.serve("/letter/1")
		is.Equal(o.Reason, ReasonStopping)
		is.True(o.NotRun)
		is.Equal(o.RetryAfter, retryStopping)
		is.Equal(time.Since(stop), time.Duration(0))
		is.Equal((<-short).Reason, ReasonFull)
		is.True(time.Since(stop) > 3*time.Second)
	})
}

// Guards against a turn, a place or a goroutine that is kept for a caller that has left.
func TestWaitEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, c := newPatientHarness()
		ctx, leave := context.WithCancel(t.Context())
		began := time.Now()
		time.AfterFunc(1200*time.Millisecond, leave)
		o := w.gateway.Serve(ctx, w.request("/letter/1"), &recorder{})
		is.Equal(o, abandoned())
		is.Equal(time.Since(began), 1200*time.Millisecond)
		is.Equal(len(c.requests), 3)
		is.Equal(w.gateway.held.total, 0)
		is.Equal(len(w.gateway.held.byOrganisation), 0)

		// The place is granted at the moment at which the caller leaves.
		ctx, leave = context.WithCancel(t.Context())
		w.send = func(ctx context.Context, _ Call) (*Reply, error) { return nil, broken(backend.NothingSent) }
		w.place = func(context.Context, allocation.PlacementRequest) allocation.Placement {
			leave()
			return allocation.Placement{Server: "e1"}
		}
		is.Equal(w.gateway.Serve(ctx, w.request("/letter/1"), &recorder{}).Reason, ReasonCallerGone)
		is.Equal(w.fleet.Candidates("llm", "d1")[0].Running, 0)
	})
}

// Guards against requests without number in the memory of a host, and against an
// organisation that leaves no room for the requests of others.
func TestHostHoldsABoundedNumberOfGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := newPatientHarness()
		configuration := w.configuration(3, "key")
		*configuration.Route("h", "/letter/1") = *w.gateway.Configuration().Route("h", "/letter/1")
		keys := map[string]*Organisation{"key": {Name: "o"}, "small": {Name: "small"}}
		w.gateway.SetConfiguration(NewConfiguration(3, []*Route{configuration.Route("h", "/letter/1")}, []*Service{configuration.Services["llm"]}, keys, ClientLimits{}))
		ctx, leave := context.WithCancel(t.Context())
		for i := range maxHeld {
			go w.gateway.Serve(ctx, w.request(fmt.Sprintf("/letter/%d", i)), &recorder{})
		}
		synctest.Wait()
		is.True(w.gateway.held.total < maxHeld)
		began := time.Now()
		o := w.serve("/letter/1")
		is.Equal(o.Reason, ReasonFull)
		is.True(o.NotRun)
		is.Equal(time.Since(began), time.Duration(0))
		request := w.request("/letter/1")
		request.Key = "small"
		is.Equal(w.gateway.Serve(t.Context(), request, &recorder{}).Reason, ReasonFull)
		is.Equal(time.Since(began), testPatience-allocation.PatienceMargin)
		leave()
		synctest.Wait()
		is.Equal(w.gateway.held.total, 0)
	})
}

// Guards against a wait of seconds on routes that do not say how long their callers wait.
func TestRouteWithoutPatienceWaitsForAnEighthOfItsGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w, c := is.New(t), newHarness(), &calls{}
		w.place = c.hold
		began := time.Now()
		o := w.serve("/letter/1")
		is.Equal(o.Reason, ReasonFull)
		is.True(o.RetryAfter >= retryFull && o.RetryAfter < 2*retryFull)
		is.Equal(time.Since(began), 400*time.Millisecond/waitDivisor)
		is.Equal(len(c.requests), 2)
		for _, req := range c.requests {
			is.Equal(req.Hold, time.Duration(0))
			is.True(req.GiveUp.IsZero())
		}
	})
}

// Guards against a generation that is refused, or asked for without pause, because its
// server accepts nothing of this host for a moment.
func TestWaitGoesOnIfTheServerTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := newPatientHarness()
		asked := 0
		w.place = func(context.Context, allocation.PlacementRequest) allocation.Placement {
			asked++
			return allocation.Placement{Server: "e1"}
		}
		w.fleet.SetBackoff("e1", time.Second)
		is.True(w.serve("/letter/1").Complete)
		is.Equal(asked, int(time.Second/placementInterval)+1)
	})
}

// Guards against a wait of many seconds for a service whose servers have been removed.
func TestWaitEndsWhenNoServerIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := newPatientHarness()
		began := time.Now()
		time.AfterFunc(time.Second, func() {
			w.fleet.Remove("e1")
			w.fleet.Remove("e2")
		})
		o := w.serve("/letter/1")
		is.Equal(o.Reason, ReasonNoServer)
		is.True(o.NotRun)
		is.True(time.Since(began) <= time.Second+allocation.MaxHold)
	})
}
