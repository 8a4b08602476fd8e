package engine

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fake/network"
)

const (
	callerIP      = "10.0.0.1"
	engineAddress = "10.0.1.1:8000"
)

// runWithEngine runs test with an engine and a client of it in virtual time.
func runWithEngine(t *testing.T, config Config, test func(is *is.I, e *Engine, c *backend.Client)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fabric := network.New(network.Options{})
		listener, err := fabric.Host("10.0.1.1").Listen(engineAddress)
		is.NoErr(err)
		e := New(config)
		go e.Serve(listener)
		c := backend.NewClient(fabric.Host(callerIP), backend.ClientOptions{})
		test(is, e, c)
		c.Close()
		is.NoErr(e.Close())
	})
}

// read reads a stream to its end and returns its tokens and finish reason.
func read(is *is.I, s *backend.Stream) (tokens []string, finish string) {
	is.Helper()
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return tokens, finish
		}
		is.NoErr(err)
		if finish = chunk.Choices[0].FinishReason; finish == "" {
			tokens = append(tokens, chunk.Choices[0].Text)
		}
	}
}

func start(is *is.I, c *backend.Client, request backend.CompletionRequest) *backend.Stream {
	is.Helper()
	s, err := c.Start(context.Background(), engineAddress, request)
	is.NoErr(err)
	return s
}

func TestStreamIsWholeAndResumable(t *testing.T) {
	runWithEngine(t, Config{}, func(is *is.I, e *Engine, c *backend.Client) {
		s := start(is, c, backend.CompletionRequest{GenerationID: "g1", Prompt: "snow", StopAfter: 5})
		tokens, finish := read(is, s)
		is.Equal(finish, "stop")
		is.Equal(len(tokens), 5)
		for i, token := range tokens {
			is.Equal(token, TokenText("g1", i))
		}
		resumed, err := c.Resume(context.Background(), engineAddress, "g1", 3)
		is.NoErr(err)
		rest, _ := read(is, resumed)
		is.Equal(rest, tokens[3:])
		time.Sleep(2 * time.Minute) // longer than Keep
		_, err = c.Resume(context.Background(), engineAddress, "g1", 3)
		is.Equal(evidence(err), backend.Lost)
		runs := e.Runs()
		is.Equal(len(runs), 1)
		is.Equal(runs[0], Run{GenerationID: "g1", Prompt: "snow", Tokens: 5, Finish: "stop", Started: runs[0].Started})
	})
}

func evidence(err error) backend.Evidence {
	var failed *backend.CallError
	if errors.As(err, &failed) {
		return failed.Evidence
	}
	return 0
}

func TestFullMemoryPreemptsLowestPriorityThenNewest(t *testing.T) {
	runWithEngine(t, Config{TokenCapacity: 60}, func(is *is.I, e *Engine, c *backend.Client) {
		first := start(is, c, backend.CompletionRequest{GenerationID: "old", StopAfter: 40, Priority: 1})
		second := start(is, c, backend.CompletionRequest{GenerationID: "low", StopAfter: 40})
		third := start(is, c, backend.CompletionRequest{GenerationID: "new", StopAfter: 10, Priority: 1})
		for _, s := range []*backend.Stream{first, second, third} {
			_, finish := read(is, s)
			is.Equal(finish, "stop")
		}
		for _, run := range e.Runs() {
			is.Equal(run.Preempted > 0, run.GenerationID == "low")
		}
		is.True(e.Counters().Preemptions > 0)
	})
}

func TestGenerationWithoutReaderIsCancelledAfterGrace(t *testing.T) {
	runWithEngine(t, Config{Grace: 2 * time.Second}, func(is *is.I, e *Engine, c *backend.Client) {
		s := start(is, c, backend.CompletionRequest{GenerationID: "g", StopAfter: 100_000, MaxTokens: 100_000})
		_, err := s.Next()
		is.NoErr(err)
		is.NoErr(s.Close())
		time.Sleep(time.Second)
		is.Equal(e.Runs()[0].Finish, "")
		time.Sleep(2 * time.Second)
		is.Equal(e.Runs()[0].Finish, "cancelled")
	})
}

func TestCancelEndsStream(t *testing.T) {
	runWithEngine(t, Config{}, func(is *is.I, _ *Engine, c *backend.Client) {
		s := start(is, c, backend.CompletionRequest{GenerationID: "g", StopAfter: 1000})
		is.NoErr(c.Cancel(context.Background(), engineAddress, "g"))
		_, finish := read(is, s)
		is.Equal(finish, "cancelled")
		is.Equal(evidence(c.Cancel(context.Background(), engineAddress, "other")), backend.Lost)
	})
}

func TestLeavingRefusesNewWorkAndFinishesRunning(t *testing.T) {
	runWithEngine(t, Config{ReportLag: time.Second}, func(is *is.I, e *Engine, c *backend.Client) {
		s := start(is, c, backend.CompletionRequest{GenerationID: "g", StopAfter: 500})
		e.Leave(true)
		_, err := c.Start(context.Background(), engineAddress, backend.CompletionRequest{GenerationID: "h"})
		var failed *backend.CallError
		is.True(errors.As(err, &failed))
		is.Equal(failed.Evidence, backend.RefusedNotRun)
		is.Equal(failed.RetryAfter, time.Second)
		report, err := c.Load(context.Background(), engineAddress)
		is.NoErr(err)
		is.True(!report.Leaving) // the report is stale
		time.Sleep(time.Second)
		report, err = c.Load(context.Background(), engineAddress)
		is.NoErr(err)
		is.True(report.Leaving)
		tokens, _ := read(is, s)
		is.Equal(len(tokens), 500)
	})
}

