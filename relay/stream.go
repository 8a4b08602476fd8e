package relay

import (
	"context"
	"io"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	// maxReconnects bounds the consecutive failed connections. A stalled connection
	// counts too, but only stallLimit ends a stream that keeps stalling.
	maxReconnects         = 4
	firstReconnectDelay   = 50 * time.Millisecond // delay before the first reconnection
	maxReconnectDoublings = 3                     // how often the delay doubles at most
)

// stream reads one generation from its backend server and reconnects as needed.
//
// Guards against a connection that stalls or breaks while the engine continues:
// the generation is resumed from the next offset over a new connection before
// the server is considered failed. A stream never starts another generation, so
// tokens of two generations cannot be mixed.
type stream struct {
	backend           *backend.Client
	ref               GenerationRef
	nextOffset        int             // offset of the next token
	current           *backend.Stream // nil while not connected
	failedConnections int             // consecutive failed connections
	lastChunk         time.Time       // when the last chunk arrived, initially the creation time
	stallLimit        time.Duration   // time without a chunk after which the generation is abandoned
	silenceLimit      time.Duration   // time without an event or comment after which the connection is abandoned
	firstTokenLimit   time.Duration   // limit for the first token of a stream from offset 0
	ended             bool            // the chunk with the finish reason has been returned
	onLoad            func(address string, report backend.LoadReport)
}

// newStream returns an unconnected stream of a generation that starts at an
// offset.
func (r *Relay) newStream(document *contract.Document, ref GenerationRef, next int) *stream {
	return &stream{backend: r.Backend, ref: ref, nextOffset: next, lastChunk: time.Now(), stallLimit: r.StallLimit, silenceLimit: document.Deadlines.Gap, firstTokenLimit: document.Deadlines.FirstToken, onLoad: r.OnLoadReport}
}

// firstTokenTimeout returns a channel that fires when the first token is overdue.
// It is nil for a stream resumed at a later offset, which has no such limit.
//
// Guards against an engine that froze before the first token: it still accepts
// connections, so only the missing token reveals the fault. Without this limit,
// a generation that could run on another server would wait for StallLimit.
func (s *stream) firstTokenTimeout() <-chan time.Time {
	if s.nextOffset > 0 || s.firstTokenLimit <= 0 {
		return nil
	}
	return time.After(s.firstTokenLimit)
}

// Next returns the next chunk, and io.EOF after the last one.
func (s *stream) Next(ctx context.Context) (backend.CompletionChunk, error) {
	for !s.ended {
		if err := s.connect(ctx); err != nil {
			return backend.CompletionChunk{}, err
		}
		chunk, err := s.current.Next()
		if err == nil {
			s.recordChunk(chunk)
			return chunk, nil
		}
		if !s.awaitReconnect(ctx, err) {
			return chunk, err
		}
	}
	return backend.CompletionChunk{}, io.EOF
}

// recordChunk updates the stream's progress from a chunk and passes on its load
// report.
func (s *stream) recordChunk(chunk backend.CompletionChunk) {
	s.lastChunk = time.Now()
	s.failedConnections = 0
	if chunk.Load != nil {
		s.onLoad(s.ref.Server, *chunk.Load)
	}
	if finishReason(chunk) == "" {
		s.nextOffset = chunk.Index + 1
		return
	}
	s.ended = true
	// Reads the end marker of the response, so that the connection can be
	// reused. The generation is complete with or without it.
	_, _ = s.current.Next()
}

// finishReason returns the reason why a generation ended, or "" if more chunks
// follow.
func finishReason(chunk backend.CompletionChunk) string {
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].FinishReason
}

// connect opens a connection at the next offset unless there is one. It retries
// while awaitReconnect allows it.
func (s *stream) connect(ctx context.Context) error {
	for s.current == nil {
		current, err := s.backend.Resume(ctx, s.ref.Server, s.ref.Generation, s.nextOffset)
		if err == nil {
			s.setConnection(current)
			return nil
		}
		if evidenceOf(err) == backend.Lost {
			return contract.Unknown(contract.ReasonGenerationLost, 0, "the backend server no longer has the generation").WithStatus(410).WithCause(err)
		}
		if !s.awaitReconnect(ctx, err) {
			return err
		}
	}
	return nil
}

func (s *stream) setConnection(current *backend.Stream) {
	if s.silenceLimit > 0 {
		current.SetReadTimeout(s.silenceLimit)
	}
	s.current = current
}

// awaitReconnect closes the connection and reports whether to open another one.
// It waits for the backoff before it returns true.
func (s *stream) awaitReconnect(ctx context.Context, err error) bool {
	s.Close()
	if ctx.Err() != nil {
		return false
	}
	switch evidenceOf(err) {
	case backend.Broken, backend.Silent, backend.Mismatch, backend.NothingSent, backend.RefusedNotRun:
	default:
		return false
	}
	if time.Since(s.lastChunk) > s.stallLimit {
		return false
	}
	// A connection that opened and then stalled counts as failed too, but does not
	// end the stream here, only at stallLimit above; every chunk resets the count.
	if s.failedConnections >= maxReconnects && evidenceOf(err) != backend.Silent {
		return false
	}
	wait := firstReconnectDelay << min(s.failedConnections, maxReconnectDoublings)
	s.failedConnections++
	return sleep.For(ctx, wait) == nil
}

// Close closes the connection. The generation continues at the engine until its
// grace period for unread generations has passed. Close must not be called while
// Next runs.
func (s *stream) Close() {
	if s.current != nil {
		s.current.Close()
		s.current = nil
	}
}
