package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/quarantine"
)

// crash ends the server of a call, which interrupts its answer.
func (w *harness) crash(call Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endedServers[call.Server.ID] = true
}

// Guards against retries of a generation that crashes one engine after the other
// before its first event.
func TestGenerationThatCrashesEnginesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.put("e3", "llm")
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			w.crash(call)
			r := answer(http.StatusOK, "")
			r.Body = io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF))
			return r, nil
		}
		for range 2 {
			o := w.serve("/letter/1")
			is.True(o.Streamed && !o.Complete)
			time.Sleep(2 * time.Second)
		}
		o := w.serve("/letter/1")
		is.Equal(o.Status, http.StatusServiceUnavailable)
		is.Equal(o.Reason, ReasonQuarantined)
		is.True(o.NotRun)
		is.True(o.RetryAfter > time.Minute)
		is.Equal(len(w.calls), 2)
	})
}

// Guards against retries of a call that has crashed a second server within one
// attempt of its caller.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.put("p3", "plain")
		w.answered("p3")
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			w.crash(call)
			return nil, broken(backend.Broken)
		}
		o := w.serve("/read/1")
		is.Equal(o.Status, http.StatusBadGateway)
		is.True(!o.NotRun)
		is.Equal(w.serve("/read/1").Reason, ReasonQuarantined)
		is.Equal(len(w.calls), 2)
		w.send = func(context.Context, Call) (*Reply, error) { return answer(http.StatusOK, "ok"), nil }
		is.Equal(w.serve("/read/2").Status, http.StatusOK) // another request
	})
}

// answered records an answer of a server that is not brittle.
func (w *harness) answered(id string) { w.fleet.SetBrittleness(id, fleet.Brittleness{}, time.Now()) }

// Guards against a quarantine after crashes of servers of which the host does not know
// whether they are brittle, and of a third server that a request crashes.
func TestCrashesBeforeTheFirstAnswerCountAsWeak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.put("p3", "plain")
		w.put("p4", "plain")
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			w.crash(call)
			return nil, broken(backend.Broken)
		}
		is.Equal(w.serve("/read/1").Reason, ReasonBroken)
		is.Equal(w.serve("/read/1").Reason, ReasonQuarantined) // while it runs
		is.Equal(len(w.calls), 3)
	})
}

// Guards against a partial answer that clears a suspected request.
func TestPartialAnswerClearsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.put("p3", "plain")
		for _, id := range []string{"p1", "p2", "p3"} {
			w.answered(id)
		}
		crash := func(_ context.Context, call Call) (*Reply, error) {
			w.crash(call)
			return nil, broken(backend.Broken)
		}
		half := func(context.Context, Call) (*Reply, error) {
			r := answer(http.StatusOK, "ha")
			r.Complete = false
			return r, nil
		}
		for _, w.send = range []func(context.Context, Call) (*Reply, error){crash, half, crash} {
			w.serve("/write/1")
			time.Sleep(2 * time.Second)
		}
		is.True(w.serve("/write/1").NotRun)
	})
}

// Guards against missed crashes of servers whose port closes after their
// connections.
func TestCrashIsSeenWhenThePortClosesLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.put("p3", "plain")
		w.answered("p3")
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			time.AfterFunc(200*time.Millisecond, func() { w.crash(call) })
			return nil, broken(backend.Broken)
		}
		for range 2 {
			w.serve("/write/1")
			time.Sleep(2 * time.Second)
		}
		is.Equal(w.serve("/write/1").Reason, ReasonQuarantined)
		is.Equal(len(w.calls), 2)
	})
}

// Guards against a quarantine because of interrupted answers of servers that are
// still running.
func TestBrokenAnswersOfLiveServersAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return nil, broken(backend.Broken) }
		for range 5 {
			is.Equal(w.serve("/write/1").Reason, ReasonBroken)
		}
	})
}

// Guards against servers that crash under runs that began before the quarantine.
func TestQuarantineCancelsRuns(t *testing.T) {
	for path, streamed := range map[string]bool{"/letter/1": true, "/write/1": false} {
		synctest.Test(t, func(t *testing.T) {
			is, w := is.New(t), newHarness()
			w.send = func(ctx context.Context, call Call) (*Reply, error) {
				if call.Stream {
					g := newGeneration(1, 10, time.Second)
					context.AfterFunc(ctx, func() { g.reader.CloseWithError(io.ErrClosedPipe) })
					return g.reply(), nil
				}
				<-ctx.Done()
				return nil, &backend.CallError{Evidence: backend.Broken, Err: errors.New("closed")}
			}
			time.AfterFunc(100*time.Millisecond, func() {
				request := w.request(path)
				w.gateway.options.Quarantine.Merge([]quarantine.Record{{Fingerprint: request.fingerprint("o"), Crashes: 2, Remaining: time.Minute}}, "peer")
			})
			began := time.Now()
			o := w.serve(path)
			is.Equal(o.Reason, ReasonQuarantined)
			is.Equal(o.Streamed, streamed)
			is.True(!o.NotRun)
			is.Equal(time.Since(began), 100*time.Millisecond)
			time.Sleep(time.Second) // until the stream's writer has ended
		})
	}
}

