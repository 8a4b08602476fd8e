package freshness

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/internal/moment"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/store"
)

func TestMergeOfAvailabilities(t *testing.T) {
	start := time.Now()
	span := func(from, to float64, afterOutage bool) availability {
		at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
		return availability{at(from), at(to), afterOutage}
	}
	for name, c := range map[string]struct{ known, other, merged availability }{
		"nothing known":                     {availability{}, span(3, 4, false), span(3, 4, false)},
		"nothing said":                      {span(3, 4, true), availability{}, span(3, 4, true)},
		"next read":                         {span(3, 4, false), span(5, 5, false), span(3, 5, false)},
		"read after a silence":              {span(3, 4, false), span(9, 9, false), span(9, 9, true)},
		"silence that another host covers":  {span(9, 9, true), span(0, 9, false), span(0, 9, true)},
		"silence of both":                   {span(3, 4, false), span(8, 9, true), span(8, 9, true)},
		"earlier return":                    {span(9, 9, true), span(8.5, 9, true), span(8.5, 9, true)},
		"host that started meanwhile":       {span(9, 10, true), span(8, 10, false), span(8, 10, true)},
		"old span":                          {span(9, 10, true), span(3, 4, false), span(9, 10, true)},
		"silence of another host":           {span(0, 10, false), span(9, 10, true), span(0, 10, false)},
		"outage before this host's first":   {span(9, 10, false), span(9.5, 10, true), span(9, 10, true)},
		"point before the end of an outage": {span(9, 9, true), span(8.9, 8.9, false), span(8.9, 9, true)},
	} {
		if merged := c.known.merge(c.other); merged != c.merged {
			t.Errorf("%s: %v, not %v", name, merged, c.merged)
		}
	}
}

// outageKeeper returns the active keeper of a host that had a view until 4 s ago. Answers of
// others say what claim returns.
func outageKeeper(claim func(host string) peer.ViewAnswer) (*Keeper, *scriptedFleet) {
	f := &scriptedFleet{self: "ha", hosts: hostsOf(5)}
	f.answer = func(host string, _ peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
		return claim(host), time.Millisecond, nil
	}
	k, _ := newKeeper(f)
	k.active.Mark(time.Now())
	k.Confirm(0, time.Now())
	time.Sleep(4 * time.Second)
	return k, f
}

// Guards against a host that takes its own silence for an outage although some host has read the store meanwhile, and
// against one that asks others for each removal.
func TestOneHostThatReadTheStoreRefutesAnOutage(t *testing.T) {
	for _, witness := range []string{"hb", "hc", "hd", "he", "none"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			returned := time.Now().Add(4 * time.Second)
			k, f := outageKeeper(func(host string) peer.ViewAnswer {
				if host == witness {
					return peer.ViewAnswer{CompleteTo: 7, Available: peer.Availability{Since: time.Hour, Until: time.Millisecond}}
				}
				return peer.ViewAnswer{CompleteTo: 7, Available: peer.Availability{Since: time.Since(returned) + time.Millisecond, Until: time.Millisecond, AfterOutage: true}}
			})
			ctx, stop := context.WithCancel(t.Context())
			is.Equal(k.SinceOutage(), time.Duration(0))
			go func() { _ = k.Run(ctx) }()
			time.Sleep(10 * time.Millisecond)
			for range 3 { // three removals
				is.NoErr(k.AwaitSettled(ctx, 2*time.Second))
			}
			late := time.Since(returned)
			if witness == "none" {
				is.True(late >= 2*time.Second && late <= 2*time.Second+2*settledCheckInterval)
			} else {
				is.True(late <= 20*time.Millisecond)
			}
			is.True(len(f.takeAsked()) <= 4+5) // the question, and refreshes
			stop()
			synctest.Wait()
		})
	}
}

// Guards against an answer that was held back on its way and makes the return of the store look earlier.
func TestLateAnswerDoesNotMakeTheReturnEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, f := outageKeeper(nil)
		f.answer = func(string, peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			return peer.ViewAnswer{CompleteTo: 7, Available: peer.Availability{Since: 10 * time.Millisecond, Until: 10 * time.Millisecond, AfterOutage: true}}, 900 * time.Millisecond, nil
		}
		is.NoErr(k.requestView(t.Context(), source{host: "hb", maxAge: maxSourceAge}))
		is.Equal(k.SinceOutage(), time.Duration(0)) // it does not say when the store returned
		f.answer = func(string, peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			return peer.ViewAnswer{CompleteTo: 7, Available: peer.Availability{Since: 310 * time.Millisecond, Until: 10 * time.Millisecond, AfterOutage: true}}, time.Millisecond, nil
		}
		is.NoErr(k.requestView(t.Context(), source{host: "hb", maxAge: maxSourceAge}))
		is.Equal(k.SinceOutage(), 310*time.Millisecond)
	})
}

// Guards against a host whose machine was suspended, so that its clock does not show its silence, and that tells
// others that the store answered meanwhile.
func TestSuspendedHostIsNoWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &scriptedFleet{self: "ha", hosts: hostsOf(2)}
		k, _ := newKeeper(f)
		var suspended atomic.Int64
		suspended.Store(int64(time.Hour)) // before the process started
		k.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
		k.Read = func(context.Context, store.Version) (store.Version, error) { return 7, nil }
		k.active.Mark(time.Now())
		for range 10 {
			is.NoErr(k.ReadStore(t.Context()))
			time.Sleep(time.Second)
		}
		is.Equal(k.SinceOutage(), moment.Never)
		is.Equal(k.AnswerView(t.Context(), peer.ViewRequest{MaxAge: time.Hour}).Available.Since, 10*time.Second)
		suspended.Add(int64(4 * time.Second))
		claim := k.AnswerView(t.Context(), peer.ViewRequest{MaxAge: time.Hour}).Available
		is.Equal(claim.Until, 5*time.Second)
		is.Equal(k.SinceOutage(), time.Duration(0))
		is.NoErr(k.ReadStore(t.Context()))
		claim = k.AnswerView(t.Context(), peer.ViewRequest{MaxAge: time.Hour}).Available
		is.Equal(claim.Since, time.Duration(0))
		is.True(claim.AfterOutage)
		// A question that was under way meanwhile shows nothing newer than when it was asked.
		f.answer = func(string, peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			suspended.Add(int64(4 * time.Second))
			return peer.ViewAnswer{CompleteTo: 7, Available: peer.Availability{Since: time.Hour, Until: time.Millisecond}}, time.Millisecond, nil
		}
		is.True(k.requestView(t.Context(), source{host: "hb", maxAge: maxSourceAge}) == nil)
		is.Equal(k.SinceOutage(), time.Duration(0))
	})
}
