package caller

import (
	"encoding/json"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

// problem is the RFC 9457 document of a refusal by an entry host.
type problem struct {
	Status       int              `json:"status"`
	Title        string           `json:"title"`
	Detail       string           `json:"detail"`
	Outcome      contract.Outcome `json:"outcome"`
	Reason       contract.Reason  `json:"reason"`
	RetryAfterMS int64            `json:"retry_after_ms"`
}

func (p problem) refusal() *contract.Refusal {
	detail := p.Detail
	if detail == "" {
		detail = p.Title
	}
	return &contract.Refusal{
		Outcome:    p.Outcome,
		Reason:     p.Reason,
		Status:     p.Status,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
		Detail:     detail,
	}
}

// parseProblem parses a problem document of an entry host. It returns false for
// problem documents of backend servers, which have no outcome or no reason.
func parseProblem(data []byte) (*contract.Refusal, bool) {
	var p problem
	if json.Unmarshal(data, &p) != nil || p.Reason == "" {
		return nil, false
	}
	if p.Outcome != contract.OutcomeNotRun && p.Outcome != contract.OutcomeUnknown {
		return nil, false
	}
	return p.refusal(), true
}

// isProblem reports whether the response has the media type of problem documents.
func isProblem(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == backend.ProblemJSON
}

// refusalOf converts an unsuccessful response to a refusal. Without a problem
// document of an entry host the outcome is "unknown", because only an entry host
// can state that a request did not run. Only status 401 without such a document
// means "not run".
func refusalOf(response *http.Response, body []byte) *contract.Refusal {
	if refusal, ok := parseProblem(body); ok {
		refusal.Status = response.StatusCode
		if refusal.RetryAfter == 0 {
			refusal.RetryAfter = retryAfter(response.Header)
		}
		return refusal
	}
	if response.StatusCode == http.StatusUnauthorized {
		return contract.NotRun(contract.ReasonUnauthorized, 0, "token is not accepted").WithStatus(response.StatusCode)
	}
	return contract.Unknown(contract.ReasonBackendFailed, retryAfter(response.Header), "answer without outcome: "+response.Status).
		WithStatus(response.StatusCode)
}

// retryAfter returns the delay of a Retry-After header whose value is a number of
// seconds, and zero if the header is missing or has another form.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
