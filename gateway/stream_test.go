package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
)

const gap = 40 * time.Millisecond

// Guards against events lost, doubled or torn as a run moves.
func TestStreamMovesOffALeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
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
		w.copy = func(_, _ fleet.Server, last bool) (Copied, error) {
			time.Sleep(190 * time.Millisecond)
			if last {
				close(first.broke)
			}
			return Copied{Handle: "h", Done: true}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Life(), fleet.SourceList) })
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

// Guards against places that stay booked for runs whose callers have left.
func TestMoveOfACallerThatLeftBooksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		first := newGeneration(1, 100, gap)
		w.send = func(context.Context, Call) (*Reply, error) { return first.reply(), nil }
		ctx, leave := context.WithCancel(context.Background())
		w.copy = func(_, _ fleet.Server, last bool) (Copied, error) {
			if last {
				leave()
				close(first.broke)
			}
			time.Sleep(200 * time.Millisecond)
			return Copied{Handle: "h", Done: true}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Life(), fleet.SourceList) })
		o := w.gateway.Serve(ctx, w.request("/letter/1"), &recorder{})
		is.Equal(o.Reason, ReasonCallerGone)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(len(w.fleet.OwnGenerations()["llm"]), 0)
	})
}

// Guards against a destination whose place is freed while a run's memory is
// still on its way there.
func TestSlowCopyKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 100, gap).reply(), nil }
		w.copy = func(_, destination fleet.Server, last bool) (Copied, error) {
			time.Sleep(3 * time.Second)
			is.Equal(len(w.fleet.Release(destination.Life(), fleet.Held{})), 0)
			return Copied{}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Life(), fleet.SourceList) })
		w.serve("/letter/1")
		synctest.Wait()
		is.Equal(w.turns, 0)
	})
}

// Guards against failures that are told to others seconds after what they show.
func TestGenerationThatTimesOutOnASilentConnectionIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.send = func(ctx context.Context, call Call) (*Reply, error) {
			time.AfterFunc(time.Second, func() { w.fleet.Witness("other", call.Server.ID, fleet.Evidence{Answered: 1}) })
			<-ctx.Done()
			return nil, broken(backend.Broken)
		}
		is.Equal(w.serve("/letter/1").Reason, ReasonTimeout)
		is.Equal(len(w.fleet.TakeEvidence("llm")), 0)
	})
}

func TestRefusedCopyGoesOnAtItsSource(t *testing.T) {
	// The last part of a move finds no room: the engine has stopped the run
	// and keeps its memory. The letter goes on there rather than be lost.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		first := newGeneration(1, 60, gap)
		moves := 0
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			if call.Resume == nil {
				return first.reply(), nil
			}
			return newGeneration(atoi(call.Resume.LastEventID)+1, 60, gap).reply(), nil
		}
		w.copy = func(_, _ fleet.Server, last bool) (Copied, error) {
			moves++
			if !last {
				return Copied{Handle: "h", Done: moves == 1}, nil
			}
			close(first.broke)
			return Copied{Handle: "kept"}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Life(), fleet.SourceList) })
		caller := &recorder{}
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), caller)
		is.True(o.Complete)
		is.Equal(caller.body.String(), wholeStream(60))
		is.Equal(w.calls[1].Server.ID, w.calls[0].Server.ID)
		is.Equal(w.calls[1].Resume.Handle, "kept")
	})
}

func TestBrokenStreamNeverLooksWhole(t *testing.T) {
	// An engine dies in the middle of a letter, without notice. The caller's
	// answer is cut off; nothing of a second generation follows.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		first := newGeneration(1, 60, gap)
		w.send = func(context.Context, Call) (*Reply, error) { return first.reply(), nil }
		time.AfterFunc(time.Second, func() { close(first.broke) })
		caller := &recorder{}
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), caller)
		is.Equal(o.Status, 0)
		is.True(!o.Complete)
		is.Equal(caller.body.String(), wholeStream(caller.events()))
		is.Equal(len(w.calls), 1)
	})
}

func TestLetterIsNeverGeneratedTwice(t *testing.T) {
	// The connection breaks before the first event. The engine may have begun:
	// a second one would write the letter again.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.send = func(context.Context, Call) (*Reply, error) { return nil, broken(backend.Broken) }
		o := w.serve("/letter/1")
		is.Equal(o.Status, http.StatusBadGateway)
		is.True(!o.NotRun)
		is.Equal(len(w.calls), 1)
	})
}

