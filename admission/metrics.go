package admission

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Results of kept queue positions.
const (
	returnKept    = "kept"
	returnClaimed = "claimed"
	returnEarly   = "early"
	returnExpired = "expired"
	returnLost    = "lost" // evicted by newer ones
)

// Metrics holds the metrics of queues. A nil *Metrics records nothing.
type Metrics struct {
	waiting       *prometheus.GaugeVec
	wait          *prometheus.HistogramVec
	refusals      *prometheus.CounterVec
	forecastError prometheus.Histogram
	returns       *prometheus.CounterVec
}

// NewMetrics registers the metrics of queues.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "papayasail_admission_waiting",
			Help: "Generations that wait for a place, by whether they can still be on time.",
		}, []string{"lane"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "papayasail_admission_wait_seconds",
			Help:    "Queueing time of the generations that were placed, by whether they could still be on time.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"lane"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_admission_refusals_total",
			Help: "Generations refused for lack of places, by reason.",
		}, []string{"reason"}),
		forecastError: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "papayasail_admission_forecast_error_seconds",
			Help:    "Time of placement less the time that was forecast when the generation was queued.",
			Buckets: []float64{-16, -8, -4, -2, -1, -0.5, -0.2, 0, 0.2, 0.5, 1, 2, 4, 8, 16},
		}),
		returns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_admission_returns_total",
			Help: "Queue positions of refused callers, by result.",
		}, []string{"result"}),
	}
	registerer.MustRegister(m.waiting, m.wait, m.refusals, m.forecastError, m.returns)
	return m
}

// laneLabel returns the label of a lane.
func laneLabel(late bool) string {
	if late {
		return "late"
	}
	return "on_time"
}

func (m *Metrics) addWaiting(late bool, n float64) {
	if m != nil {
		m.waiting.WithLabelValues(laneLabel(late)).Add(n)
	}
}

func (m *Metrics) placed(late bool, waited time.Duration) {
	if m != nil {
		m.wait.WithLabelValues(laneLabel(late)).Observe(waited.Seconds())
	}
}

func (m *Metrics) observeForecastError(e time.Duration) {
	if m != nil {
		m.forecastError.Observe(e.Seconds())
	}
}

func (m *Metrics) refused(reason string) {
	if m != nil {
		m.refusals.WithLabelValues(reason).Inc()
	}
}

func (m *Metrics) returned(result string) {
	if m != nil {
		m.returns.WithLabelValues(result).Inc()
	}
}
