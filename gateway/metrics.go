package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the gateway's counters and histograms of requests.
type Metrics struct {
	requests     *prometheus.CounterVec
	duration     *prometheus.HistogramVec
	firstEvent   prometheus.Histogram
	longestPause prometheus.Histogram
	moves        *prometheus.CounterVec
	gapGoals     *prometheus.CounterVec

	retryDecisions *prometheus.CounterVec
	retryResults   *prometheus.CounterVec
	callTimeRatio  prometheus.Histogram

	configurationProblems prometheus.Gauge
}

// NewMetrics registers the gateway's counters and histograms.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_gateway_requests_total",
			Help: "Requests by status of the answer and, if this system produced it, its reason.",
		}, []string{"status", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "papayasail_gateway_request_seconds",
			Help:    "Time from receiving a request's head to the end of its answer, by service.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"service"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "papayasail_gateway_first_event_seconds",
			Help:    "Time from receiving the head of a generation request to its first event.",
			Buckets: prometheus.ExponentialBuckets(0.05, 1.5, 14),
		}),
		longestPause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "papayasail_gateway_longest_pause_seconds",
			Help:    "Longest pause between two events of a generation.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.5, 16),
		}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_gateway_moves_total",
			Help: "Attempts to move generations off leaving servers, by result.",
		}, []string{"result"}),
		gapGoals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_gateway_gap_goals_total",
			Help: "Generations of some length that were not moved, by whether they kept or missed the gap goal of their route.",
		}, []string{"result"}),
		retryDecisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_gateway_call_retry_decisions_total",
			Help: "Idempotent calls that a server answered with an error of its own, by whether and why they are retried.",
		}, []string{"decision"}),
		retryResults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_gateway_call_retry_results_total",
			Help: "Retries of idempotent calls, by the number of servers' own errors before and by result.",
		}, []string{"errors", "result"}),
		callTimeRatio: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "papayasail_gateway_call_time_ratio",
			Help:    "Time that plain servers took for calls, divided by the time that was expected when they were chosen.",
			Buckets: prometheus.ExponentialBuckets(0.125, 1.4142, 13),
		}),
		configurationProblems: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "papayasail_gateway_configuration_problems",
			Help: "Parts of the configuration in force that could not be read.",
		}),
	}
	registerer.MustRegister(m.requests, m.duration, m.firstEvent, m.longestPause, m.moves, m.gapGoals, m.retryDecisions, m.retryResults, m.callTimeRatio, m.configurationProblems)
	return m
}

func (m *Metrics) observe(t *task, o Outcome) {
	m.requests.WithLabelValues(strconv.Itoa(o.Status), string(o.Reason)).Inc()
	if t.service != nil {
		m.duration.WithLabelValues(t.service.Name).Observe(time.Since(t.request.Arrived).Seconds())
	}
	if o.Streamed {
		m.firstEvent.Observe(t.firstEvent.Seconds())
		m.longestPause.Observe(t.longestPause.Seconds())
	}
}
