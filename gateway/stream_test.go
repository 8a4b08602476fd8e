package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/bytebudget"
)

const gap = 40 * time.Millisecond

// Guards against events that are lost, duplicated or truncated when a run moves.
func TestStreamMovesOffALeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		first := newGeneration(1, 100, gap)
		first.tail = "id: 99\nda"
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			if call.Resume == nil {
				return first.reply(), nil
			}
			is.Equal(call.Resume.Handle, "h")
			from := len(call.Resume.LastEventID)
			is.True(from > 0)
			return newGeneration(atoi(call.Resume.LastEventID)+1, 100, gap).reply(), nil
		}
		w.copy = func(_, _ fleet.Server, last bool) (CopyResult, error) {
			time.Sleep(190 * time.Millisecond)
			if last {
				close(first.interrupt)
			}
			return CopyResult{Handle: "h", Done: true}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Incarnation(), fleet.SourceList) })
		caller := &recorder{}
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), caller)
		is.True(o.Complete)
		is.Equal(caller.body.String(), wholeStream(100))
		is.Equal(caller.began, 1)
		is.Equal(len(w.calls), 2)
		is.True(w.calls[0].Server.ID != w.calls[1].Server.ID)
		synctest.Wait()
		is.Equal(w.turns, 0)
	})
}

// Guards against an answer without the server's mark, or one that is no stream of events,
// that is taken for the rest of a moved run and ends the stream as complete.
func TestMovedRunGoesOnOnlyWithAStreamOfTheServer(t *testing.T) {
	for name, wrong := range map[string]func() *Reply{
		"unmarked": func() *Reply {
			r := answer(http.StatusOK, "")
			r.Complete = false
			return r
		},
		"unmarked, another success": func() *Reply {
			r := answer(http.StatusAccepted, wholeStream(1))
			r.Header.Set("Content-Type", "text/event-stream")
			r.Complete = false
			return r
		},
		"reports that it did not run": func() *Reply {
			r := answer(http.StatusOK, wholeStream(1))
			r.NotRun = true
			return r
		},
		"no events": func() *Reply {
			r := answer(http.StatusOK, "")
			r.Header.Set("Content-Type", "text/html")
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, w := is.New(t), newHarness()
				first := newGeneration(1, 100, gap)
				w.send = func(_ context.Context, call Call) (*Reply, error) {
					if call.Resume == nil {
						return first.reply(), nil
					}
					return wrong(), nil
				}
				w.copy = func(_, _ fleet.Server, last bool) (CopyResult, error) {
					if last {
						close(first.interrupt)
					}
					return CopyResult{Handle: "h", Done: true}, nil
				}
				time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Incarnation(), fleet.SourceList) })
				o := w.serve("/letter/1")
				is.True(o.Streamed && !o.Complete)
				is.Equal(o.Reason, ReasonMoveFailed)
				synctest.Wait()
				is.Equal(w.turns, 0)
			})
		})
	}
}

// Guards against reservations that remain for runs whose callers have disconnected.
func TestMoveForDisconnectedCallerLeavesNoReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		first := newGeneration(1, 100, gap)
		w.send = func(context.Context, Call) (*Reply, error) { return first.reply(), nil }
		ctx, leave := context.WithCancel(context.Background())
		w.copy = func(_, _ fleet.Server, last bool) (CopyResult, error) {
			if last {
				leave()
				close(first.interrupt)
			}
			time.Sleep(200 * time.Millisecond)
			return CopyResult{Handle: "h", Done: true}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Incarnation(), fleet.SourceList) })
		o := w.gateway.Serve(ctx, w.request("/letter/1"), &recorder{})
		is.Equal(o.Reason, ReasonCallerGone)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(len(w.fleet.OwnGenerations()["llm"]), 0)
	})
}

// Guards against a reservation on the destination that is released while a run's
// memory is still being copied there.
func TestSlowCopyKeepsItsReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 100, gap).reply(), nil }
		w.copy = func(_, destination fleet.Server, last bool) (CopyResult, error) {
			time.Sleep(3 * time.Second)
			is.Equal(len(w.fleet.Release(destination.Incarnation(), fleet.Held{})), 0)
			return CopyResult{}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Incarnation(), fleet.SourceList) })
		w.serve("/letter/1")
		synctest.Wait()
		is.Equal(w.turns, 0)
	})
}