func TestReclaimBreaksStreamsWhenItsTimeIsUp(t *testing.T) {
	runWithEngine(t, Config{}, func(is *is.I, e *Engine, c *backend.Client) {
		s := start(is, c, backend.CompletionRequest{GenerationID: "g", StopAfter: 4000})
		began := time.Now()
		e.Reclaim(time.Second)
		report, err := c.Load(context.Background(), engineAddress)
		is.NoErr(err)
		is.Equal(report.LeaveInMillis, int64(1000))
		for err == nil {
			_, err = s.Next()
		}
		is.Equal(evidence(err), backend.Broken)
		is.Equal(time.Since(began), time.Second)
	})
}

func TestOrdersObeyFenceOnlyWhereHonoured(t *testing.T) {
	for _, honours := range []bool{true, false} {
		runWithEngine(t, Config{HonourFence: honours, LoadTime: time.Second}, func(is *is.I, e *Engine, c *backend.Client) {
			ctx := context.Background()
			order := backend.OrderRequest{OrderID: "1", Kind: backend.OrderLoad, Model: "a@1", Fence: 7}
			state, err := c.Order(ctx, engineAddress, order)
			is.NoErr(err)
			is.Equal(state, backend.EngineState{Models: []string{"a@1"}, LastOrder: "1", LastFence: 7})
			_, err = c.Order(ctx, engineAddress, backend.OrderRequest{OrderID: "2", Kind: backend.OrderUnload, Model: "a@1", Fence: 6})
			state, stateErr := c.ReadState(ctx, engineAddress)
			is.NoErr(stateErr)
			is.Equal(evidence(err) == backend.RefusedNotRun, honours)
			is.Equal(len(state.Models) == 1, honours)
		})
	}
}

func TestCacheEventsComeLateAndReuseSavesPrefill(t *testing.T) {
	config := Config{CacheLag: time.Second, CacheTokens: 100, StepPerPrefillToken: time.Millisecond}
	runWithEngine(t, config, func(is *is.I, _ *Engine, c *backend.Client) {
		prompt := string(make([]byte, backend.PrefixBytes))
		firstToken := func(id, prompt string) time.Duration {
			began := time.Now()
			s := start(is, c, backend.CompletionRequest{GenerationID: id, Prompt: prompt, StopAfter: 1})
			read(is, s)
			return time.Since(began)
		}
		cold, warm := firstToken("1", prompt), firstToken("2", prompt)
		is.Equal(cold-warm, 64*time.Millisecond)
		events, err := c.CacheEvents(context.Background(), engineAddress, 0)
		is.NoErr(err)
		is.Equal(len(events), 0)
		firstToken("3", "x"+prompt)
		time.Sleep(time.Second)
		events, err = c.CacheEvents(context.Background(), engineAddress, 0)
		is.NoErr(err)
		is.Equal(len(events), 3) // two insertions and the eviction of the first prefix
		is.True(events[2].Evicted)
		is.Equal(events[2].Prefix, backend.PrefixHash(prompt))
	})
}

func TestCrossedAndMissingChunksAreMismatches(t *testing.T) {
	faults := map[string]func(*Engine){
		"crossed answer": func(e *Engine) { e.CrossAnswers(1) },
		"crossed chunk":  func(e *Engine) { e.CrossChunks(1) },
		"missing chunk":  func(e *Engine) { e.SkipChunks(1) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			runWithEngine(t, Config{}, func(is *is.I, e *Engine, c *backend.Client) {
				inject(e)
				s, err := c.Start(context.Background(), engineAddress, backend.CompletionRequest{GenerationID: "g", StopAfter: 9})
				for err == nil {
					_, err = s.Next()
				}
				is.Equal(evidence(err), backend.Mismatch)
			})
		})
	}
}

func TestPausedEngineKeepsStreamAliveWithComments(t *testing.T) {
	runWithEngine(t, Config{}, func(is *is.I, e *Engine, c *backend.Client) {
		s := start(is, c, backend.CompletionRequest{GenerationID: "g", StopAfter: 3})
		e.Pause(true)
		time.AfterFunc(time.Minute, func() { e.Pause(false) })
		tokens, _ := read(is, s)
		is.Equal(len(tokens), 3)
	})
}

// Guards against streams without length or chunks that lose, repeat or invent tokens,
// however they break off.
func TestUnframedStreamsEndAsOrdered(t *testing.T) {
	runWithEngine(t, Config{}, func(is *is.I, e *Engine, c *backend.Client) {
		e.UnframedStreams(EndWhole)
		s := start(is, c, backend.CompletionRequest{GenerationID: "whole", StopAfter: 5})
		tokens, finish := read(is, s)
		is.Equal(finish, "stop")
		is.Equal(len(tokens), 5)
		for _, end := range []StreamEnd{CutBetween, CutInside, ResetBetween, ResetInside} {
			id := fmt.Sprint("g", end)
			e.UnframedStreams(end)
			s := start(is, c, backend.CompletionRequest{GenerationID: id, StopAfter: 5})
			chunk, err := s.Next()
			is.NoErr(err)
			is.Equal(chunk.Choices[0].Text, TokenText(id, 0))
			_, err = s.Next()
			is.Equal(evidence(err), backend.Broken)
			resumed, err := c.Resume(context.Background(), engineAddress, id, 1)
			is.NoErr(err)
			tokens, finish := read(is, resumed)
			is.Equal(finish, "stop")
			is.Equal(tokens[0], TokenText(id, 1))
			is.Equal(len(tokens), 4)
		}
	})
}
