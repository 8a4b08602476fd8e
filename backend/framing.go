package backend

import (
	"bytes"
	"encoding/json"
	"mime"
	"net/http"
	"strings"
)

// Framing is what marks the end of an answer's body.
type Framing string

// Framings.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // close-delimited: neither length nor chunks
)

// FramingOf returns the framing of an HTTP/1 response as parsed by net/http.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength < 0 && response.Body != http.NoBody:
		return FramedByConnection
	}
	return FramedByLength
}

// provesItsEnd reports whether a body shows by itself that it is whole: a JSON object,
// array or string, of which no beginning is valid.
func provesItsEnd(header http.Header, body []byte) bool {
	media, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil || media != ContentTypeJSON && !strings.HasSuffix(media, "+json") {
		return false
	}
	start := bytes.TrimLeft(body, " \t\r\n")
	return len(start) > 0 && bytes.IndexByte([]byte(`{["`), start[0]) >= 0 && json.Valid(body)
}
