package relay

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/routing"
)

const (
	cancelTimeout = 2 * time.Second
	finishStop    = "stop" // finish reason of a generation that completed
)

// startedGeneration is a generation that this host started, with its grant from routing.
type startedGeneration struct {
	stream    *stream
	grant     routing.Grant
	complete  bool // it ended with finishStop
	preempted int  // highest count of preemptions reported by the engine
	gaps      gapTimer
	crashes   *crashTracker
}

// recordChunk reports a chunk to routing and returns the time since the previous one.
func (g *startedGeneration) recordChunk(chunk backend.CompletionChunk) time.Duration {
	g.preempted = max(g.preempted, chunk.Preempted)
	if reason := finishReason(chunk); reason != "" {
		g.complete = reason == finishStop
		return 0
	}
	g.crashes.wrote()
	gap := g.gaps.gap()
	g.grant.Progress(chunk.Index+1, gap)
	return gap
}

func (g *startedGeneration) finish(refusal *contract.Refusal) {
	g.grant.Done(routing.Result{
		Tokens: g.stream.nextOffset, Complete: g.complete, Preempted: g.preempted,
		Failed: refusal != nil && refusal.Reason == contract.ReasonBackendFailed,
	})
}

// gapTimer measures the time between tokens.
type gapTimer struct {
	last time.Time
}

// gap returns the time since the previous call, zero on the first call.
func (t *gapTimer) gap() time.Duration {
	now := time.Now()
	defer func() { t.last = now }()
	if t.last.IsZero() {
		return 0
	}
	return now.Sub(t.last)
}

// startGeneration acquires a backend server for a generation and starts it there.
// It retries as long as that is safe, first on servers on which the request has not
// failed. The returned error is a *contract.Refusal.
func (r *Relay) startGeneration(ctx context.Context, organisation string, document *contract.Document, request *GenerateRequest, tries *attempts) (*startedGeneration, error) {
	limit := document.LimitOf(organisation)
	for {
		grant, err := r.acquire(ctx, tries, routing.Request{
			Service: document.Service, Organisation: organisation,
			PromptTokens: backend.PromptTokens(request.Prompt), MaxTokens: request.MaxTokens,
			PrefixHash: backend.PrefixHash(request.Prompt),
			Priority:   limit.Priority, Deadline: time.Now().Add(document.Deadlines.Queue),
		})
		if err != nil {
			return nil, tries.adjustOutcome(tries.crashes.cancelled(ctx, asRefusal(err)))
		}
		ref := GenerationRef{Organisation: organisation, Service: document.Service, Server: grant.Address(), Generation: uuid.NewString()}
		tries.crashes.sending(ref.Server)
		current, err := r.Backend.Start(ctx, ref.Server, backend.CompletionRequest{
			Model: grant.Model(), Prompt: request.Prompt, MaxTokens: request.MaxTokens,
			Stream: true, GenerationID: ref.Generation, Priority: limit.Priority, StopAfter: request.StopAfter,
		})
		r.OnBackend(ref.Server, err)
		if err == nil {
			tries.crashes.answering()
			source := r.newStream(document, ref, 0)
			source.setConnection(current)
			return &startedGeneration{grant: grant, stream: source, crashes: tries.crashes}, nil
		}
		grant.Done(routing.Result{Failed: true, NotRun: provenNotRun(err)})
		tries.crashes.sendFailed(ctx, ref.Server, err)
		if !provenNotRun(err) {
			r.cancel(ref) // the generation may run without a reader
		}
		if !tries.awaitRetry(ctx, grant.Server(), err) {
			return nil, tries.finalRefusal(ctx, err)
		}
		r.Metrics.retries.WithLabelValues(document.Service).Inc()
	}
}

// cancel asks the engine, in the background, to cancel a generation that nobody
// will read, so that its memory is freed.
func (r *Relay) cancel(ref GenerationRef) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		_ = r.Backend.Cancel(ctx, ref.Server, ref.Generation) // on failure the engine's grace period ends the generation
	}()
}
