package caller

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventLine bounds one line of a stream, in bytes.
const maxEventLine = 1 << 20

// Names of server-sent events.
const (
	eventToken = "token"
	eventEnd   = "end"
	eventError = "error"
)

// event is one server-sent event.
type event struct {
	name string
	id   string
	data []byte
}

// eventReader reads server-sent events. It calls onLine for every line, including
// keep-alive comments.
type eventReader struct {
	lines  *bufio.Reader
	onLine func()
}

func newEventReader(stream io.Reader, onLine func()) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(stream, 4096), onLine: onLine}
}

// next returns the next event. An event cut off by the end of the stream is an
// error; a partial event is never returned.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			e = event{}
			continue
		}
		e.setField(line)
	}
}

func (e *event) setField(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "event":
		e.name = string(value)
	case "id":
		e.id = string(value)
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		if e.data == nil {
			e.data = []byte{}
		}
	}
}

func (r *eventReader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(line)+len(part) > maxEventLine {
			return nil, errors.New("caller: event line too long")
		}
		line = append(line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		r.onLine()
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
