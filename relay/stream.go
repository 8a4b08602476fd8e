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
	// maxReconnects bounds the consecutive reconnections without a token.
	maxReconnects    = 4
	firstReconnect   = 50 * time.Millisecond // delay before the first reconnection
	reconnectDoubles = 3                     // how often the delay doubles at most
)

// stream reads one generation from its backend server and reconnects as needed.
//
// Guards against a connection that stalls or breaks while the engine continues:
// the generation is resumed from the next offset over a new connection before
// the server is considered failed. A stream never starts another generation, so
// tokens of two generations cannot be mixed.
type stream struct {
	backend *backend.Client
	place   Place
	next    int             // offset of the next token
	current *backend.Stream // nil while not connected
	failed  int             // consecutive failed connections
	heard   time.Time       // when the last chunk arrived, initially the creation time
	limit   time.Duration   // time without a chunk after which the generation is abandoned
	gap     time.Duration   // time without an event or comment after which the connection is abandoned
	first   time.Duration   // limit for the first token of a stream from offset 0
	ended   bool            // the chunk with the finish reason has been returned
	onLoad  func(address string, report backend.LoadReport)
}

// newStream returns an unconnected stream of a generation that starts at an
// offset.
func (r *Relay) newStream(document *contract.Document, place Place, next int) *stream {
	return &stream{backend: r.Backend, place: place, next: next, heard: time.Now(), limit: r.StallLimit, gap: document.Deadlines.Gap, first: document.Deadlines.FirstToken, onLoad: r.OnLoad}
}

// firstToken returns a channel that fires when the first token is overdue. It
// is nil for a stream resumed at a later offset, which has no such limit.
//
// Guards against an engine that froze before the first token: it still accepts
// connections, so only the missing token reveals the fault. Without this limit,
// a generation that could run on another server would wait for StallLimit.
func (s *stream) firstToken() <-chan time.Time {
	if s.next > 0 || s.first <= 0 {
		return nil
	}
	return time.After(s.first)
}

// Next returns the next chunk, and io.EOF after the last one.
func (s *stream) Next(ctx context.Context) (backend.CompletionChunk, error) {
	for !s.ended {
		if err := s.connect(ctx); err != nil {
			return backend.CompletionChunk{}, err
		}
		chunk, err := s.current.Next()
		if err == nil {
			s.take(chunk)
			return chunk, nil
		}
		if !s.reconnects(ctx, err) {
			return chunk, err
		}
	}
	return backend.CompletionChunk{}, io.EOF
}

// take updates the stream's progress from a chunk and passes on its load report.
func (s *stream) take(chunk backend.CompletionChunk) {
	s.heard = time.Now()
	s.failed = 0
	if chunk.Load != nil {
		s.onLoad(s.place.Server, *chunk.Load)
	}
	if finishReason(chunk) == "" {
		s.next = chunk.Index + 1
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
// while reconnects allows it.
func (s *stream) connect(ctx context.Context) error {
	for s.current == nil {
		current, err := s.backend.Resume(ctx, s.place.Server, s.place.Generation, s.next)
		if err == nil {
			s.use(current)
			return nil
		}
		if evidenceOf(err) == backend.Lost {
			return contract.Unknown(contract.ReasonGenerationLost, 0, "the backend server no longer has the generation").WithStatus(410).WithCause(err)
		}
		if !s.reconnects(ctx, err) {
			return err
		}
	}
	return nil
}

func (s *stream) use(current *backend.Stream) {
	if s.gap > 0 {
		current.SetSilence(s.gap)
	}
	s.current = current
}

// reconnects closes the connection and reports whether to open another one. It
// waits for the backoff before it returns true.
func (s *stream) reconnects(ctx context.Context, err error) bool {
	s.Close()
	if ctx.Err() != nil {
		return false
	}
	switch evidenceOf(err) {
	case backend.Broken, backend.Silent, backend.Mismatch, backend.NothingSent, backend.RefusedNotRun:
	default:
		return false
	}
	if time.Since(s.heard) > s.limit {
		return false
	}
	// A connection that opened and then stalled counts as failed too, but it does
	// not end the stream here; every chunk resets the count.
	if s.failed >= maxReconnects && evidenceOf(err) != backend.Silent {
		return false
	}
	wait := firstReconnect << min(s.failed, reconnectDoubles)
	s.failed++
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