// quarantinePart quarantines a part of prompts at the service llm, as another host does.
func (w *harness) quarantinePart(part string) {
	w.gateway.options.Quarantine.Merge([]quarantine.Record{
		{Fingerprint: quarantine.PartID("llm", part), Part: true, Crashes: 1, Remaining: time.Hour},
	}, "peer")
}

// serveParts serves a generation with parts in its prompt.
func (w *harness) serveParts(parts ...string) Outcome {
	request := w.request("/letter/1")
	request.Prompt.SharedParts = parts
	return w.gateway.Serve(context.Background(), request, &recorder{})
}

// Guards against a run that moves and crashes its next server.
func TestRunWithQuarantinedPartIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		first := newGeneration(1, 100, 5*gap)
		w.send = func(context.Context, Call) (*Reply, error) { return first.reply(), nil }
		w.copy = func(_, _ fleet.Server, last bool) (CopyResult, error) {
			if last {
				w.quarantinePart("bad")
				close(first.interrupt)
			}
			return CopyResult{Handle: "h", Done: true}, nil
		}
		time.AfterFunc(15*time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Incarnation(), fleet.SourceList) })
		o := w.serveParts("system", "bad")
		is.True(o.Streamed && !o.Complete)
		is.Equal(len(w.calls), 1)
		synctest.Wait()
		is.Equal(w.turns, 0)
		for _, candidate := range w.fleet.Candidates("llm", "d1") {
			is.Equal(candidate.Running, 0) // no reservation is left
		}
	})
}

// Guards against waiting runs that crash further servers, and against the loss of runs that
// could clear the part.
func TestQuarantineOfPartCancelsWaitingRuns(t *testing.T) {
	for _, writing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is, w := is.New(t), newHarness()
			w.send = func(ctx context.Context, _ Call) (*Reply, error) {
				between := time.Hour
				if writing {
					between = gap
				}
				g := newGeneration(1, 10, between)
				context.AfterFunc(ctx, func() { g.reader.CloseWithError(io.ErrClosedPipe) })
				return g.reply(), nil
			}
			time.AfterFunc(3*gap, func() { w.quarantinePart("bad") })
			began := time.Now()
			o := w.serveParts("bad")
			is.Equal(o.Complete, writing)
			if !writing {
				is.Equal(o.Reason, ReasonQuarantined)
				is.Equal(time.Since(began), 3*gap)
			}
			time.Sleep(time.Hour)
		})
	}
}

// Guards against retries within one attempt that send a quarantined part to a further
// server.
func TestQuarantineOfPartEndsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			w.crash(call)
			w.gateway.options.Quarantine.Merge([]quarantine.Record{
				{Fingerprint: quarantine.PartID("plain", "bad"), Part: true, Crashes: 1, Remaining: time.Hour},
			}, "peer")
			return nil, broken(backend.Broken)
		}
		request := w.request("/read/1")
		request.Prompt.SharedParts = []string{"bad"}
		is.True(!w.gateway.Serve(context.Background(), request, &recorder{}).NotRun)
		is.Equal(len(w.calls), 1)
		request = w.request("/read/2")
		request.Prompt.SharedParts = []string{"bad", "other"}
		o := w.gateway.Serve(context.Background(), request, &recorder{})
		is.True(o.NotRun)
		is.True(o.RetryAfter > time.Second && o.RetryAfter < time.Minute)
		is.Equal(len(w.calls), 1)
	})
}

// Guards against a part that counts as sound at one service because it is at another.
func TestPartIsQuarantinedForOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.quarantinePart("bad")
		w.send = func(context.Context, Call) (*Reply, error) { return answer(http.StatusOK, "ok"), nil }
		request := w.request("/read/1")
		request.Prompt.SharedParts = []string{"bad"}
		is.True(w.gateway.Serve(context.Background(), request, &recorder{}).Complete)
		is.Equal(w.serveParts("bad").Reason, ReasonQuarantined)
	})
}
