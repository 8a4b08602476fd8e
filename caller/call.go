package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

// errNoEnd is the error of a close-delimited answer. Entry hosts send none, so this one may
// be truncated.
var errNoEnd = errors.New("caller: answer is close-delimited")

// Answer is the complete response of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Host   string // entry host that returned it
}

// Call makes an exact call to a plain service. path begins with / and may have a
// query. The error is a *contract.Refusal. After an unknown outcome the call is
// retried with the same key, so that it runs at most once even if it is not
// idempotent.
func (c *Client) Call(ctx context.Context, service, method, path string, body []byte, header http.Header) (*Answer, error) {
	a := &attempts{client: c}
	if err := a.chooseAddress(ctx); err != nil {
		return nil, err
	}
	for {
		answer, err := c.callOnce(ctx, a, callRequest{service, method, path, body, header})
		if err == nil {
			return answer, nil
		}
		if err := a.prepareNext(ctx, err); err != nil {
			return nil, err
		}
	}
}

type callRequest struct {
	service, method, path string
	body                  []byte
	header                http.Header
}

func (c *Client) callOnce(ctx context.Context, a *attempts, call callRequest) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Attempt)
	defer cancel()
	target := a.address.URL + "/v1/services/" + url.PathEscape(call.service) + "/call/" + strings.TrimPrefix(call.path, "/")
	response, sent, err := c.send(ctx, a.key, call.method, target, call.body, call.header)
	if err != nil {
		return nil, a.connectionRefusal(sent, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && backend.FramingOf(response) == backend.FramedByConnection {
		err = errNoEnd
	}
	if err != nil || len(answer) > maxAnswerBytes {
		return nil, a.connectionRefusal(true, err)
	}
	if isProblem(response) {
		if _, isRefusal := parseProblem(answer); isRefusal {
			return nil, refusalOf(response, answer)
		}
	}
	if response.StatusCode == http.StatusUnauthorized && len(answer) == 0 {
		return nil, refusalOf(response, answer)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: answer, Host: a.address.Host}, nil
}

// send sends one request. sent reports whether any of its bytes may have
// reached the entry host.
func (c *Client) send(ctx context.Context, key, method, target string, body []byte, header http.Header) (*http.Response, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := c.newRequest(ctx, method, target, body)
	if err != nil {
		return nil, false, contract.NotRun(contract.ReasonBadRequest, 0, "request cannot be built").WithCause(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if key != "" && method != http.MethodGet && method != http.MethodHead {
		request.Header.Set(backend.HeaderKey, key)
	}
	response, err := c.http.Do(request)
	return response, sent.Load(), err
}
