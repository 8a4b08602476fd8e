package backend

import (
	"context"
	"net/http"
)

// PlainRequest is an exact call to a plain service.
type PlainRequest struct {
	Method    string
	Path      string
	RawQuery  string
	Header    http.Header
	Body      []byte
	RequestID string // sent as X-Request-Id; generated if empty
	// Key is sent as Idempotency-Key. A call with a key is sent over a new
	// connection.
	Key string
}

// PlainAnswer is the complete response of a plain service, with any status.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call makes an exact call. It returns any complete response that belongs to
// the request, including error statuses, except a refusal of a request that
// did not run (X-Not-Run: true), which is an error with evidence
// RefusedNotRun. Only ctx limits the duration; if its deadline expires after
// the first byte was written, the error has evidence Silent.
func (c *Client) Call(ctx context.Context, address string, request PlainRequest) (*PlainAnswer, error) {
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Del(HeaderKey)
	if request.Key != "" {
		header.Set(HeaderKey, request.Key)
	}
	answer, err := c.do(ctx, address, outgoingRequest{
		method:    request.Method,
		path:      request.Path,
		query:     request.RawQuery,
		header:    header,
		body:      request.Body,
		requestID: request.RequestID,
		fresh:     request.Key != "",
	})
	if err != nil {
		return nil, err
	}
	if answer.Header.Get(HeaderNotRun) == "true" && answer.Status >= http.StatusBadRequest {
		return nil, refusal(answer.Status, answer.Header, answer.Body)
	}
	return answer, nil
}
