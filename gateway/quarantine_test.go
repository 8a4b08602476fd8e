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
	"github.com/papayasail/papayasail/quarantine"
)

// crash ends the server of a call, which breaks off its answer.
func (w *world) crash(call Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[call.Server.ID] = true
}

// Guards against a generation that crashes one engine after the other before
// its first event.
func TestGenerationThatCrashesEnginesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
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

// Guards against a call whose second send within one attempt crashes the next
// server, too.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.put("p3", "plain")
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

// Guards against a request that is cleared by half of an answer.
func TestAnswerThatIsNotWholeClearsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.put("p3", "plain")
		crash := func(_ context.Context, call Call) (*Reply, error) {
			w.crash(call)
			return nil, broken(backend.Broken)
		}
		half := func(context.Context, Call) (*Reply, error) {
			r := answer(http.StatusOK, "ha")
			r.Whole = false
			return r, nil
		}
		for _, w.send = range []func(context.Context, Call) (*Reply, error){crash, half, crash} {
			w.serve("/write/1")
			time.Sleep(2 * time.Second)
		}
		is.True(w.serve("/write/1").NotRun)
	})
}

// Guards against crashes that are not seen as the server's port outlives its
// connections.
func TestCrashIsSeenWhenThePortClosesLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.put("p3", "plain")
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

// Guards against a quarantine for answers that live servers break off.
func TestBrokenAnswersOfLiveServersAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.send = func(context.Context, Call) (*Reply, error) { return nil, broken(backend.Broken) }
		for range 5 {
			is.Equal(w.serve("/write/1").Reason, ReasonBroken)
		}
	})
}

// Guards against engines lost to runs that began before the quarantine.
func TestQuarantineEndsWhatRuns(t *testing.T) {
	for path, streamed := range map[string]bool{"/letter/1": true, "/write/1": false} {
		synctest.Test(t, func(t *testing.T) {
			is, w := is.New(t), newWorld()
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
				w.gateway.options.Quarantine.Merge([]quarantine.Record{{Fingerprint: request.fingerprint("o"), Crashes: 2, Left: time.Minute}}, "peer")
			})
			began := time.Now()
			o := w.serve(path)
			is.Equal(o.Reason, ReasonQuarantined)
			is.Equal(o.Streamed, streamed)
			is.True(!o.NotRun)
			is.Equal(time.Since(began), 100*time.Millisecond)
			time.Sleep(time.Second) // the stream's writer ends
		})
	}
}