// Guards against reporting a failure to other hosts seconds after it occurred,
// although the server has answered others meanwhile.
func TestGenerationThatTimesOutOnASilentConnectionIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(ctx context.Context, call Call) (*Reply, error) {
			time.AfterFunc(time.Second, func() { w.fleet.ApplyOutcomes("other", call.Server.ID, fleet.Evidence{Answered: 1}) })
			<-ctx.Done()
			return nil, broken(backend.Broken)
		}
		is.Equal(w.serve("/letter/1").Reason, ReasonTimeout)
		is.Equal(len(w.fleet.TakeEvidence("llm")), 0)
	})
}

// Guards against losing a run whose last increment the destination has no room for:
// the source has stopped the run but retains its memory, so it resumes there.
func TestRefusedCopyResumesAtSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		first := newGeneration(1, 60, gap)
		moves := 0
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			if call.Resume == nil {
				return first.reply(), nil
			}
			return newGeneration(atoi(call.Resume.LastEventID)+1, 60, gap).reply(), nil
		}
		w.copy = func(_, _ fleet.Server, last bool) (CopyResult, error) {
			moves++
			if !last {
				return CopyResult{Handle: "h", Done: moves == 1}, nil
			}
			close(first.interrupt)
			return CopyResult{Handle: "kept"}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Incarnation(), fleet.SourceList) })
		caller := &recorder{}
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), caller)
		is.True(o.Complete)
		is.Equal(caller.body.String(), wholeStream(60))
		is.Equal(w.calls[1].Server.ID, w.calls[0].Server.ID)
		is.Equal(w.calls[1].Resume.Handle, "kept")
	})
}

// Guards against an answer that looks complete, or continues with a second
// generation, after an engine has crashed in the middle of a stream.
func TestInterruptedStreamNeverLooksComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		first := newGeneration(1, 60, gap)
		w.send = func(context.Context, Call) (*Reply, error) { return first.reply(), nil }
		time.AfterFunc(time.Second, func() { close(first.interrupt) })
		caller := &recorder{}
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), caller)
		is.Equal(o.Status, 0)
		is.True(!o.Complete)
		is.Equal(caller.body.String(), wholeStream(caller.events()))
		is.Equal(len(w.calls), 1)
	})
}

// Guards against a second run of a generation whose connection broke before the
// first event: the engine may already have begun.
func TestGenerationNeverRunsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return nil, broken(backend.Broken) }
		o := w.serve("/letter/1")
		is.Equal(o.Status, http.StatusBadGateway)
		is.True(!o.NotRun)
		is.Equal(len(w.calls), 1)
	})
}

// Guards against failing a generation whose engine has ended before its entry was
// removed: nothing was sent, so another engine can run it.
func TestEngineThatRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) {
			if len(w.calls) == 1 {
				return nil, broken(backend.NothingSent)
			}
			return newGeneration(1, 3, gap).reply(), nil
		}
		caller := &recorder{}
		is.True(w.gateway.Serve(context.Background(), w.request("/letter/1"), caller).Complete)
		is.Equal(caller.body.String(), wholeStream(3))
	})
}

// Guards against callers that wait long for engines without free memory. They are
// refused as not run, with a retry delay that has jitter.
func TestFullEnginesRefuseWithinAnEighthOfTheGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		for _, id := range []string{"e1", "e2"} {
			w.fleet.SetOthers("h2", "llm", map[string]fleet.Load{"e1": {Requests: 9, HeldTokens: 33000}, "e2": {Requests: 9, HeldTokens: 33000}}, fleet.Share{})
			_ = id
		}
		began := time.Now()
		o := w.serve("/letter/1")
		is.Equal(o.Reason, ReasonFull)
		is.True(o.NotRun)
		is.Equal(time.Since(began), 50*time.Millisecond)
		is.True(o.RetryAfter >= retryFull && o.RetryAfter <= 2*retryFull)
		is.Equal(len(w.calls), 0)
	})
}

func TestWaitingGenerationTakesFreedCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 3, gap).reply(), nil }
		full := map[string]fleet.Load{"e1": {Requests: 9, HeldTokens: 33000}, "e2": {Requests: 9, HeldTokens: 33000}}
		w.fleet.SetOthers("h2", "llm", full, fleet.Share{})
		time.AfterFunc(20*time.Millisecond, func() { w.fleet.SetOthers("h2", "llm", nil, fleet.Share{}) })
		is.True(w.serve("/letter/1").Complete)
	})
}

