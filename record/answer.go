package record

import (
	"net/http"

	"github.com/papayasail/papayasail/contract"
)

// Answer is the result of a request. If Refusal is set, the other fields are
// ignored; else if EventID is set, Status, Header and Body are ignored.
type Answer struct {
	// Refusal is set when the request was refused or its outcome is unknown.
	Refusal *contract.Refusal
	// EventID is set for generations. It is the event id before the first token,
	// from which any entry host can read the stream.
	EventID string
	// Status, Header and Body are the complete response of a plain service.
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory used by the entry of an answer, in bytes. A refusal
// is counted as part of the entry's fixed overhead.
func (a *Answer) size() int {
	n := entryOverheadBytes + len(a.Body) + len(a.EventID)
	for name, values := range a.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}
