package relay

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

// Problem is the RFC 9457 problem document of a refusal.
type Problem struct {
	Name         string `json:"name"` // error class defined by the API design
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

const problemTypePrefix = "urn:papayasail:"

// ProblemOf converts a refusal to a problem document. The refusal's cause is
// left out; it appears in logs only.
func ProblemOf(r *contract.Refusal) Problem {
	return Problem{
		Name: nameOf(r), Type: problemTypePrefix + string(r.Reason), Title: string(r.Reason), Status: r.Status, Detail: r.Detail,
		Outcome: string(r.Outcome), Reason: string(r.Reason), RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
}

// Error classes of the caller API.
const (
	nameRefused      = "refused"
	nameUnauthorized = "unauthorized"
)

func nameOf(r *contract.Refusal) string {
	if r.Status == http.StatusUnauthorized {
		return nameUnauthorized
	}
	return nameRefused
}

// WriteRefusal writes a refusal as a problem document. Retry-After is set to
// whole seconds, rounded up, if the refusal has a retry time.
func WriteRefusal(w http.ResponseWriter, refusal *contract.Refusal) {
	header := w.Header()
	header.Set("Content-Type", backend.ProblemJSON)
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	if refusal.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(ProblemOf(refusal)) // fails only if the caller disconnected
}
