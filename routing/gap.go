package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	gapShare        = 0.05                   // a larger share of gaps above the target lowers the limit
	gapSamples      = 40                     // minimum number of gaps for an update
	limitDecrease   = 0.9                    // factor of the multiplicative decrease
	limitIncrease   = 1.0                    // additive increase, generations
	minRunningLimit = 4.0                    // lower bound of the limit, generations
	limitPeriod     = 500 * time.Millisecond // minimum time between updates
)

// gapMeter counts the gaps between tokens in the streams of one server. add may
// be called from any goroutine.
type gapMeter struct {
	target atomic.Int64 // ns; 0: gaps are not counted
	seen   atomic.Int64 // gaps counted
	above  atomic.Int64 // gaps above the target
	sum    atomic.Int64 // ns
}

func (m *gapMeter) add(gap time.Duration) {
	target := m.target.Load()
	if target <= 0 || gap <= 0 {
		return
	}
	m.seen.Add(1)
	m.sum.Add(int64(gap))
	if int64(gap) > target {
		m.above.Add(1)
	}
}

// runningLimit is an adaptive concurrency limit for the generations on one
// server: additive increase while the gaps between tokens meet the target,
// multiplicative decrease if too many exceed it. It is not a constant, because the
// right value differs by model and machine.
type runningLimit struct {
	limit   float64 // 0: no limit yet
	updated time.Time
	meanGap time.Duration // mean gap at the last update; 0: no update yet
}

// update adjusts the limit by the gaps counted since the last update.
func (r *runningLimit) update(meter *gapMeter, running float64, now time.Time) {
	if now.Sub(r.updated) < limitPeriod || meter.seen.Load() < gapSamples {
		return
	}
	seen, above := meter.seen.Swap(0), meter.above.Swap(0)
	r.updated = now
	r.meanGap = time.Duration(meter.sum.Swap(0) / seen)
	if float64(above) > gapShare*float64(seen) {
		r.limit = max(minRunningLimit, min(r.bound(), running)*limitDecrease)
		return
	}
	if r.limit > 0 && running >= r.limit-1 {
		r.limit += limitIncrease
	}
}

// bound returns the limit, or infinity if there is none yet.
func (r *runningLimit) bound() float64 {
	if r.limit <= 0 {
		return math.Inf(1)
	}
	return r.limit
}
