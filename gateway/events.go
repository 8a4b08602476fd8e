package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/internal/bytebudget"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("gateway: event too large")
	errPartialEvent  = errors.New("gateway: stream ended inside an event")
)

// eventReader splits a stream of server-sent events into whole events, so that
// the partial event of a server that failed never precedes the events of the
// server that resumes the stream, or an end that looks regular.
type eventReader struct {
	reader *bufio.Reader
	memory *bytebudget.Account // of block
	block  []byte
}

// event is one event as received from the server, including its blank line.
type event struct {
	block []byte // valid until the next call
	id    string
}

// next returns the next whole event. If the stream ends between events, it returns
// the remaining bytes, if any, and io.EOF; if it ends inside one, errPartialEvent.
// For an event over maxEventBytes it returns errEventTooLarge, or bufio.ErrBufferFull
// if one line reaches the limit, and bytebudget.ErrExhausted if there is no memory for
// it.
func (r *eventReader) next() (event, error) {
	r.reset()
	id := ""
	for {
		line, err := r.reader.ReadSlice('\n')
		block, full := r.memory.Append(r.block, line)
		if full != nil {
			return event{}, full
		}
		r.block = block
		if errors.Is(err, bufio.ErrBufferFull) && len(r.block) < maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && !betweenEvents(r.block) {
			err = errPartialEvent
		}
		if err != nil {
			return event{block: r.block, id: id}, err
		}
		if len(r.block) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(line) == 0 && len(r.block) > 2 {
			return event{block: r.block, id: id}, nil
		}
	}
}

// reset empties the block. The memory of a large one is not kept for later events.
func (r *eventReader) reset() {
	if cap(r.block) > bytebudget.FreeBytes {
		r.memory.Discard(r.block)
		r.block = nil
	}
	r.block = r.block[:0]
}

// betweenEvents reports whether a stream that ends with these bytes, which follow an
// event or its beginning, ends between two events: only empty lines and comments follow
// the last event.
func betweenEvents(rest []byte) bool {
	rest = bytes.ReplaceAll(bytes.ReplaceAll(rest, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
	if blank := bytes.LastIndex(rest, []byte("\n\n")); blank >= 0 {
		rest = rest[blank+2:]
	}
	for len(rest) > 0 {
		line, following, terminated := bytes.Cut(rest, []byte("\n"))
		if !terminated || len(line) > 0 && line[0] != ':' {
			return false
		}
		rest = following
	}
	return true
}

func newEventReader(body io.Reader, memory *bytebudget.Account) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, 4<<10), memory: memory}
}
