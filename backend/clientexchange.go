package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/internal/answerhead"
	"github.com/papayasail/papayasail/internal/bytebudget"
)

var (
	errRequestID     = errors.New("backend: response has the ID of another request")
	errUnframed      = errors.New("backend: response is close-delimited; truncation cannot be detected")
	errInvalidMethod = errors.New("backend: method is not a valid HTTP token")
	errInvalidPath   = errors.New("backend: path does not start with a slash")
)

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// outgoingRequest is the description of a request to be sent.
type outgoingRequest struct {
	method    string
	path      string
	query     string
	header    http.Header
	body      []byte
	requestID string
	fresh     bool // use a new connection, not an idle one
}

// exchange is one request and its response on one connection.
//
// net/http's Transport is not used: it retries a request by itself when a
// reused connection breaks and the request is a GET or has an
// Idempotency-Key, so a non-idempotent call could run twice unnoticed. Here a
// request is written once, to one connection.
type exchange struct {
	conn         *serverConn
	response     *http.Response
	stopWatching func() bool // cancels the callback that closes the connection when the context ends
	released     atomic.Bool // the connection was closed or returned to the pool
}

// startExchange sends a request and reads the response header. headerTimeout
// limits the time until the header has been read; with zero only ctx limits it.
func (c *Client) startExchange(ctx context.Context, address string, call outgoingRequest, headerTimeout time.Duration) (*exchange, error) {
	if call.requestID == "" {
		call.requestID = newRequestID()
	}
	request, err := call.build(address)
	if err != nil {
		return nil, &CallError{Evidence: NothingSent, Err: err}
	}
	conn, err := c.connect(ctx, address, call.fresh)
	if err != nil {
		return nil, err
	}
	x := &exchange{conn: conn, stopWatching: context.AfterFunc(ctx, func() { conn.Close() })}
	if headerTimeout > 0 {
		// The deadline covers reads and writes: if the server reads nothing, the
		// write of a long request blocks forever, before any read could time out.
		conn.SetDeadline(time.Now().Add(headerTimeout))
	}
	if err := x.roundTrip(request); err != nil {
		x.abandon()
		return nil, x.callError(ctx, err)
	}
	if x.response.Header.Get(HeaderRequestID) != call.requestID {
		// The response is late or misdirected: it belongs to another request.
		// It is dropped and the connection is closed, since further bytes on
		// this connection do not belong to this request either.
		x.abandon()
		return nil, &CallError{Evidence: Mismatch, Status: x.response.StatusCode, Err: errRequestID}
	}
	return x, nil
}

func (c *Client) connect(ctx context.Context, address string, fresh bool) (*serverConn, error) {
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Evidence: NothingSent, Err: err}
	}
	if !fresh {
		if conn := c.idle.take(address); conn != nil {
			return conn, nil
		}
	}
	return c.dialer.dial(ctx, address)
}

// build returns the HTTP request to address.
func (o outgoingRequest) build(address string) (*http.Request, error) {
	if o.method == "" || strings.ContainsFunc(o.method, notTokenRune) {
		return nil, errInvalidMethod
	}
	if !strings.HasPrefix(o.path, "/") {
		return nil, errInvalidPath
	}
	request := &http.Request{
		Method:        o.method,
		URL:           &url.URL{Scheme: "http", Host: address, RawQuery: o.query},
		Host:          address,
		Header:        o.header.Clone(),
		ContentLength: int64(len(o.body)),
	}
	path, err := url.PathUnescape(o.path)
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	request.URL.Path, request.URL.RawPath = path, o.path
	if request.Header == nil {
		request.Header = http.Header{}
	}
	for _, name := range hopHeaders {
		request.Header.Del(name)
	}
	if request.Header.Get("Content-Type") == "" && len(o.body) > 0 {
		request.Header.Set("Content-Type", ContentTypeJSON)
	}
	request.Header.Set(HeaderRequestID, o.requestID)
	if len(o.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(o.body))
	}
	return request, nil
}

// notTokenRune reports whether r is not allowed in an HTTP method.
func notTokenRune(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune("()<>@,;:\\\"/[]?={}", r)
}

