package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against an answer without the server's mark that reaches a caller as a success, as
// a promise that the request has not run, or as a reason to give the request up.
func TestOnlyMarkedAnswersCountAsTheServersOwn(t *testing.T) {
	const wrong = http.StatusBadGateway
	type head struct {
		status         int
		media          string
		marked, notRun bool
	}
	cases := map[head]int{ // status that the caller gets
		{status: 200, marked: true, notRun: true}: wrong,
		{status: 202, notRun: true}:               wrong,
		{status: 503, notRun: true}:               503,
		{status: 429, notRun: true}:               503,
		{status: 400, marked: true, notRun: true}: 503,
		{status: 503, media: "text/html"}:         wrong,
		{status: 429}:                             wrong,
		{status: 408}:                             wrong,
		{status: 421}:                             wrong,
		{status: 503, marked: true}:               503,
		{status: 408, marked: true}:               408,
		{status: 500}:                             500,
		{status: 500, marked: true}:               500,
		{status: 404}:                             wrong,
		{status: 404, marked: true}:               404,
		{status: 401, media: "text/html"}:         wrong,
		{status: 302}:                             wrong,
		{status: 302, marked: true}:               302,
		{status: 504, media: "text/event-stream"}: 504,
	}
	for _, media := range []string{"", "text/html", "application/json", "text/event-stream", "text/event-stream; charset=utf-8"} {
		for _, status := range []int{200, 201, 202, 203, 204, 205, 206, 226, 299} {
			cases[head{status: status, media: media}] = wrong
			cases[head{status: status, media: media, marked: true}] = status
		}
	}
	for h, expected := range cases {
		for _, path := range []string{"/read/1", "/write/1", "/letter/1"} {
			t.Run(fmt.Sprintf("%+v%s", h, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, w := is.New(t), newHarness()
					text := wholeStream(2)
					w.send = func(context.Context, Call) (*Reply, error) {
						r := answer(h.status, text)
						r.Complete, r.NotRun = h.marked, h.notRun
						if h.media != "" {
							r.Header.Set("Content-Type", h.media)
						}
						return r, nil
					}
					caller := &recorder{}
					o := w.gateway.Serve(context.Background(), w.request(path), caller)
					is.Equal(o.Status, expected)
					is.Equal(o.NotRun, h.notRun && h.status >= http.StatusBadRequest)
					is.Equal(o.Complete, expected == h.status && !h.notRun)
					if o.Complete {
						is.Equal(string(o.Body)+caller.body.String(), text)
						return
					}
					is.Equal(caller.began, 0)
					is.Equal(len(o.Body), 0)
				})
			})
		}
	}
}

// Guards against a server that goes on getting the same share of requests while it sends
// wrong answers, and against a quarantine of requests that got them.
func TestWrongAnswersCountAgainstTheServerNotTheRequest(t *testing.T) {
	for path, service := range map[string]string{"/write/1": "plain", "/letter/1": "llm"} {
		synctest.Test(t, func(t *testing.T) {
			is, w := is.New(t), newHarness()
			w.send = func(context.Context, Call) (*Reply, error) {
				r := answer(http.StatusAccepted, "")
				r.Complete = false
				return r, nil
			}
			for range 20 {
				o := w.serve(path)
				is.Equal(o.Reason, ReasonBroken) // not quarantined
			}
			for _, c := range w.fleet.Candidates(service, "d1") {
				is.True(c.Doubtful)
			}
		})
	}
}
