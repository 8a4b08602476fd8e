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

// running is a generation that this host started, with its grant from routing.
type running struct {
	stream    *stream
	grant     routing.Grant
	whole     bool // it ended with finishStop
	preempted int  // highest count of preemptions reported by the engine
	pace      pace
}

// take reports a chunk to routing and returns the time since the previous one.
func (g *running) take(chunk backend.CompletionChunk) time.Duration {
	g.preempted = max(g.preempted, chunk.Preempted)
	if reason := finishReason(chunk); reason != "" {
		g.whole = reason == finishStop
		return 0
	}
	gap := g.pace.gap()
	g.grant.Progress(chunk.Index+1, gap)
	return gap
}

func (g *running) finish(refusal *contract.Refusal) {
	g.grant.Done(routing.Result{
		Tokens: g.stream.next, Complete: g.whole, Preempted: g.preempted,
		Failed: refusal != nil && refusal.Reason == contract.ReasonBackendFailed,
	})
}

// pace measures the time between tokens.
type pace struct {
	last time.Time
}

// gap returns the time since the previous call, zero on the first call.
func (p *pace) gap() time.Duration {
	now := time.Now()
	defer func() { p.last = now }()
	if p.last.IsZero() {
		return 0
	}
	return now.Sub(p.last)
}

// start acquires a backend server for a generation and starts it there. It
// retries on other servers as long as that is safe. The returned error is a
// *contract.Refusal.
func (r *Relay) start(ctx context.Context, organisation string, document *contract.Document, request *GenerateRequest, tries *attempts) (*running, error) {
	limit := document.LimitOf(organisation)
	for {
		grant, err := r.acquire(ctx, tries, routing.Request{
			Service: document.Service, Organisation: organisation,
			PromptTokens: backend.PromptTokens(request.Prompt), MaxTokens: request.MaxTokens,
			PrefixHash: backend.PrefixHash(request.Prompt),
			Priority:   limit.Priority, Deadline: time.Now().Add(document.Deadlines.Queue),
		})
		if err != nil {
			return nil, tries.settle(asRefusal(err))
		}
		place := Place{Organisation: organisation, Service: document.Service, Server: grant.Address(), Generation: uuid.NewString()}
		current, err := r.Backend.Start(ctx, place.Server, backend.CompletionRequest{
			Model: grant.Model(), Prompt: request.Prompt, MaxTokens: request.MaxTokens,
			Stream: true, GenerationID: place.Generation, Priority: limit.Priority, StopAfter: request.StopAfter,
		})
		r.OnBackend(place.Server, err)
		if err == nil {
			source := r.newStream(document, place, 0)
			source.use(current)
			return &running{grant: grant, stream: source}, nil
		}
		grant.Done(routing.Result{Failed: true, NotRun: ranNothing(err)})
		tries.crashes.failed(ctx, place.Server, err)
		if !ranNothing(err) {
			r.cancel(place) // the generation may run without a reader
		}
		if !tries.again(ctx, grant.Server(), err) {
			return nil, tries.refusal(err)
		}
		r.Metrics.retries.WithLabelValues(document.Service).Inc()
	}
}

// cancel asks the engine, in the background, to cancel a generation that nobody
// will read, so that its memory is freed.
func (r *Relay) cancel(place Place) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		_ = r.Backend.Cancel(ctx, place.Server, place.Generation) // on failure the engine's grace period ends the generation
	}()
}
