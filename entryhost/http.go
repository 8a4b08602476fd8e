package entryhost

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	goahttp "goa.design/goa/v3/http"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/gen/caller"
	callerserver "github.com/papayasail/papayasail/gen/http/caller/server"
	operatorserver "github.com/papayasail/papayasail/gen/http/operator/server"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/relay"
	"github.com/papayasail/papayasail/retry"
	"github.com/papayasail/papayasail/routing"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	controlTimeout    = 30 * time.Second // write timeout of a response that is not relayed
)

var collectorsOnce sync.Once

// registerCollectors registers the metrics that all hosts in a process share.
func registerCollectors() {
	collectorsOnce.Do(func() {
		prometheus.MustRegister(backend.Collectors()...)
		prometheus.MustRegister(routing.Collectors()...)
		prometheus.MustRegister(retry.Collectors()...)
	})
}

// handler returns the handler for callers, operators, metrics and health checks.
func (h *Host) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	callers := callerserver.New(caller.NewEndpoints(&callerService{h}), mux, decoder, encoder, nil, asProblem)
	// The handlers generated for the two data routes are replaced, since they
	// set no write deadline and ignore write errors.
	callers.Generate = h.trackInFlight(func(w http.ResponseWriter, r *http.Request) {
		h.relay.Generate(w, r, mux.Vars(r)["service"])
	})
	callers.Call = h.trackInFlight(func(w http.ResponseWriter, r *http.Request) {
		service := mux.Vars(r)["service"]
		h.relay.Call(w, r, service, callPath(r, service))
	})
	callers.Mount(mux)
	operators := operatorserver.New(operator.NewEndpoints(&operatorService{h}), mux, decoder, encoder, nil, asProblem)
	operators.Use(bufferBody)
	operators.Mount(mux)
	gatherer := prometheus.Gatherers{h.options.Registry, prometheus.DefaultGatherer}
	mux.Handle(http.MethodGet, "/metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}).ServeHTTP)
	mux.Handle(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle(http.MethodGet, "/readyz", h.readyz)
	return withDeadline(bearerOnly(mux))
}

// withDeadline sets a new write deadline at the start of every request: a deadline
// that a stream has set on the connection would cut off the next response.
func withDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(controlTimeout))
		next.ServeHTTP(w, r)
	})
}

// bearerOnly removes credentials of schemes other than Bearer: the generated code
// accepts the token with any scheme.
func bearerOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if relay.BearerToken(r) == "" {
			r.Header.Del("Authorization")
		}
		next.ServeHTTP(w, r)
	})
}

// trackInFlight counts a request as in flight, so that a stopping host waits for
// it.
func (h *Host) trackInFlight(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.inFlight.enter()
		defer h.inFlight.leave()
		next(w, r)
	})
}

// callPath returns the path of an exact call with the caller's escaping.
func callPath(r *http.Request, service string) string {
	return strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+service+"/call")
}

// readyz responds with status 200 if this host has a configuration and is not
// leaving, and with 503 otherwise.
func (h *Host) readyz(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() || h.table.Version() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// problemBody is the problem document for an error of the generated code.
type problemBody struct {
	relay.Problem
	Findings []findingBody `json:"findings,omitempty"`
}

// findingBody is one error in a document.
type findingBody struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// StatusCode implements goahttp.Statuser.
func (p problemBody) StatusCode() int { return p.Status }

// asProblem converts errors of the generated code into problem documents: errors
// of the design, and requests that cannot be decoded.
func asProblem(_ context.Context, err error) goahttp.Statuser {
	var operatorErr *operator.Problem
	var callerErr *caller.Problem
	switch {
	case errors.As(err, &operatorErr):
		return operatorBody(operatorErr)
	case errors.As(err, &callerErr):
		return problemBody{Problem: relay.Problem{
			Name: callerErr.Name, Type: callerErr.Type, Title: callerErr.Title, Status: callerErr.Status, Outcome: callerErr.Outcome, Reason: callerErr.Reason, RetryAfterMS: milliseconds(callerErr.RetryAfterMs),
		}}
	}
	refusal := contract.NotRun(contract.ReasonBadRequest, 0, err.Error()).WithStatus(http.StatusBadRequest)
	return problemBody{Problem: relay.ProblemOf(refusal)}
}

func milliseconds(value *int64) int64 {
	if value == nil {
		return 0
	}
	return *value
}

func operatorBody(p *operator.Problem) problemBody {
	body := problemBody{Problem: relay.Problem{
		Name: p.Name, Type: p.Type, Title: p.Title, Status: p.Status, Outcome: p.Outcome, Reason: p.Reason,
	}}
	if p.Detail != nil {
		body.Detail = *p.Detail
	}
	body.RetryAfterMS = milliseconds(p.RetryAfterMs)
	for _, f := range p.Findings {
		body.Findings = append(body.Findings, findingBody{File: f.File, Line: f.Line, Column: f.Column, Message: f.Message})
	}
	return body
}
