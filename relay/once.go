package relay

import (
	"context"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/record"
)

// RunOnce runs a non-idempotent request whose home is this host, and returns the
// recorded answer. For a key of an adopted incarnation it never runs the request.
// Repeats with the same key get the same answer.
func (r *Relay) RunOnce(ctx context.Context, key record.Key, request *peerpb.ForwardRequest) record.Answer {
	entry, first, refusal := r.Ledger.Begin(request.GetOrganisation(), key, fingerprintOf(request))
	if refusal != nil {
		return record.Answer{Refusal: refusal}
	}
	if first {
		// The run is independent of the caller's connection: its outcome must be
		// recorded even if nobody waits for it.
		go r.runAndRecord(context.WithoutCancel(ctx), entry, request)
	}
	answer, err := entry.Wait(ctx)
	if err != nil {
		return record.Answer{Refusal: contract.Unknown(contract.ReasonInProgress, time.Second, "the request still runs; repeat it with the same key").WithCause(err)}
	}
	return answer
}

func (r *Relay) runAndRecord(ctx context.Context, entry *record.Entry, request *peerpb.ForwardRequest) {
	document, refusal := r.document(request.GetService())
	switch {
	case refusal != nil:
		entry.Finish(record.Answer{Refusal: refusal})
	case document.Kind == contract.KindModel:
		r.runGeneration(ctx, entry, document, request)
	default:
		entry.Finish(storedAnswer(r.tryCall(ctx, document, request, false)))
	}
}

// storedAnswer returns an answer in the form in which it is stored for repeats of
// its key. A stored unknown outcome does not change later, so it has no
// retry-after: a retry with the same key would return the same outcome.
func storedAnswer(answer record.Answer) record.Answer {
	if answer.Refusal != nil && answer.Refusal.Outcome == contract.OutcomeUnknown {
		final := *answer.Refusal
		final.RetryAfter = 0
		answer.Refusal = &final
	}
	return answer
}

// runGeneration starts a generation, records its location, and reads it to its
// end to report the progress to routing, independently of other readers.
func (r *Relay) runGeneration(ctx context.Context, entry *record.Entry, document *contract.Document, request *peerpb.ForwardRequest) {
	parsed, refusal := parseGenerate(request.GetBody(), document)
	if refusal != nil {
		entry.Finish(record.Answer{Refusal: refusal})
		return
	}
	ctx, tries, end := r.newAttempts(ctx, document, request, parsed.Prompt, false)
	defer end()
	started, err := r.startGeneration(ctx, request.GetOrganisation(), document, parsed, tries)
	if err != nil {
		entry.Finish(storedAnswer(record.Answer{Refusal: asRefusal(err)}))
		return
	}
	entry.Finish(record.Answer{EventID: r.Signer.ForGeneration(started.stream.ref).EventIDAt(0)})
	defer started.stream.Close()
	for {
		chunk, err := started.stream.Next(ctx)
		if err != nil {
			tries.crashes.streamEnded(started.stream, err)
			if context.Cause(ctx) == errQuarantined {
				r.cancel(started.stream.ref)
			}
			started.finish(nil)
			return
		}
		started.recordChunk(chunk)
	}
}
