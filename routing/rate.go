package routing

import (
	"math"
	"time"
)

// rate is an exponentially decaying rate meter.
type rate struct {
	timeConstant time.Duration // time constant of the decay
	sum          float64       // decayed sum of the amounts
	at           time.Time     // time of the last decay
}

func (r *rate) add(amount float64, now time.Time) {
	r.decay(now)
	r.sum += amount
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / r.timeConstant.Seconds()
}

func (r *rate) decay(now time.Time) {
	if age := now.Sub(r.at); age > 0 {
		r.sum *= math.Exp(-age.Seconds() / r.timeConstant.Seconds())
		r.at = now
	}
}