func TestEngineThatTakesNoConnection(t *testing.T) {
	// An engine is gone before its entry is. Nothing was sent; another engine
	// gets the letter.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
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

func TestFullEnginesRefuseWithinAnEighthOfTheGoal(t *testing.T) {
	// Engines have no memory left. The caller hears at once that nothing ran,
	// and when to come back; callers come back at different times.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		for _, id := range []string{"e1", "e2"} {
			w.fleet.SetOthers("h2", "llm", map[string]fleet.Load{"e1": {Requests: 9, HeldTokens: 33000}, "e2": {Requests: 9, HeldTokens: 33000}}, everywhere)
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

func TestWaitingLetterTakesTheNextPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 3, gap).reply(), nil }
		full := map[string]fleet.Load{"e1": {Requests: 9, HeldTokens: 33000}, "e2": {Requests: 9, HeldTokens: 33000}}
		w.fleet.SetOthers("h2", "llm", full, everywhere)
		time.AfterFunc(20*time.Millisecond, func() { w.fleet.SetOthers("h2", "llm", nil, everywhere) })
		is.True(w.serve("/letter/1").Complete)
	})
}

func TestStoppingHostSendsLettersElsewhere(t *testing.T) {
	// A host gets SIGTERM. A letter would outlast its grace; it is refused as
	// not run while short calls are still served.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.send = func(context.Context, Call) (*Reply, error) { return answer(http.StatusOK, "ok"), nil }
		w.gateway.Stop(time.Now().Add(7 * time.Second))
		o := w.serve("/letter/1")
		is.Equal(o.Reason, ReasonStopping)
		is.True(o.NotRun)
		is.Equal(o.RetryAfter, retryStopping)
		is.Equal(w.serve("/write/1").Status, http.StatusOK)
		// All hosts stop: the next one that is back is a second away.
		w.alone = true
		is.Equal(w.serve("/letter/1").RetryAfter, retryAllStopping)
		// A call that the host may not live to answer is refused as well.
		time.Sleep(6500 * time.Millisecond)
		is.Equal(w.serve("/write/1").Reason, ReasonStopping)
	})
}

func TestStoppingHostTakesWhatEndsBeforeIt(t *testing.T) {
	// A caller gives a verdict five seconds, and the host lives for seven. Sent
	// elsewhere it would have used up its caller's only retry.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 3, gap).reply(), nil }
		w.gateway.Stop(time.Now().Add(7 * time.Second))
		request := w.request("/letter/1")
		request.Deadline = time.Now().Add(5 * time.Second)
		is.True(w.gateway.Serve(context.Background(), request, &recorder{}).Complete)
		is.Equal(w.gateway.Generations(), 0)
		time.Sleep(3 * time.Second)
		request = w.request("/letter/1")
		request.Deadline = time.Now().Add(5 * time.Second)
		is.Equal(w.gateway.Serve(context.Background(), request, &recorder{}).Reason, ReasonStopping)
	})
}

func TestRunningRequestKeepsItsConfiguration(t *testing.T) {
	// A configuration comes while a letter runs, and moves its route. The
	// letter goes on as it began.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 30, gap).reply(), nil }
		time.AfterFunc(500*time.Millisecond, func() { w.gateway.SetConfiguration(w.configuration(2, "other")) })
		caller := &recorder{}
		is.True(w.gateway.Serve(context.Background(), w.request("/letter/1"), caller).Complete)
		is.Equal(caller.body.String(), wholeStream(30))
	})
}

func TestEventsAreCutWhole(t *testing.T) {
	is := is.New(t)
	long := "id: 2\ndata: " + strings.Repeat("x", 9000) + "\n\n"
	r := newEventReader(strings.NewReader("x-versions: 3\nid: 1\ndata: a\n\n" + long + "data: no id\r\n\r\nrest"))
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
	is.True(errors.Is(err, io.EOF))
	is.Equal(string(last.block), "rest")
}

func atoi(text string) int {
	n := 0
	for _, c := range text {
		n = 10*n + int(c-'0')
	}
	return n
}

// everywhere says that a host reports of all servers.
func everywhere(fleet.Server) bool { return true }

// Guards against generations sent on to an engine whose answers say that it
// leaves, and against a cut of the one that was told so.
func TestGenerationsHeedAnAnswerThatSaysLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		leaving := ""
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			r := newGeneration(1, 3, gap).reply()
			if leaving == "" {
				leaving = call.Server.ID
			}
			r.Leaving = call.Server.ID == leaving
			return r, nil
		}
		w.copy = func(_, _ fleet.Server, _ bool) (Copied, error) { return Copied{}, errors.New("refused") }
		for range 4 {
			is.True(w.serve("/letter/1").Complete)
		}
		for _, call := range w.calls[1:] {
			is.True(call.Server.ID != leaving)
		}
		time.Sleep(time.Second)
	})
}
