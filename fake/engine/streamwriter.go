package engine

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fake/unframed"
)

// streamWriter writes the server-sent events of one completion stream.
type streamWriter struct {
	engine     *Engine
	generation *generation
	w          http.ResponseWriter
	control    *http.ResponseController
	end        StreamEnd // EndWhole unless the stream is unframed
	written    int       // events
}

var errCut = errors.New("engine: stream is cut")

// token writes the chunk of one token.
func (s *streamWriter) token(index, preempted int) error {
	if s.engine.consumeFault(&s.engine.faults.skipChunks) {
		return nil
	}
	id := s.generation.id
	if s.engine.consumeFault(&s.engine.faults.crossChunks) {
		id = crossedID
	}
	return s.chunk(backend.CompletionChunk{
		ID:        id,
		Index:     index,
		Choices:   []backend.Choice{{Text: TokenText(id, index)}},
		Preempted: preempted,
		Load:      s.load(index),
	})
}

// load returns the load report for the chunk of the token at an index, or nil.
func (s *streamWriter) load(index int) *backend.LoadReport {
	every := s.engine.config.ChunksPerReport
	if every <= 0 || index%every != 0 {
		return nil
	}
	report, lost := s.engine.publishedReport()
	if lost {
		return nil
	}
	return &report
}

// finish writes the finish chunk, whose index is the token count, and the done marker.
func (s *streamWriter) finish(view generation) {
	err := s.chunk(backend.CompletionChunk{
		ID:        view.id,
		Index:     view.produced,
		Choices:   []backend.Choice{{FinishReason: view.finish}},
		Usage:     &backend.Usage{PromptTokens: view.promptTokens, CompletionTokens: view.produced},
		Preempted: view.preempted,
	})
	if err != nil {
		return
	}
	if s.event([]byte(backend.DoneMarker)) == nil {
		s.control.Flush()
	}
}

func (s *streamWriter) chunk(chunk backend.CompletionChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.event(data)
}

func (s *streamWriter) event(data []byte) error {
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if s.end != EndWhole && s.written > 0 {
		return s.cut(event)
	}
	s.written++
	_, err := s.w.Write(event)
	return err
}

// cut ends a stream before or within an event. It always returns an error.
func (s *streamWriter) cut(event []byte) error {
	if s.end == CutInside || s.end == ResetInside {
		if _, err := s.w.Write(event[:len(event)/2]); err != nil {
			return err
		}
	}
	if s.end == ResetBetween || s.end == ResetInside {
		unframed.Reset(s.w)
	}
	return errCut
}
