package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/relay"
)

// startSite starts a site and returns it with its documents in force everywhere.
func startSite(t *testing.T) *demonstration {
	t.Helper()
	is := is.New(t)
	site, err := Start(context.Background(), Options{})
	is.NoErr(err)
	t.Cleanup(site.Close)
	d := &demonstration{out: io.Discard, site: site}
	d.client, err = site.Caller(CallerToken)
	is.NoErr(err)
	t.Cleanup(d.client.Close)
	is.NoErr(d.applyDocuments(context.Background()))
	return d
}

// send sends a request to the first entry host and returns the status and the problem
// document, if the answer is one.
func (d *demonstration) send(t *testing.T, method, path, token, body string, header http.Header) (int, relay.Problem) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(method, "http://"+d.site.Hosts[0].CallerAddress+path, strings.NewReader(body))
	is.NoErr(err)
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	var problem relay.Problem
	_ = json.Unmarshal(content, &problem) // not every answer is a problem document
	return response.StatusCode, problem
}

// generationsStarted returns how many generations the engines have started.
func (d *demonstration) generationsStarted() uint64 {
	var started uint64
	for _, e := range d.site.Engines {
		started += e.Counters().Started
	}
	return started
}

// Guards against invalid requests that run, or are refused with a wrong status, reason
// or outcome: bad body, service, event id, idempotency key or token.
func TestBadInputIsRefusedAndRunsNothing(t *testing.T) {
	const (
		generate = "/v1/services/outlook/generations"
		letter   = "/v1/services/letters/generations"
		verdict  = "/v1/services/gauges/call/verdicts"
	)
	d := startSite(t)
	long := strings.Repeat("x", bodyLimit+1)
	lastEvent := http.Header{"Last-Event-ID": {"1.bm90IG91cnM.0.AAAAAAAAAAAAAAAAAAAAAA"}}
	brokenKey := http.Header{"Idempotency-Key": {"no home"}}
	strangeKey := http.Header{"Idempotency-Key": {"nowhere.1.1.abc"}}
	cases := []struct {
		name, method, path, token, body string
		header                          http.Header
		status                          int
		reason                          string
	}{
		{"not JSON", "POST", generate, CallerToken, "{", nil, 400, "bad_request"},
		{"negative limit", "POST", generate, CallerToken, `{"max_tokens": -1}`, nil, 400, "bad_request"},
		{"above the limit", "POST", generate, CallerToken, `{"max_tokens": 1000000}`, nil, 400, "bad_request"},
		{"body too long", "POST", generate, CallerToken, long, nil, 413, "body_too_large"},
		{"body of a call too long", "POST", verdict, CallerToken, long, nil, 413, "body_too_large"},
		{"unknown service", "POST", "/v1/services/none/generations", CallerToken, "{}", nil, 404, "unknown_service"},
		{"unknown plain service", "GET", "/v1/services/none/call/readings", CallerToken, "", nil, 404, "unknown_service"},
		{"wrong kind", "POST", "/v1/services/gauges/generations", CallerToken, "{}", nil, 400, "bad_request"},
		{"wrong kind of call", "GET", "/v1/services/outlook/call/x", CallerToken, "", nil, 400, "bad_request"},
		{"broken event id", "POST", generate, CallerToken, "{}", lastEvent, 400, "event_id_invalid"},
		{"no key", "POST", letter, CallerToken, "{}", nil, 400, "idempotency_key_required"},
		{"no key for a verdict", "POST", verdict, CallerToken, "gate", nil, 400, "idempotency_key_required"},
		{"broken key", "POST", verdict, CallerToken, "gate", brokenKey, 400, "idempotency_key_invalid"},
		{"no token", "POST", generate, "", "{}", nil, 401, "unauthorized"},
		{"wrong token", "POST", generate, "guess", "{}", nil, 401, "unauthorized"},
		{"an operator's token", "POST", generate, OperatorToken, "{}", nil, 401, "unauthorized"},
		{"wrong token for addresses", "GET", "/v1/addresses", "guess", "", nil, 401, "unauthorized"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, problem := d.send(t, c.method, c.path, c.token, c.body, c.header)
			is.Equal(status, c.status)
			is.Equal(problem.Reason, c.reason)
			is.Equal(problem.Outcome, "not_run")
		})
	}
	t.Run("token of another organisation", func(t *testing.T) {
		is := is.New(t)
		status, problem := d.send(t, "POST", generate, OtherToken, "{}", nil)
		is.True(status == http.StatusUnauthorized || status == http.StatusNotFound)
		is.Equal(problem.Outcome, "not_run")
	})
	t.Run("key of an unknown home", func(t *testing.T) {
		is := is.New(t)
		status, _ := d.send(t, "POST", verdict, CallerToken, "gate", strangeKey)
		is.True(status >= http.StatusBadRequest)
	})
	is := is.New(t)
	is.Equal(d.generationsStarted(), uint64(0))
	is.Equal(len(d.site.Plain.Runs()), 0)

	// Valid requests are still served.
	r := read(context.Background(), d.client, Narratives, caller.Request{Prompt: "after bad input", StopAfter: eventTokens}, nil)
	is.NoErr(d.verifyResult(r))
}

// Guards against an invalid document or token that changes the configuration in force,
// or is refused with a wrong status or number of findings.
func TestBadOperatorInputChangesNothing(t *testing.T) {
	is := is.New(t)
	d := startSite(t)
	before := d.status(context.Background(), d.site.Hosts[0])
	good := d.site.Documents(firstRisk)[Narratives]
	cases := []struct {
		name, token, document string
		status                int
		findings              int
	}{
		{"unreadable", OperatorToken, "service: [", 422, 1},
		{"two mistakes", OperatorToken, strings.NewReplacer("risk: 0.05", "risk: 5%", "gap: 2s", "gap: 2").Replace(good), 422, 2},
		{"too long", OperatorToken, good + "#" + strings.Repeat("x", 300<<10), 422, 1},
		{"another service", OperatorToken, strings.Replace(good, "service: outlook", "service: other", 1), 422, -1},
		{"wrong token", "guess", good, 401, 0},
		{"a caller's token", CallerToken, good, 401, 0},
		{"no token", "", good, 401, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, problem := d.putRaw(t, c.token, c.document)
			is.Equal(status, c.status)
			if c.findings >= 0 {
				is.Equal(len(problem.Findings), c.findings)
			}
		})
	}
	after := d.status(context.Background(), d.site.Hosts[0])
	is.Equal(after.ConfigurationVersion, before.ConfigurationVersion)
	current, err := d.site.Hosts[0].Operator.Get(context.Background(), &operator.GetPayload{Token: operatorToken(), Service: Narratives})
	is.NoErr(err)
	is.Equal(current.Document, good)
}

// refusedPut is the part of a refusal that the test checks.
type refusedPut struct {
	Findings []struct {
		Line, Column int
	}
}

func (d *demonstration) putRaw(t *testing.T, token, document string) (int, refusedPut) {
	t.Helper()
	is := is.New(t)
	body, err := json.Marshal(map[string]any{"document": document, "expect_version": 0, "change_id": "c-" + t.Name()})
	is.NoErr(err)
	request, err := http.NewRequest(http.MethodPut, "http://"+d.site.Hosts[0].CallerAddress+"/v1/operator/services/"+Narratives, bytes.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	if response.StatusCode == http.StatusUnauthorized {
		is.True(!strings.Contains(string(content), "outlook")) // the answer reveals nothing about the service
	}
	var refused refusedPut
	_ = json.Unmarshal(content, &refused)
	return response.StatusCode, refused
}
