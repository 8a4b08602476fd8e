package link

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/internal/bytebudget"
)

// intakeRetryAfter is the retry delay of a request that an Intake refuses.
const intakeRetryAfter = time.Second

// evictedError is the error of reading from a connection that an Intake has ended. It is a
// timeout, which the HTTP server does not answer.
type evictedError struct{}

// Error implements error.
func (evictedError) Error() string { return "link: connection ended, callers hold too much" }

// Timeout implements net.Error.
func (evictedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (evictedError) Temporary() bool { return false }

// ErrEvicted is the error of reading from a connection that an Intake has ended.
var ErrEvicted error = evictedError{}

// RequestAccount returns the account for the body of a request, which is released after the
// answer. A request to a server without an Intake has an account without a bound.
func RequestAccount(request context.Context) *bytebudget.Account {
	if h := holdingOf(request); h != nil {
		return h.account
	}
	return bytebudget.New(math.MaxInt64).NewAccount()
}

func holdingOf(request context.Context) *holding {
	if c, ok := request.Value(connKey{}).(*drainConn); ok {
		return c.holding
	}
	return nil
}

// handler returns a handler that accounts for requests and their bodies.
func (i *Intake) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := holdingOf(r.Context())
		if h == nil {
			next.ServeHTTP(w, r)
			return
		}
		h.intake.mu.Lock()
		refused := h.refused || h.evicted
		h.intake.mu.Unlock()
		if !refused && r.Body == http.NoBody {
			refused = h.complete() != nil
		}
		defer h.requestEnded()
		if refused {
			i.writeRefusal(w)
			return
		}
		if r.Body != http.NoBody {
			r.Body = &incomingBody{ReadCloser: r.Body, holding: h, request: r, header: w.Header()}
		}
		next.ServeHTTP(w, r)
	})
}

// encodeRefusal returns the answer to a request whose head is not read to its end.
func (i *Intake) encodeRefusal() []byte {
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
	header := http.Header{}
	i.setRefusalHeader(header)
	_ = header.Write(&text) // a buffer takes all
	text.WriteString("\r\n")
	text.Write(i.options.RefusalBody)
	return text.Bytes()
}

func (i *Intake) setRefusalHeader(header http.Header) {
	header.Set("Connection", "close")
	header.Set("Retry-After", strconv.Itoa(int(intakeRetryAfter.Seconds())))
	header.Set("Content-Length", strconv.Itoa(len(i.options.RefusalBody)))
	if i.options.RefusalType != "" {
		header.Set("Content-Type", i.options.RefusalType)
	}
}

func (i *Intake) writeRefusal(w http.ResponseWriter) {
	i.setRefusalHeader(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(i.options.RefusalBody) // the caller may be gone
}

// incomingBody is the body of a request on a connection of an Intake.
type incomingBody struct {
	io.ReadCloser
	holding *holding
	request *http.Request
	header  http.Header // of the answer
}

// Read implements io.Reader. At the end of the body it drops the trailers, whose number the
// caller decides and which nobody reads.
func (b *incomingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil
		if ended := b.holding.complete(); ended != nil {
			err = ended
		}
	}
	if errors.Is(err, ErrEvicted) {
		b.header.Set("Connection", "close")
	}
	return n, err
}
