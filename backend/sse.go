package backend

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// errEventTooLarge means that a server-sent event exceeds the size limit.
var errEventTooLarge = errors.New("backend: server-sent event too large")

// eventReader reads the data of the events of a server-sent event stream.
type eventReader struct {
	reader *bufio.Reader
	limit  int // maximum bytes of data in one event
}

// next returns the data of the next event. It returns a comment line as an empty
// event, so that the caller can tell that the link is alive.
func (e *eventReader) next() ([]byte, error) {
	var data []byte
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, err
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0:
			if data != nil {
				return data, nil
			}
		case len(field) == 0:
			return nil, nil
		case string(field) == "data":
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
			if len(data) > e.limit {
				return nil, errEventTooLarge
			}
		}
	}
}

// readLine returns the next line without its line terminator.
func (e *eventReader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > e.limit {
			return nil, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