// Guards against a generation that outlasts the grace period of a stopping host. It
// is refused as not run while short calls are still served.
func TestStoppingHostRefusesLongGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return answer(http.StatusOK, "ok"), nil }
		w.gateway.Stop(time.Now().Add(7 * time.Second))
		o := w.serve("/letter/1")
		is.Equal(o.Reason, ReasonStopping)
		is.True(o.NotRun)
		is.Equal(o.RetryAfter, retryStopping)
		is.Equal(w.serve("/write/1").Status, http.StatusOK)
		// If all hosts stop, the first is back after about one second.
		w.noOtherHosts = true
		is.Equal(w.serve("/letter/1").RetryAfter, retryAllStopping)
		// A call that may outlast the host is refused as well.
		time.Sleep(6500 * time.Millisecond)
		is.Equal(w.serve("/write/1").Reason, ReasonStopping)
	})
}

// Guards against a stopping host that refuses a request with a deadline in five
// seconds although it runs for seven more, which would use up the caller's only retry.
func TestStoppingHostAcceptsRequestsThatEndBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 3, gap).reply(), nil }
		w.gateway.Stop(time.Now().Add(7 * time.Second))
		request := w.request("/letter/1")
		request.Deadline = time.Now().Add(5 * time.Second)
		is.True(w.gateway.Serve(context.Background(), request, &recorder{}).Complete)
		is.Equal(w.gateway.InFlightGenerations(), 0)
		time.Sleep(3 * time.Second)
		request = w.request("/letter/1")
		request.Deadline = time.Now().Add(5 * time.Second)
		is.Equal(w.gateway.Serve(context.Background(), request, &recorder{}).Reason, ReasonStopping)
	})
}

// Guards against a new configuration that changes the route of a generation in
// progress.
func TestRunningRequestKeepsItsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 30, gap).reply(), nil }
		time.AfterFunc(500*time.Millisecond, func() { w.gateway.SetConfiguration(w.configuration(2, "other")) })
		caller := &recorder{}
		is.True(w.gateway.Serve(context.Background(), w.request("/letter/1"), caller).Complete)
		is.Equal(caller.body.String(), wholeStream(30))
	})
}

func TestEventReaderReturnsWholeEvents(t *testing.T) {
	is := is.New(t)
	long := "id: 2\ndata: " + strings.Repeat("x", 9000) + "\n\n"
	r := newEventReader(strings.NewReader("x-versions: 3\nid: 1\ndata: a\n\n"+long+"data: no id\r\n\r\nrest"), bytebudget.New(1<<20).NewAccount())
	first, err := r.next()
	is.NoErr(err)
	is.Equal(first.id, "1")
	is.Equal(string(first.block), "x-versions: 3\nid: 1\ndata: a\n\n")
	second, err := r.next()
	is.NoErr(err)
	is.Equal(second.id, "2")
	is.Equal(string(second.block), long)
	third, err := r.next()
	is.NoErr(err)
	is.Equal(third.id, "")
	last, err := r.next()
	is.True(errors.Is(err, errPartialEvent))
	is.Equal(string(last.block), "rest")
}

func atoi(text string) int {
	n := 0
	for _, c := range text {
		n = 10*n + int(c-'0')
	}
	return n
}

// Guards against more generations on an engine whose answers report that it is
// leaving, and against interrupting the one whose answer reported it.
func TestGenerationsAvoidEngineThatReportsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		leaving := ""
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			r := newGeneration(1, 3, gap).reply()
			if leaving == "" {
				leaving = call.Server.ID
			}
			r.Leaving = call.Server.ID == leaving
			return r, nil
		}
		w.copy = func(_, _ fleet.Server, _ bool) (CopyResult, error) { return CopyResult{}, errors.New("refused") }
		for range 4 {
			is.True(w.serve("/letter/1").Complete)
		}
		for _, call := range w.calls[1:] {
			is.True(call.Server.ID != leaving)
		}
		time.Sleep(time.Second)
	})
}

// Guards against events that reach a caller twice, because the stream that it resumes after
// a broken connection begins from the start, or again when that run moves.
func TestCallerResumesAGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		letter := w.gateway.Configuration().Route("h", "/letter/1")
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			return newGeneration(atoi(call.LastEventID)+1, 10, gap).reply(), nil
		}
		resumed := func() string {
			request := w.request("/letter/1")
			request.LastEventID = "4"
			caller := &recorder{}
			is.True(w.gateway.Serve(context.Background(), request, caller).Complete)
			return caller.body.String()
		}
		is.Equal(resumed(), wholeStream(10)) // this route's generations cannot be resumed
		letter.Resumable = true
		is.True(strings.HasPrefix(resumed(), "id: 5\n"))
		is.Equal(newRun(&task{route: letter, service: &Service{}, request: &Request{LastEventID: "4"}}, nil).lastEventID, "4")
	})
}
