package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("gateway: event too large")

// eventReader splits a stream of server-sent events into whole events, so that
// the partial event of a server that failed never precedes the events of the
// server that resumes the stream. Bytes after the last whole event are relayed
// only if the stream ended regularly.
type eventReader struct {
	reader *bufio.Reader
	block  bytes.Buffer
}

// event is one event as received from the server, including its blank line.
type event struct {
	block []byte // valid until the next call
	id    string
}

// next returns the next whole event. At the regular end of the stream it returns
// the remaining bytes, if any, and io.EOF. For an event over maxEventBytes it
// returns errEventTooLarge, or bufio.ErrBufferFull if one line reaches the limit.
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
