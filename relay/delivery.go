package relay

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

const chunkBuffer = 64 // maximum number of chunks read ahead of a slow caller

// streamItem is a chunk, or the error that ended a stream.
type streamItem struct {
	chunk backend.CompletionChunk
	err   error
}

// readAhead reads a stream into a bounded channel until an error or the end of ctx.
// The bound passes the backpressure of a slow caller on to the engine's
// connection, so that its chunks do not fill this host's memory.
func (s *stream) readAhead(ctx context.Context) <-chan streamItem {
	chunks := make(chan streamItem, chunkBuffer)
	go func() {
		defer close(chunks)
		for {
			chunk, err := s.Next(ctx)
			select {
			case chunks <- streamItem{chunk, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return chunks
}

// deliver writes a stream's tokens to the caller until the stream ends. The
// stream's connections are bound to ctx; stop cancels ctx.
func (r *Relay) deliver(ctx context.Context, stop context.CancelFunc, source *stream, out *eventWriter, started *startedGeneration) *contract.Refusal {
	if err := out.start(); err != nil {
		stop()
		source.Close()
		return callerGone(err)
	}
	firstToken := source.firstTokenTimeout() // called before the reader goroutine owns the stream
	chunks := source.readAhead(ctx)
	defer func() {
		stop()
		for range chunks { // the reader goroutine closes the channel when it ends
		}
		source.Close()
	}()
	d := &delivery{relay: r, out: out, signer: r.Signer.ForGeneration(source.ref), service: source.ref.Service, started: started}
	keepAlive := time.NewTicker(r.KeepAlive)
	defer keepAlive.Stop()
	for {
		select {
		case item, ok := <-chunks:
			if !ok {
				return callerGone(ctx.Err())
			}
			firstToken = nil
			if done, refusal := d.writeReady(item, chunks); done {
				return refusal
			}
		case <-firstToken:
			r.OnBackend(source.ref.Server, errNoToken)
			return contract.Unknown(contract.ReasonDeadline, defaultRetryAfter, "no token within the service's deadline").WithCause(errNoToken)
		case <-keepAlive.C:
			if err := out.keepAlive(); err != nil {
				return callerGone(err)
			}
		case <-ctx.Done():
			return callerGone(ctx.Err())
		}
	}
}

// errNoToken is reported for an engine that accepted a generation and then sent
// no token: it may be frozen, and may run the generation when it resumes.
var errNoToken = &backend.CallError{Evidence: backend.Silent, Err: errors.New("no token within the deadline")}

func callerGone(err error) *contract.Refusal {
	return contract.Unknown(contract.ReasonCallerGone, 0, "the caller went away").WithCause(err)
}

// streamRefusal converts the error that ended a stream early to a refusal.
func streamRefusal(err error) *contract.Refusal {
	if refusal := asRefusal(err); refusal.Reason != contract.ReasonBackendFailed {
		return refusal
	}
	return contract.Unknown(contract.ReasonBackendFailed, defaultRetryAfter, "the generation cannot be read from its backend server").WithCause(err)
}

// delivery is the state of sending one stream to one caller.
type delivery struct {
	relay   *Relay
	out     *eventWriter
	signer  *GenerationSigner
	service string
	started *startedGeneration // nil if another reader reports the progress, or another host started it
	gaps    gapTimer           // used if started is nil
}

// writeReady writes one item and all further items that are ready, in one flush.
func (d *delivery) writeReady(item streamItem, chunks <-chan streamItem) (done bool, refusal *contract.Refusal) {
	for ready := true; ready && !done; {
		if done, refusal = d.bufferEvent(item); !done {
			item, ready = poll(chunks)
		}
	}
	if err := d.out.flush(); err != nil && refusal == nil {
		refusal = callerGone(err)
	}
	return done || refusal != nil, refusal
}

// poll returns the next item if one is ready, without waiting.
func poll(chunks <-chan streamItem) (streamItem, bool) {
	select {
	case item, ok := <-chunks:
		return item, ok
	default:
		return streamItem{}, false
	}
}

// bufferEvent encodes one chunk as an event into the write buffer. done is set when
// the stream has ended.
func (d *delivery) bufferEvent(item streamItem) (done bool, refusal *contract.Refusal) {
	if item.err == io.EOF {
		return true, nil
	}
	if item.err != nil {
		return true, streamRefusal(item.err)
	}
	if len(item.chunk.Choices) == 0 {
		return false, nil
	}
	d.relay.Metrics.countToken(d.service, d.recordGap(item.chunk))
	// Encoding cannot fail: a TokenEvent has only strings and numbers.
	if reason := finishReason(item.chunk); reason != "" {
		total := item.chunk.Index
		if item.chunk.Usage != nil {
			total = item.chunk.Usage.CompletionTokens
		}
		_ = d.out.add(EventEnd, d.signer.EventIDAt(total), TokenEvent{Index: total, Tokens: total, FinishReason: reason})
		return false, nil
	}
	event := TokenEvent{Index: item.chunk.Index, Text: item.chunk.Choices[0].Text}
	_ = d.out.add(EventToken, d.signer.EventIDAt(item.chunk.Index+1), event)
	return false, nil
}

// recordGap returns the time since the previous chunk, or zero if there is none. If
// started is set, it also reports the progress to routing, and returns zero for the
// finish chunk.
func (d *delivery) recordGap(chunk backend.CompletionChunk) time.Duration {
	if d.started != nil {
		return d.started.recordChunk(chunk)
	}
	return d.gaps.gap()
}
