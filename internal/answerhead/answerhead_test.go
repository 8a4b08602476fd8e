package answerhead

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// endless repeats a text without an end and counts the bytes read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[(e.read+i)%len(e.text)]
	}
	e.read += len(p)
	return len(p), nil
}

// distinctLines returns lines of a head with different names.
func distinctLines(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "a%x:\r\n", i)
	}
	return text.String()
}

func request() *http.Request { return &http.Request{Method: http.MethodPost} }

// Guards against a server whose answer has no end of a line, of a head or of interim
// answers: the host would read until it is over its memory limit.
func TestEndlessHeadEndsAtTheLimit(t *testing.T) {
	const maxAllocated = 2 << 20 // for one head
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":       {"", "\x00"},
		"line":              {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
		"same short lines":  {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"other short lines": {"HTTP/1.1 200 OK\r\n", distinctLines(2 * MaxBytes / 8)},
		"interim answers":   {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rest := &endless{text: c.repeated}
			reader := NewReader(io.MultiReader(strings.NewReader(c.start), rest))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := reader.ReadResponse(request())
			runtime.ReadMemStats(&after)
			is.True(errors.Is(err, ErrTooLarge) || errors.Is(err, ErrTooManyInterim))
			is.True(rest.read <= MaxBytes+4096)
			is.True(after.TotalAlloc-before.TotalAlloc <= maxAllocated)
			t.Logf("allocated %d KB", (after.TotalAlloc-before.TotalAlloc)>>10)
		})
	}
}

// Guards against the bound of a head applying to the body, or to the next answer.
func TestBodiesAndLaterHeadsAreNotCounted(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", 4*MaxBytes)
	one := fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	reader := NewReader(strings.NewReader(one + one))
	for range 2 {
		response, err := reader.ReadResponse(request())
		is.NoErr(err)
		read, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(read), body)
	}
}

// Guards against trailers and chunk extensions without an end, after a good head.
func TestEndlessTrailersAndChunkExtensionsEnd(t *testing.T) {
	for name, start := range map[string]string{"trailer": "0\r\nX-A: ", "chunk extension": "1;", "chunk length": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rest := &endless{text: "a"}
			reader := NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+start), rest))
			response, err := reader.ReadResponse(request())
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.True(err != nil)
			is.True(rest.read <= MaxBytes)
		})
	}
	t.Run("short trailers", func(t *testing.T) {
		is := is.New(t)
		rest := &endless{text: "X-A: b\r\n"}
		reader := NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"), rest))
		response, err := reader.ReadResponse(request())
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.True(err != nil)
		is.True(rest.read <= MaxBytes)
	})
}

// Guards against bytes that are no answer to a request and reach a caller as one.
func TestStatusOfNoAnswerIsAnError(t *testing.T) {
	for status, expected := range map[string]error{
		"000 Odd": ErrStatus, "001 Odd": ErrStatus, "099 Odd": ErrStatus, "-00 Odd": ErrStatus, "+99 Odd": ErrStatus,
		"000 Odd\r\n\r\nHTTP/1.1 200 OK": ErrStatus, "103 Early Hints\r\n\r\nHTTP/1.1 000 Odd": ErrStatus,
		"101 Switching Protocols": ErrStatus, "600 Odd": ErrStatus, "999 Odd": ErrStatus, "200 OK": nil, "299 Odd": nil, "599 Odd": nil,
		"103 Early Hints\r\n\r\nHTTP/1.1 200 OK": nil, "103 Early Hints\r\n\r\nHTTP/1.1 101 Switching Protocols": ErrStatus,
	} {
		_, err := NewReader(strings.NewReader("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n")).ReadResponse(request())
		if !errors.Is(err, expected) {
			t.Errorf("%q: %v", status, err)
		}
	}
}

