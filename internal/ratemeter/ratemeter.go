// Package ratemeter measures rates that change over time.
package ratemeter

import (
	"math"
	"time"
)

// Meter is an exponentially decaying rate meter. It is not safe for concurrent use.
type Meter struct {
	timeConstant time.Duration // time constant of the decay
	sum          float64       // decayed sum of the amounts
	at           time.Time     // time of the last decay
}

// New returns a meter whose memory fades with the given time constant.
func New(timeConstant time.Duration) Meter { return Meter{timeConstant: timeConstant} }

// Add counts an amount.
func (m *Meter) Add(amount float64, now time.Time) {
	m.decay(now)
	m.sum += amount
}

// PerSecond returns the amount per second. It starts at zero and takes some time
// constants to approach a steady rate.
func (m *Meter) PerSecond(now time.Time) float64 {
	m.decay(now)
	return m.sum / m.timeConstant.Seconds()
}

func (m *Meter) decay(now time.Time) {
	if age := now.Sub(m.at); age > 0 {
		m.sum *= math.Exp(-age.Seconds() / m.timeConstant.Seconds())
		m.at = now
	}
}
