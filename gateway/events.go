package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("gateway: event too large")

// eventReader cuts a stream of server-sent events into whole events. Only
// whole ones are passed on: a server that breaks off in the middle of one must
// not leave half of it before the events of the server that goes on.
type eventReader struct {
	reader *bufio.Reader
	block  bytes.Buffer
}

// event is one event as the server sent it, with its blank line.
type event struct {
	block []byte // valid until the next call
	id    string
}

// next returns the next whole event. At a clean end it returns what is left,
// if anything, and io.EOF.
func (r *eventReader) next() (event, error) {
	r.block.Reset()
	id := ""
	for {
		line, err := r.reader.ReadSlice('\n')
		r.block.Write(line)
		if errors.Is(err, bufio.ErrBufferFull) && r.block.Len() < maxEventBytes {
			continue
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

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, 4<<10)}
}