// Guards against a line with an invalid field name that is passed on, or that hides from the parser
// how long the body is.
func TestInvalidFieldNameIsAnError(t *testing.T) {
	const rest = "Content-Length: 0\r\n\r\n"
	for _, line := range []string{
		"X Odd: b", "X-Odd : b", "X-A: b\r\n X-Odd: b", "X-A: b\r\n\tX-Odd: b", "X-A: b\r\n Transfer-Encoding: chunked", "X-A: b\n Content-Length: 5", "Content-Length : 5", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
		"X\tOdd: b", "X-Odd\t: b", "X\x00Odd: b", "X\x01Odd: b", "X\x7fOdd: b", "X\x80Odd: b", "X\rOdd: b", "X(Odd): b", ": b", " X-Odd: b",
	} {
		for name, head := range map[string]string{
			"first": "HTTP/1.1 200 OK\r\n" + line + "\r\n" + rest, "interim": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
			"stray": "HTTP/1.1 503 Odd\r\nX-A: b\r\n" + line + "\r\n" + rest,
		} {
			response, err := NewReader(strings.NewReader(head)).ReadResponse(request())
			if err == nil {
				t.Errorf("%s: %q is a line of an answer: %v", name, line, response.Header)
			}
		}
	}
	for _, line := range []string{"X-Odd:b", "x_odd!#$%&'*+.^`|~: b", "X-Odd: b c\td"} {
		_, err := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + line + "\r\n" + rest)).ReadResponse(request())
		is.New(t).NoErr(err)
	}
}

// Guards against heads that count as continued because of what follows them or came before.
func TestOnlyLinesOfTheHeadAreContinued(t *testing.T) {
	is := is.New(t)
	const body = "a\r\n b\n\tc"
	one := fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	reader := NewReader(iotest.OneByteReader(strings.NewReader(one)))
	whole := NewReader(strings.NewReader(one + one))
	for _, r := range []*Reader{reader, whole, whole} {
		response, err := r.ReadResponse(request())
		is.NoErr(err)
		read, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(read), body)
	}
}

// Guards against a whole body that is lost because of a trailer, which reaches no caller.
func TestInvalidNameInTrailerKeepsTheBody(t *testing.T) {
	is := is.New(t)
	response, err := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Odd: b\r\n\r\n")).ReadResponse(request())
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	is.Equal(len(response.Header), 0)
}

// cutReader delivers a text and then fails as a connection does.
func cutReader(text string, end error) io.Reader {
	return io.MultiReader(strings.NewReader(text), iotest.ErrReader(end))
}

// Guards against a head that its server left unfinished and that counts as an answer, with an empty or a shorter
// body.
func TestNoPrefixOfAHeadIsAnAnswer(t *testing.T) {
	const marks = "X-Request-Id: a1\r\nX-Mark: 3e1b.07\r\n"
	heads := 0
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
		for _, status := range []string{"200 OK", "200", "204 No Content", "304 Not Modified", "404 Not Found", "503 Service Unavailable"} {
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for _, framing := range []string{"Content-Length: 800\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""} {
					for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"} {
						crlf := version + " " + status + "\r\n" + marks + framing + "X-Last: b\r\n\r\n"
						for _, head := range []string{interim + crlf, interim + strings.ReplaceAll(crlf, "\r\n", "\n"), interim + version + " " + status + "\r\n" + framing + marks + "\r\n"} {
							heads++
							checkPrefixes(t, method, head)
						}
					}
				}
			}
		}
	}
	t.Logf("%d heads", heads)
}

func checkPrefixes(t *testing.T, method, head string) {
	t.Helper()
	for cut := range head {
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			if response, err := NewReader(cutReader(head[:cut], end)).ReadResponse(&http.Request{Method: method}); err == nil {
				t.Fatalf("%s: %q and then %v are an answer with status %d", method, head[:cut], end, response.StatusCode)
			}
		}
	}
	if _, err := NewReader(cutReader(head, io.EOF)).ReadResponse(&http.Request{Method: method}); err != nil {
		t.Fatalf("%s: %q: %v", method, head, err)
	}
}
