package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRefusalBytes limits how much is read of the body of an error response to
// a streaming call.
const maxRefusalBytes = 64 << 10

var (
	errNoFinish        = errors.New("backend: stream ended without a finish chunk")
	errOutOfOrder      = errors.New("backend: chunk out of order")
	errWrongGeneration = errors.New("backend: chunk belongs to another generation")
	errUsage           = errors.New("backend: token usage does not match the number of chunks")
	errContentType     = errors.New("backend: response is not an event stream")
)

// Stream returns the tokens of one generation from an offset on. Next must be
// called by one goroutine at a time; Close may be called from any goroutine.
type Stream struct {
	client      *Client
	ctx         context.Context
	exchange    *exchange
	events      eventReader
	generation  string
	nextIndex   int  // index of the next chunk
	finished    bool // the finish chunk was returned
	err         error
	readTimeout time.Duration // maximum time until the next event or comment is complete
}

// stream makes a call whose response is a completion stream.
func (c *Client) stream(ctx context.Context, address string, call outgoingRequest, generation string, from int) (*Stream, error) {
	x, err := c.startExchange(ctx, address, call, c.options.StreamReadTimeout)
	if err != nil {
		return nil, err
	}
	status, header := x.response.StatusCode, x.response.Header
	if status != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(x.response.Body, maxRefusalBytes))
		x.abandon()
		if err := refusal(status, header, body); err != nil {
			return nil, err
		}
	}
	if media, _, _ := mime.ParseMediaType(header.Get("Content-Type")); status != http.StatusOK || media != ContentTypeSSE {
		x.abandon()
		return nil, &CallError{Evidence: Mismatch, Status: status, Err: errContentType}
	}
	s := &Stream{client: c, ctx: ctx, exchange: x, generation: generation, nextIndex: from, readTimeout: c.options.StreamReadTimeout}
	s.events.limit = c.options.MaxEventBytes
	s.events.reader = bufio.NewReader(x.response.Body)
	return s, nil
}

// Next returns the next chunk. The chunk with a finish reason carries no token
// and its Index is the generation's token count. After that chunk and the done
// marker, Next returns io.EOF. Every other end of the stream is returned as a
// *CallError; later calls return the same error.
func (s *Stream) Next() (CompletionChunk, error) {
	if s.err != nil {
		return CompletionChunk{}, s.err
	}
	chunk, err := s.read()
	if err != nil {
		s.end(err)
		return CompletionChunk{}, s.err
	}
	return chunk, nil
}

// SetReadTimeout overrides ClientOptions.StreamReadTimeout for this stream. It must be
// called before Next.
func (s *Stream) SetReadTimeout(d time.Duration) { s.readTimeout = d }

// Close closes the stream's connection unless the stream has ended. The
// generation continues until the engine ends it for lack of a reader or
// receives a cancel request.
func (s *Stream) Close() error {
	s.exchange.abandon()
	return nil
}

// end records the final error and releases the connection.
func (s *Stream) end(err error) {
	s.err = err
	if errors.Is(err, io.EOF) {
		s.client.finish(s.exchange)
		return
	}
	s.exchange.abandon()
}

func (s *Stream) read() (CompletionChunk, error) {
	for {
		data, err := s.readEvent()
		if err != nil {
			return CompletionChunk{}, err
		}
		if len(data) == 0 {
			continue
		}
		if string(data) == DoneMarker {
			return CompletionChunk{}, s.handleDone()
		}
		return s.decodeChunk(data)
	}
}

// readEvent reads one event or comment. If neither is complete within the
// timeout, the link or the engine has failed although the connection is open.
func (s *Stream) readEvent() ([]byte, error) {
	s.exchange.conn.SetReadDeadline(time.Now().Add(s.readTimeout))
	data, err := s.events.next()
	if err == nil {
		return data, nil
	}
	if errors.Is(err, io.EOF) {
		err = errNoFinish
	}
	return nil, s.exchange.callError(s.ctx, err)
}

// handleDone handles the done marker. It returns io.EOF if the finish chunk was
// received.
func (s *Stream) handleDone() error {
	if !s.finished {
		return &CallError{Evidence: Mismatch, Err: errNoFinish}
	}
	// Read the end of the body so that the connection can be reused.
	if _, err := s.events.next(); !errors.Is(err, io.EOF) {
		s.exchange.response.Close = true
	}
	return io.EOF
}

// decodeChunk decodes a chunk and verifies that it is the next one of this
// generation: duplicate tokens, tokens out of order and tokens of another
// generation must never reach the caller.
func (s *Stream) decodeChunk(data []byte) (CompletionChunk, error) {
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return chunk, &CallError{Evidence: Mismatch, Err: errors.Wrap(err, "chunk")}
	}
	switch {
	case chunk.ID != s.generation:
		return chunk, &CallError{Evidence: Mismatch, Err: errWrongGeneration}
	case chunk.Index != s.nextIndex || s.finished || len(chunk.Choices) != 1:
		return chunk, &CallError{Evidence: Mismatch, Err: errOutOfOrder}
	}
	if chunk.Choices[0].FinishReason == "" {
		s.nextIndex++
		return chunk, nil
	}
	if chunk.Usage != nil && chunk.Usage.CompletionTokens != chunk.Index {
		return chunk, &CallError{Evidence: Mismatch, Err: errUsage}
	}
	s.finished = true
	return chunk, nil
}
