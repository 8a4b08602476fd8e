package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/internal/bytebudget"
)

// inHand counts the bytes that were read of answers that are still open.
type inHand struct {
	mu          sync.Mutex // guards all below
	bytes, most int
}

func (i *inHand) add(bytes int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.bytes += bytes
	i.most = max(i.most, i.bytes)
}

// endlessBody repeats a text, a piece each millisecond, until it is closed.
type endlessBody struct {
	text   string
	read   int
	inHand *inHand
}

func (b *endlessBody) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	for i := range p {
		p[i] = b.text[(b.read+i)%len(b.text)]
	}
	b.read += len(p)
	b.inHand.add(len(p))
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.inHand.add(-b.read)
	b.read = 0
	return nil
}

// endlessReply is an answer whose body has no end.
func endlessReply(text string, counted *inHand) *Reply {
	reply := answer(http.StatusOK, "")
	reply.Body = &endlessBody{text: text, inHand: counted}
	return reply
}

// Guards against the bodies of many answers without an end, which together take the host
// over its memory limit, and against small answers for which they leave no room.
func TestEndlessAnswersShareTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		counted, free := &inHand{}, w.gateway.answers.Free()
		newTask := func() *task { return &task{gateway: w.gateway, memory: w.gateway.answers.NewAccount()} }
		const calls = 40
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				t, reply := newTask(), endlessReply("a", counted)
				_, err := t.readAnswer(context.Background(), nil, reply)
				is.True(isOversized(err))
				small, err := newTask().readAnswer(context.Background(), nil, answer(http.StatusOK, "ok"))
				is.NoErr(err)
				is.Equal(string(small), "ok")
				_ = reply.Body.Close()
				t.memory.Release()
			})
		}
		group.Wait()
		is.True(counted.most > int(free)/4) // many are in hand at a time
		is.True(counted.most <= int(free)+calls*bytebudget.FreeBytes)
		is.Equal(w.gateway.answers.Free(), free)
	})
}

// Guards against a caller that waits for its deadline while an answer has no end, and
// against a request that is quarantined because of such answers.
func TestEndlessAnswerIsGivenUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return endlessReply("a", &inHand{}), nil }
		began := time.Now()
		o := w.serve("/write/1")
		is.Equal(o.Status, http.StatusBadGateway)
		is.Equal(o.Reason, ReasonBroken)
		is.True(time.Since(began) < 100*time.Millisecond)
		w.endedServers = map[string]bool{"p1": true, "p2": true} // later, for another reason
		time.Sleep(2 * time.Second)
		w.endedServers = map[string]bool{}
		is.True(w.serve("/write/1").Reason != ReasonQuarantined)
	})
}

// Guards against events without an end in many streams at a time.
func TestEndlessEventsShareTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		counted := &inHand{}
		free := w.gateway.answers.Free()
		w.send = func(context.Context, Call) (*Reply, error) {
			reply := endlessReply(strings.Repeat("a", 80)+"\n", counted)
			reply.Header.Set("Content-Type", "text/event-stream")
			return reply, nil
		}
		const streams = 100
		var group sync.WaitGroup
		for range streams {
			group.Go(func() {
				o := w.serve("/letter/1")
				is.True(!o.Complete)
				o.Release()
			})
		}
		group.Wait()
		is.True(counted.most <= int(free)+streams*bytebudget.FreeBytes)
		is.Equal(w.gateway.answers.Free(), free)
	})
}

// Guards against the memory of a large event, or of an answer that was followed by another
// attempt, that stays reserved.
func TestMemoryOfAnswersIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		free, large := w.gateway.answers.Free(), strings.Repeat("a", 200<<10)
		attempts := 0
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			if strings.HasPrefix(call.Request.Path, "/letter/") {
				reply := answer(http.StatusOK, "")
				reply.Body = io.NopCloser(strings.NewReader("id: 1\ndata: " + large + "\n\nid: 2\ndata: b\n\n"))
				reply.Header.Set("Content-Type", "text/event-stream")
				return reply, nil
			}
			if attempts++; attempts == 1 {
				return answer(http.StatusInternalServerError, large), nil
			}
			return answer(http.StatusOK, large), nil
		}
		for _, path := range []string{"/read/1", "/letter/1"} {
			o := w.serve(path)
			is.True(o.Complete)
			o.Release()
			is.Equal(w.gateway.answers.Free(), free)
		}
	})
}
