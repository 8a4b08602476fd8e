package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
)

// Guards against a crash that is taken for the end of a stream: it would count as a success
// of the server and clear the request that crashes its servers.
func TestCrashInsideAnEventCountsAsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.put("e3", "llm")
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			w.crash(call)
			return answer(http.StatusOK, eventText(1)+"id: 2\nda"), nil
		}
		for range 2 {
			caller := &recorder{}
			o := w.gateway.Serve(context.Background(), w.request("/letter/1"), caller)
			is.True(o.Streamed && !o.Complete)
			is.Equal(caller.body.String(), eventText(1))
			time.Sleep(2 * time.Second)
		}
		answered := 0
		for _, evidence := range w.fleet.TakeEvidence("llm") {
			answered += evidence.Answered
		}
		is.Equal(answered, 0)
		is.Equal(w.serve("/letter/1").Reason, ReasonQuarantined)
	})
}

// serveLetterOfLeavingEngine serves a letter whose engine is known to leave after a second.
func (w *harness) serveLetterOfLeavingEngine() (Outcome, *recorder) {
	time.AfterFunc(time.Second, func() { w.fleet.MarkLeaving(w.calls[0].Server.Incarnation(), fleet.SourceList) })
	caller := &recorder{}
	return w.gateway.Serve(context.Background(), w.request("/letter/1"), caller), caller
}

// Guards against a stream without length that its source stopped for a move, closing it in
// order between two events, and that counts as complete.
func TestMovedStreamWithoutLengthGoesOn(t *testing.T) {
	for _, tail := range []string{"", "id: 99\nda"} {
		synctest.Test(t, func(t *testing.T) {
			is, w := is.New(t), newHarness()
			first := newGeneration(1, 100, gap)
			first.tail = tail
			w.send = func(_ context.Context, call Call) (*Reply, error) {
				if call.Resume == nil {
					return first.withoutLength(), nil
				}
				return newGeneration(atoi(call.Resume.LastEventID)+1, 100, gap).withoutLength(), nil
			}
			w.copy = func(_, _ fleet.Server, last bool) (CopyResult, error) {
				time.Sleep(190 * time.Millisecond)
				if last {
					close(first.interrupt)
					time.Sleep(50 * time.Millisecond)
				}
				return CopyResult{Handle: "h", Done: true}, nil
			}
			o, caller := w.serveLetterOfLeavingEngine()
			is.True(o.Complete)
			is.Equal(caller.body.String(), wholeStream(100))
			is.Equal(len(w.calls), 2)
		})
	}
}

// Guards against a stream without length that ended by itself just before its source was
// told to stop it, and that counts as broken off.
func TestStreamWithoutLengthThatEndsBeforeItsMoveIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return newGeneration(1, 30, gap).withoutLength(), nil }
		w.copy = func(_, _ fleet.Server, last bool) (CopyResult, error) {
			time.Sleep(150 * time.Millisecond) // the run ends meanwhile
			return CopyResult{Handle: "h", Done: !last, Gone: last}, nil
		}
		o, caller := w.serveLetterOfLeavingEngine()
		is.True(o.Complete)
		is.Equal(caller.body.String(), wholeStream(30))
		is.Equal(len(w.calls), 1)
		time.Sleep(time.Second) // until the move has ended
	})
}

// Guards against a stream without length that its source stopped and that counts as complete
// because the result of the move is not known.
func TestStoppedStreamWithoutLengthIsNotCompleteWithoutAResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		first := newGeneration(1, 100, gap)
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			if call.Resume != nil {
				return notRunReply(), nil
			}
			return first.withoutLength(), nil
		}
		w.copy = func(_, _ fleet.Server, last bool) (CopyResult, error) {
			if !last {
				return CopyResult{Handle: "h", Done: true}, nil
			}
			close(first.interrupt)
			time.Sleep(time.Second)
			return CopyResult{}, broken(backend.Silent)
		}
		o, caller := w.serveLetterOfLeavingEngine()
		is.True(!o.Complete)
		is.Equal(o.Reason, ReasonMoveFailed)
		is.Equal(caller.body.String(), wholeStream(caller.events()))
	})
}

// Guards against answers without length of a server that ended, whose connections the
// system closes in order, and that count as complete.
func TestAnswerWithoutLengthOfAServerThatEndedIsBrokenOff(t *testing.T) {
	for path, body := range map[string]string{"/letter/1": wholeStream(3), "/write/1": "ha", "/read/1": "ha"} {
		for _, ended := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is, w := is.New(t), newHarness()
				w.send = func(_ context.Context, call Call) (*Reply, error) {
					if ended {
						w.crash(call)
					}
					r := answer(http.StatusOK, body)
					r.Framing = backend.FramedByConnection
					return r, nil
				}
				o := w.serve(path)
				is.Equal(o.Complete, !ended)
				if ended {
					is.True(o.Reason == ReasonBroken || path == "/read/1" && o.Reason == ReasonQuarantined) // after two servers
					is.True(!o.NotRun)
				}
				time.Sleep(2 * time.Second) // until the checks for a crash have ended
			})
		}
	}
}

// Guards against an answer over the size limit that is cut there and looks complete.
func TestAnswerOverTheSizeLimitIsNotDeliveredInPart(t *testing.T) {
	for _, path := range []string{"/letter/1", "/write/1"} {
		for size, whole := range map[int]bool{maxAnswerBytes: true, maxAnswerBytes + 1: false} {
			synctest.Test(t, func(t *testing.T) {
				is, w := is.New(t), newHarness()
				w.send = func(context.Context, Call) (*Reply, error) {
					r := answer(http.StatusOK, strings.Repeat("x", size))
					r.Header.Set("Content-Type", "application/json")
					return r, nil
				}
				o := w.serve(path)
				is.Equal(o.Complete, whole)
				if !whole {
					is.Equal(o.Status, http.StatusBadGateway)
					is.Equal(len(o.Body), 0)
				}
			})
		}
	}
}
