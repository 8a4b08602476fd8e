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

// restart makes the server that got the first call start again under its id.
func (w *world) restart(born int64) {
	w.mu.Lock()
	server := w.calls[0].Server
	w.mu.Unlock()
	server.Born = born
	w.fleet.Put(server)
}

// giveBirth lets the servers say when they were born.
func (w *world) giveBirth(born int64) {
	for _, service := range []string{"llm", "plain"} {
		for _, server := range w.fleet.Usable(service) {
			server.Born = born
			w.fleet.Put(server)
		}
	}
}

// Guards against callers that wait for a run which was lost with an earlier life of its engine.
func TestRunThatWasLostWithALifeEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.giveBirth(100)
		w.send = func(ctx context.Context, call Call) (*Reply, error) {
			g := newGeneration(1, 1<<20, gap)
			context.AfterFunc(ctx, func() { g.reader.CloseWithError(ctx.Err()) })
			return g.reply(), nil
		}
		w.copy = func(_, _ fleet.Server, _ bool) (Copied, error) {
			t.Error("the later life was asked for a run of the earlier one")
			return Copied{}, nil
		}
		time.AfterFunc(time.Second, func() { w.restart(200) })
		began := time.Now()
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), &recorder{})
		is.True(!o.Complete)
		is.True(!o.NotRun)
		is.Equal(o.Reason, ReasonMoveFailed)
		is.True(time.Since(began) < 1100*time.Millisecond)
		is.Equal(len(w.calls), 1)
		time.Sleep(gap) // the engine notices that nobody reads
	})
}

// Guards against a second run of a write whose server has started again.
func TestWriteSentToAnEarlierLifeIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.giveBirth(100)
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
		w.giveBirth(300)
		time.AfterFunc(100*time.Millisecond, func() { w.restart(400) })
		began = time.Now()
		o = w.serve("/read/1")
		is.Equal(o.Status, http.StatusOK)
		is.Equal(time.Since(began), 100*time.Millisecond)
		is.True(w.calls[0].Server.ID != w.calls[1].Server.ID)
	})
}

// Guards against another run's tokens from a copy with the name of an earlier one.
func TestCopyOfAnEarlierLifeIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
		w.giveBirth(100)
		first := newGeneration(1, 100, gap)
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			if call.Resume != nil {
				t.Error("resumed from a copy of the earlier life")
			}
			return first.reply(), nil
		}
		w.copy = func(_, destination fleet.Server, last bool) (Copied, error) {
			if last {
				destination.Born = 200
				w.fleet.Put(destination)
				close(first.broke)
			}
			return Copied{Handle: "1", Done: true}, nil
		}
		time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Life(), fleet.SourceList) })
		o := w.gateway.Serve(context.Background(), w.request("/letter/1"), &recorder{})
		is.True(!o.Complete)
		is.Equal(o.Reason, ReasonMoveFailed)
	})
}

func TestStopThatEndsBeforeARunSaysSo(t *testing.T) {
	// A host is stopped, and its letter needs longer than the grace. The line
	// that explains it blamed the caller, who had waited all the time.
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorld()
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
		time.Sleep(gap) // the engine notices that nobody reads
	})
}
