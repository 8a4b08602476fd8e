package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
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
	block  bytes.Buffer
}

// event is one event as received from the server, including its blank line.
type event struct {
	block []byte // valid until the next call
	id    string
}

// next returns the next whole event. If the stream ends between events, it returns
// the remaining bytes, if any, and io.EOF; if it ends inside one, errPartialEvent.
// For an event over maxEventBytes it returns errEventTooLarge, or bufio.ErrBufferFull
// if one line reaches the limit.
func (r *eventReader) next() (event, error) {
	r.block.Reset()
	id := ""
	for {
		line, err := r.reader.ReadSlice('\n')
		r.block.Write(line)
		if errors.Is(err, bufio.ErrBufferFull) && r.block.Len() < maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && !betweenEvents(r.block.Bytes()) {
			err = errPartialEvent
		}
		if err != nil {
			return event{block: r.block.Bytes(), id: id}, err
		}
		if r.block.Len() > maxEventBytes {
			return event{}, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(line) == 0 && r.block.Len() > 2 {
			return event{block: r.block.Bytes(), id: id}, nil
		}
	}
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

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, 4<<10)}
}
