package operatorclient

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/gen/operator"
)

// Guards against a decoding error or a success in place of the refusal, when the
// status is not in the design or the body is not a problem document.
func TestEveryRefusalIsReadable(t *testing.T) {
	const problem = `{"type":"urn:papayasail:bad_request","title":"t","status":1,"outcome":"not_run","reason":"bad_request"}`
	cases := []struct {
		name, body string
		status     int
		reason     string // of the problem; empty: no problem document
	}{
		{"status in the design", problem, http.StatusConflict, "bad_request"},
		{"another status", problem, http.StatusRequestEntityTooLarge, "bad_request"},
		{"no problem document", "<html>", http.StatusBadGateway, ""},
		{"incomplete problem document", `{"reason":"x"}`, http.StatusServiceUnavailable, ""},
		{"findings without a position", problem[:len(problem)-1] + `,"findings":[{}]}`, http.StatusUnprocessableEntity, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				err := list(t, c.status, c.body)
				is.True(err != nil)
				var refused *operator.Problem
				is.Equal(errors.As(err, &refused), c.reason != "")
				if c.reason != "" {
					is.Equal(refused.Reason, c.reason)
					is.Equal(refused.Status, c.status)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		is.New(t).True(errors.Is(list(t, http.StatusUnauthorized, ""), ErrUnauthorized))
	})
}

// list calls List on an entry host that always returns the given response.
func list(t *testing.T, status int, body string) error {
	t.Helper()
	fabric := network.New(network.Options{})
	listener, err := fabric.Host("10.0.0.1").Listen("10.0.0.1:80")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	_, err = New("10.0.0.1:80", fabric.Host("10.0.0.2"), nil).List(context.Background(), &operator.ListPayload{})
	return err
}
