package fleet

import "time"

const (
	// paceTokens is how many tokens one measurement spans. After a network
	// stall, events arrive in bursts; measured one by one they would make an
	// engine look fast.
	paceTokens = 32
	// paceFall and paceRise are the smoothing factors for measurements below
	// and above the current pace. Reading other prompts slows any engine down
	// temporarily, so lower measurements are more reliable.
	paceFall = 0.3
	paceRise = 0.05
)

// pace estimates the time per token of an engine, weighted towards its fastest
// measurements.
type pace struct{ estimate time.Duration }

// observe adds a measurement of the time per token; zero: no measurement.
func (p *pace) observe(perToken time.Duration) {
	factor := paceRise
	switch {
	case perToken <= 0:
		return
	case p.estimate == 0:
		p.estimate = perToken
		return
	case perToken < p.estimate:
		factor = paceFall
	}
	p.estimate += time.Duration(factor * float64(perToken-p.estimate))
}

// paceWindow measures one generation in windows of paceTokens tokens.
type paceWindow struct {
	tokens int
	began  time.Time
}

// next records the number of tokens produced so far. It returns the time per
// token when a window is complete, else zero.
func (w *paceWindow) next(tokens int, now time.Time) time.Duration {
	produced := tokens - w.tokens
	if w.tokens > 0 && produced < paceTokens {
		return 0
	}
	began := w.began
	w.tokens, w.began = tokens, now
	if began.IsZero() {
		return 0
	}
	return now.Sub(began) / time.Duration(produced)
}
