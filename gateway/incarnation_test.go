package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
)

// restart restarts the server of the first call under its ID.
func (w *harness) restart(born int64) {
	w.mu.Lock()
	server := w.calls[0].Server
	w.mu.Unlock()
	server.Born = born
	w.fleet.Put(server)
}

// setStartTimes sets the start time of all servers.
func (w *harness) setStartTimes(born int64) {
	for _, service := range []string{"llm", "plain"} {
		for _, server := range w.fleet.Usable(service) {
			server.Born = born
			w.fleet.Put(server)
		}
	}
}

// Guards against callers that wait for a run which was lost when its engine
// restarted.
func TestRunLostByARestartEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.setStartTimes(100)
		w.send = func(ctx context.Context, call Call) (*Reply, error) {
			g := newGeneration(1, 1<<20, gap)
			context.AfterFunc(ctx, func() { g.reader.CloseWithError(ctx.Err()) })
			return g.reply(), nil
		}
		w.copy = func(_, _ fleet.Server, _ bool) (CopyResult, error) {
			t.Error("a restarted engine was asked to copy a run of its earlier incarnation")
			return CopyResult{}, nil
		}
		time.AfterFunc(time.Second, func() { w.restart(200) })
		began := time.Now()
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), &recorder{})
		is.True(!o.Complete)
		is.True(!o.NotRun)
		is.Equal(o.Reason, ReasonMoveFailed)
		is.True(time.Since(began) < 1100*time.Millisecond)
		is.Equal(len(w.calls), 1)
		time.Sleep(gap) // until the engine's writer has failed
	})
}

// Guards against a second run of a write whose server has restarted.
func TestWriteSentBeforeARestartIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.setStartTimes(100)
		silent := func(ctx context.Context, call Call) (*Reply, error) {
			if len(w.calls) > 1 {
				return answer(http.StatusOK, "b"), nil
			}
			<-ctx.Done()
			return nil, broken(backend.Silent)
		}
		w.send = silent
		time.AfterFunc(100*time.Millisecond, func() { w.restart(200) })
		began := time.Now()
		o := w.serve("/write/1")
		is.Equal(o.Status, http.StatusBadGateway)
		is.True(!o.NotRun)
		is.Equal(len(w.calls), 1)
		is.Equal(time.Since(began), 100*time.Millisecond)

		w.calls = nil
		w.setStartTimes(300)
		time.AfterFunc(100*time.Millisecond, func() { w.restart(400) })
		began = time.Now()
		o = w.serve("/read/1")
		is.Equal(o.Status, http.StatusOK)
		is.Equal(time.Since(began), 100*time.Millisecond)
		is.True(w.calls[0].Server.ID != w.calls[1].Server.ID)
	})
}

// Guards against tokens of another run: after a restart, the handle of an earlier
// copy may identify a different one.
func TestCopyFromBeforeARestartIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.setStartTimes(100)
		first := newGeneration(1, 100, gap)
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			if call.Resume != nil {
				t.Error("resumed from a copy on an earlier incarnation")
			}
			return first.reply(), nil
		}
		w.copy = func(_, destination fleet.Server, last bool) (CopyResult, error) {
			if last {
				destination.Born = 200
				w.fleet.Put(destination)
				close(first.interrupt)
			}
			return CopyResult{Handle: "1", Done: true}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Incarnation(), fleet.SourceList) })
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), &recorder{})
		is.True(!o.Complete)
		is.Equal(o.Reason, ReasonMoveFailed)
	})
}

// Guards against a log line that blames the caller when a stopping host cuts off a
// generation at the end of its grace period.
func TestCutOffAtTheEndOfAStopIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		first := newGeneration(1, 1000, gap)
		w.send = func(context.Context, Call) (*Reply, error) { return first.reply(), nil }
		ctx, cutOff := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, func() { w.gateway.Stop(time.Now().Add(7 * time.Second)) })
		time.AfterFunc(8*time.Second, func() {
			cutOff()
			first.reader.CloseWithError(context.Canceled)
		})
		o := w.gateway.Serve(ctx, w.request("/letter/1"), &recorder{})
		is.Equal(o.Reason, ReasonHostStopped)
		is.True(!o.NotRun)
		time.Sleep(gap) // until the engine's writer has failed
	})
}
