package relay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

// Names of the server-sent events of a generation.
const (
	EventToken = "token" // data: TokenEvent
	EventEnd   = "end"   // data: TokenEvent with finish reason and token count
	EventError = "error" // data: Problem; no end event follows
)

// TokenEvent is the data of a token or end event.
type TokenEvent struct {
	Index        int    `json:"index"` // offset of the token; token count in the end event
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
}

// eventWriter writes server-sent events to a caller.
//
// Guards against a caller that stops reading: without a deadline the write
// blocks forever, and the stream's buffers and the engine's memory are never
// freed. Each flush must finish within timeout, otherwise the stream ends; the
// caller can resume it with its last event id.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	buffer  bytes.Buffer
	started bool
}

func newEventWriter(w http.ResponseWriter, timeout time.Duration) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// start sends the response header; it has no effect after the first call.
func (e *eventWriter) start() error {
	if e.started {
		return nil
	}
	e.started = true
	header := e.w.Header()
	header.Set("Content-Type", backend.ContentTypeSSE)
	header.Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
	return e.flush()
}

func (e *eventWriter) add(name, id string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	e.buffer.WriteString("event: ")
	e.buffer.WriteString(name)
	if id != "" {
		e.buffer.WriteString("\nid: ")
		e.buffer.WriteString(id)
	}
	e.buffer.WriteString("\ndata: ")
	e.buffer.Write(encoded)
	e.buffer.WriteString("\n\n")
	return nil
}

// keepAlive sends a comment, so that the caller can distinguish a generation
// without new tokens from a dead connection.
func (e *eventWriter) keepAlive() error {
	e.buffer.WriteString(": keep-alive\n\n")
	return e.flush()
}

// fail ends the stream with a problem document: as the response itself if
// nothing was sent yet, otherwise as an error event.
func (e *eventWriter) fail(refusal *contract.Refusal) error {
	if !e.started {
		e.started = true
		_ = e.control.SetWriteDeadline(time.Now().Add(e.timeout))
		WriteRefusal(e.w, refusal)
		return nil
	}
	if err := e.add(EventError, "", ProblemOf(refusal)); err != nil {
		return err
	}
	return e.flush()
}

func (e *eventWriter) flush() error {
	// The error is ignored: the server's ResponseWriter supports deadlines, but
	// others, such as test recorders, do not.
	_ = e.control.SetWriteDeadline(time.Now().Add(e.timeout))
	if _, err := e.w.Write(e.buffer.Bytes()); err != nil {
		return err
	}
	e.buffer.Reset()
	return e.control.Flush()
}
