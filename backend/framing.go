package backend

import "net/http"

// Framing is what marks the end of an answer's body.
type Framing string

// Framings.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // neither length nor chunks: the body ends with its connection
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