// roundTrip writes the request and reads the header of the final response,
// skipping informational responses.
func (x *exchange) roundTrip(request *http.Request) error {
	if err := request.Write(x.conn); err != nil {
		return errors.Wrap(err, "write")
	}
	response, err := x.conn.reader.ReadResponse(request)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	x.response = response
	return nil
}

// checkFraming rejects a close-delimited response unless its body shows that it is whole:
// if the server crashed while sending it, a truncated response would look complete. Of a
// refusal only the header matters.
func (x *exchange) checkFraming(body []byte) error {
	header := x.response.Header
	if FramingOf(x.response) != FramedByConnection || header.Get(HeaderNotRun) == "true" || provesItsEnd(header, body) {
		return nil
	}
	return errUnframed
}

// abandon closes the connection: the rest of this response must never be read
// as the response to another request. After finish it does nothing, since the
// connection may then be in use by another exchange.
func (x *exchange) abandon() {
	if x.released.Swap(true) {
		return
	}
	x.stopWatching()
	x.conn.Close()
}

// finish returns the connection to the pool after the body was read to its end.
func (c *Client) finish(x *exchange) {
	if x.released.Swap(true) {
		return
	}
	if !x.stopWatching() || x.response.Close {
		x.conn.Close()
		return
	}
	x.conn.SetDeadline(time.Time{})
	c.idle.put(x.conn)
}

// callError converts an error of the exchange into a CallError.
func (x *exchange) callError(ctx context.Context, err error) *CallError {
	failed := &CallError{Evidence: Broken, Err: err}
	switch {
	case x.conn.written == 0:
		failed.Evidence = NothingSent
	case answerhead.IsNoAnswer(err):
		failed.Evidence = Mismatch
	case isTimeout(err) || isTimeout(x.conn.writeErr) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		failed.Evidence = Silent
	}
	if cause := ctx.Err(); cause != nil {
		failed.Err = errors.WithSecondaryError(cause, err)
	}
	return failed
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// do makes a call and reads the complete response.
func (c *Client) do(ctx context.Context, address string, call outgoingRequest) (*PlainAnswer, error) {
	x, err := c.startExchange(ctx, address, call, 0)
	if err != nil {
		return nil, err
	}
	status := x.response.StatusCode
	memory := c.answers.NewAccount()
	defer memory.Release()
	body, err := memory.ReadAll(x.response.Body, c.options.MaxAnswerBytes)
	if err != nil {
		x.abandon()
		if errors.IsAny(err, bytebudget.ErrTooLarge, bytebudget.ErrExhausted) {
			return nil, &CallError{Evidence: Broken, Status: status, Err: err}
		}
		return nil, x.callError(ctx, errors.Wrap(err, "body"))
	}
	if err := x.checkFraming(body); err != nil {
		x.abandon()
		return nil, &CallError{Evidence: Broken, Status: status, Err: err}
	}
	c.finish(x)
	header := x.response.Header
	for _, name := range hopHeaders {
		header.Del(name)
	}
	return &PlainAnswer{Status: status, Header: header, Body: body}, nil
}

// refusal returns a CallError for a status of 300 or more, and nil for other
// statuses.
func refusal(status int, header http.Header, body []byte) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	failed := &CallError{
		Evidence:   Refused,
		Status:     status,
		RetryAfter: parseRetryAfter(header.Get("Retry-After")),
		Err:        errors.Newf("answer: %s", firstLine(body)),
	}
	if header.Get(HeaderNotRun) == "true" {
		failed.Evidence = RefusedNotRun
	}
	return failed
}

// lostIfNotFound sets the evidence to Lost if a call about a generation was
// answered with status 404.
func lostIfNotFound(err error) error {
	var failed *CallError
	if errors.As(err, &failed) && failed.Evidence == Refused && failed.Status == http.StatusNotFound {
		failed.Evidence = Lost
	}
	return err
}

// parseRetryAfter parses a Retry-After header in seconds or as a date. It
// returns zero if the value is invalid.
func parseRetryAfter(value string) time.Duration {
	if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(0, time.Until(at))
	}
	return 0
}

// firstLine returns the start of a response body for error messages.
func firstLine(body []byte) string {
	const longest = 200
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return string(line[:min(len(line), longest)])
}
