package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/papayasail/papayasail/contract"
)

// Request is the body of a generation request.
type Request struct {
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"` // 0: the service's limit
	// StopAfter ends the generation of a stand-in engine after this number of
	// tokens; real engines ignore it.
	StopAfter int `json:"x_stop_after,omitempty"`
}

// Token is one token of a generation.
type Token struct {
	ID    string // event id
	Index int    // offset in the generation, from 0
	Text  string
}

// End describes how a generation ended.
type End struct {
	Tokens       int
	FinishReason string
}

// tokenEvent is the data of a token or end event.
type tokenEvent struct {
	ID           string `json:"id"` // event id, used if there is no SSE id; entry hosts send the SSE id
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	Tokens       int    `json:"tokens"`
}

// Stream reads one generation. It must be used by one goroutine; only Close may be
// called from another.
type Stream struct {
	ctx      context.Context // of the whole stream
	cancel   context.CancelFunc
	attempts *attempts
	service  string
	body     []byte

	connection  *connection // nil between attempts
	nextIndex   int         // index of the next token
	lastEventID string      // id of the last token's event
	resumes     int         // how often the stream was resumed
	end         *End
	err         error
}

// connection is one attempt of a stream.
type connection struct {
	events       *eventReader
	body         io.Closer
	cancel       context.CancelFunc
	silenceTimer *time.Timer // cancels the connection when it stalls
}

func (c *connection) close() {
	c.silenceTimer.Stop()
	c.cancel()
	c.body.Close()
}

// Generate starts a generation and returns once its stream has begun. The error is
// a *contract.Refusal.
func (c *Client) Generate(ctx context.Context, service string, request Request) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, contract.NotRun(contract.ReasonBadRequest, 0, "request cannot be encoded").WithCause(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{ctx: ctx, cancel: cancel, attempts: &attempts{client: c}, service: service, body: body}
	if err := s.attempts.chooseAddress(ctx); err != nil {
		cancel()
		return nil, err
	}
	if err := s.connect(); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// Next returns the next token. It returns io.EOF after the last one, once the end
// event has confirmed that the stream is complete, and a *contract.Refusal if the
// stream failed. Every token is returned once and in order.
func (s *Stream) Next() (Token, error) {
	for s.err == nil && s.end == nil {
		if s.connection == nil {
			s.err = s.connect()
			continue
		}
		token, cause := s.readToken()
		if cause == nil {
			return token, nil
		}
		if s.end != nil {
			break
		}
		s.closeConnection()
		s.err = s.attempts.prepareNext(s.ctx, cause)
	}
	s.closeConnection()
	if s.err != nil {
		return Token{}, s.err
	}
	return Token{}, io.EOF
}

// End returns how the generation ended. It is nil until Next has returned io.EOF.
func (s *Stream) End() *End { return s.end }

// Host returns the name of the entry host of the last attempt.
func (s *Stream) Host() string { return s.attempts.address.Host }

// Resumes returns how often the stream was resumed.
func (s *Stream) Resumes() int { return s.resumes }

// Close abandons the stream.
func (s *Stream) Close() { s.cancel() }

func (s *Stream) closeConnection() {
	if s.connection != nil {
		s.connection.close()
		s.connection = nil
	}
}

// connect opens the stream or resumes it after the last event. It retries until
// prepareNext returns an error.
func (s *Stream) connect() error {
	for {
		cause := s.connectOnce()
		if cause == nil {
			return nil
		}
		if err := s.attempts.prepareNext(s.ctx, cause); err != nil {
			return err
		}
	}
}

func (s *Stream) connectOnce() error {
	client := s.attempts.client
	ctx, cancel := context.WithCancel(s.ctx)
	target := s.attempts.address.URL + "/v1/services/" + url.PathEscape(s.service) + "/generations"
	header := http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}}
	if s.lastEventID != "" {
		header.Set("Last-Event-ID", s.lastEventID)
	}
	response, sent, err := client.send(ctx, s.attempts.key, http.MethodPost, target, s.body, header)
	if err != nil {
		cancel()
		return s.attempts.connectionRefusal(sent, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		if err != nil {
			return s.attempts.connectionRefusal(true, err)
		}
		return refusalOf(response, body)
	}
	if s.lastEventID != "" {
		s.resumes++
	}
	// A connection can stall forever while new ones work, so that the caller would
	// see a frozen stream. The timer closes the connection, and the stream continues
	// over a new connection to another entry host.
	timer := time.AfterFunc(client.config.Silence, cancel)
	onLine := func() { timer.Reset(client.config.Silence) }
	s.connection = &connection{events: newEventReader(response.Body, onLine), body: response.Body, cancel: cancel, silenceTimer: timer}
	return nil
}

// readToken returns the next token of the connection, or the error that ended it.
// After the end event the error is io.EOF and s.end is set.
func (s *Stream) readToken() (Token, error) {
	e, err := s.connection.events.next()
	if err != nil {
		return Token{}, s.attempts.connectionRefusal(true, err)
	}
	if e.name == eventError {
		if refusal, ok := parseProblem(e.data); ok {
			return Token{}, refusal
		}
		return Token{}, s.attempts.connectionRefusal(true, nil)
	}
	var t tokenEvent
	if err := json.Unmarshal(e.data, &t); err != nil {
		return Token{}, s.mismatch("event cannot be read")
	}
	switch e.name {
	case eventToken, "":
		return s.acceptToken(e, t)
	case eventEnd:
		return Token{}, s.acceptEnd(t)
	}
	return Token{}, s.mismatch("unknown event " + e.name)
}

// acceptToken checks that a token has the next index. A duplicate, missing or
// reordered token must never reach the caller, so the stream fails instead.
func (s *Stream) acceptToken(e event, t tokenEvent) (Token, error) {
	if t.Index != s.nextIndex {
		return Token{}, s.mismatch("token out of order")
	}
	id := e.id
	if id == "" {
		id = t.ID
	}
	s.nextIndex++
	s.lastEventID = id
	s.attempts.resetFailures()
	s.attempts.mayHaveRun, s.attempts.started = true, true // the generation runs: later attempts must keep the key
	return Token{ID: id, Index: t.Index, Text: t.Text}, nil
}

func (s *Stream) acceptEnd(t tokenEvent) error {
	if t.Tokens != s.nextIndex {
		return s.mismatch("end event counts other tokens than came")
	}
	s.end = &End{Tokens: t.Tokens, FinishReason: t.FinishReason}
	return io.EOF
}

func (s *Stream) mismatch(detail string) error {
	return contract.Unknown(contract.ReasonAnswerMismatch, 0, detail)
}
