package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/contract"
)

// stallThreshold is the shortest gap between two tokens that counts as a stall.
const stallThreshold = 500 * time.Millisecond

// Metrics are the relay's metrics.
type Metrics struct {
	requests     *prometheus.CounterVec   // by service, outcome and reason
	tokens       *prometheus.CounterVec   // chunks written to callers, including the finish chunk, by service
	stalls       *prometheus.CounterVec   // gaps of stallThreshold and more, by service
	stallSeconds *prometheus.CounterVec   // seconds beyond stallThreshold, by service
	retries      *prometheus.CounterVec   // by service
	gaps         *prometheus.HistogramVec // gaps between tokens in seconds, by service
}

// NewMetrics creates the relay's metrics and registers them. It panics if they
// are registered already.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "papayasail", Name: name, Help: help}, labels)
		registerer.MustRegister(c)
		return c
	}
	m := &Metrics{
		requests:     counter("requests_total", "Requests by service, outcome and reason.", "service", "outcome", "reason"),
		tokens:       counter("tokens_total", "Chunks written to callers: tokens, and the finish chunk of each generation.", "service"),
		stalls:       counter("stalls_total", "Gaps between tokens of 0.5 s and more.", "service"),
		stallSeconds: counter("stall_seconds_total", "Time in gaps between tokens beyond the first 0.5 s of each gap.", "service"),
		retries:      counter("retries_total", "Retries of exact calls and of starts of generations; a restart after a failed stream is not counted.", "service"),
		gaps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "papayasail", Name: "token_gap_seconds", Help: "Gap between tokens as delivered to callers.",
			Buckets: []float64{.005, .01, .02, .035, .05, .069, .1, .2, .5, 1, 2, 5, 10},
		}, []string{"service"}),
	}
	registerer.MustRegister(m.gaps)
	return m
}

// countRequest counts a finished request. Requests for unknown services share an empty
// service label; otherwise callers could create an unbounded number of labels.
func (m *Metrics) countRequest(service string, refusal *contract.Refusal) {
	if refusal == nil {
		m.requests.WithLabelValues(service, string(contract.OutcomeDone), "").Inc()
		return
	}
	switch refusal.Reason {
	case contract.ReasonUnknownService, contract.ReasonUnauthorized, contract.ReasonNoConfiguration:
		service = ""
	}
	m.requests.WithLabelValues(service, string(refusal.Outcome), string(refusal.Reason)).Inc()
}

// countToken counts a chunk that was put into the caller's write buffer. gap is the
// time since the previous chunk, or zero if there is none to observe.
func (m *Metrics) countToken(service string, gap time.Duration) {
	m.tokens.WithLabelValues(service).Inc()
	if gap <= 0 {
		return // the first chunk, or the finish chunk of a generation started here
	}
	m.gaps.WithLabelValues(service).Observe(gap.Seconds())
	if gap >= stallThreshold {
		m.stalls.WithLabelValues(service).Inc()
		m.stallSeconds.WithLabelValues(service).Add((gap - stallThreshold).Seconds())
	}
}
