// Package answerhead reads the heads of HTTP answers with a bound on their size:
// net/http collects a line, and a head, of any length.
package answerhead

import (
	"bufio"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// MaxBytes is the maximum size of a head. A reader may accept up to its buffer more.
	MaxBytes = 32 << 10
	// MaxInterim is the maximum number of interim answers (1xx) before an answer.
	MaxInterim = 8

	minStatus, maxStatus = 100, 599
)

var (
	// ErrTooLarge means that a head did not end within MaxBytes.
	ErrTooLarge = errors.New("answerhead: head of answer is too large")
	// ErrTooManyInterim means that more than MaxInterim interim answers arrived.
	ErrTooManyInterim = errors.New("answerhead: too many interim answers")
	// ErrStatus means that a status is not that of an answer to a request: it is outside the
	// range of HTTP, or switches to another protocol, which no request asks for.
	ErrStatus = errors.New("answerhead: status of no answer")
	// ErrName means that the name of a field is no token (RFC 9110, 5.1), or follows a blank,
	// so that its line continues the one before. Such a line may be the one that frames the
	// body.
	ErrName = errors.New("answerhead: name of a field is invalid")
)

// IsNoAnswer reports whether an error of ReadResponse means that what arrived is no answer,
// though the connection has not broken.
func IsNoAnswer(err error) bool {
	return errors.IsAny(err, ErrTooLarge, ErrTooManyInterim, ErrStatus, ErrName)
}

// CheckNames returns ErrName if the name of a field is no token. Net/http accepts blanks in
// names, for compatibility, and keeps such lines as they are.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrName, "%.64q", name)
		}
	}
	return nil
}

// Reader reads answers from a connection. Heads are read with ReadResponse, bodies
// through the response.
type Reader struct {
	*bufio.Reader
	source *source
}

// NewReader returns a Reader of the answers that arrive on a connection.
func NewReader(connection io.Reader) *Reader {
	s := &source{reader: connection}
	return &Reader{Reader: bufio.NewReader(s), source: s}
}

// ReadResponse reads the head of the final answer to request and skips interim
// answers. Errors: those of http.ReadResponse, ErrTooLarge, ErrTooManyInterim, ErrStatus,
// ErrName. After an error the connection must be closed.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	for range MaxInterim + 1 {
		response, err := r.readHead(request)
		if err != nil {
			return nil, err
		}
		switch status := response.StatusCode; {
		case status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols:
			return nil, errors.Wrapf(ErrStatus, "%d", status)
		case status >= http.StatusOK:
			return response, nil
		}
	}
	return nil, ErrTooManyInterim
}

func (r *Reader) readHead(request *http.Request) (*http.Response, error) {
	r.source.bounded, r.source.left, r.source.scanner = true, MaxBytes-r.Buffered(), continuationScanner{}
	defer func() { r.source.bounded = false }()
	if buffered, err := r.Peek(r.Buffered()); err == nil {
		r.source.scanner.scan(buffered)
	}
	response, err := http.ReadResponse(r.Reader, request)
	if r.source.exceeded {
		return nil, errors.CombineErrors(ErrTooLarge, err) // net/http may hide the error of the source
	}
	if err != nil {
		return nil, err
	}
	if r.source.scanner.found {
		return nil, errors.Wrap(ErrName, "line begins with a blank")
	}
	return response, CheckNames(response.Header)
}

// continuationScanner finds lines of a head that begin with a blank. Net/http joins them to
// the line before, which a gateway need not accept (RFC 9112, 5.2).
type continuationScanner struct {
	last  byte
	ended bool // the empty line after the head was seen
	found bool
}

// scan scans the next bytes of a head, and what follows it.
func (c *continuationScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case c.ended:
			return
		case b == '\r': // an empty line may have one
			continue
		case c.last == '\n' && b == '\n':
			c.ended = true
		case c.last == '\n' && (b == ' ' || b == '\t'):
			c.found = true
		}
		c.last = b
	}
}

// source is the connection below the buffer of a Reader. While a head is read, it
// fails after the bytes left.
type source struct {
	reader   io.Reader
	bounded  bool
	left     int
	exceeded bool
	scanner  continuationScanner // of the head
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if !s.bounded {
		return s.reader.Read(p)
	}
	if s.left <= 0 {
		s.exceeded = true
		return 0, ErrTooLarge
	}
	n, err := s.reader.Read(p[:min(len(p), s.left)])
	s.left -= n
	s.scanner.scan(p[:n])
	return n, err
}
