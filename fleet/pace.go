package fleet

import "time"

const (
	// paceTokens is how many tokens one measurement spans. Single events come
	// in bursts after a stall of a link, and would make an engine look fast.
	paceTokens = 32
	// paceFall and paceRise are the parts by which a server's pace follows a
	// measurement below and above it. Prompts that are read in between slow
	// any engine down for a while, so that the lower ones tell more.
	paceFall = 0.3
	paceRise = 0.05
)

// pace follows the least time that an engine takes for a token.
type pace struct{ least time.Duration }

// observe takes in a measurement of one token's time; zero: none.
func (p *pace) observe(perToken time.Duration) {
	part := paceRise
	switch {
	case perToken <= 0:
		return
	case p.least == 0:
		p.least = perToken
		return
	case perToken < p.least:
		part = paceFall
	}
	p.least += time.Duration(part * float64(perToken-p.least))
}

// paceWindow measures one generation over paceTokens tokens at a time.
type paceWindow struct {
	tokens int
	began  time.Time
}

// next takes in how many tokens there are now, and returns the time of a token
// when a window is full, else zero.
func (w *paceWindow) next(tokens int, now time.Time) time.Duration {
	made := tokens - w.tokens
	if w.tokens > 0 && made < paceTokens {
		return 0
	}
	began := w.began
	w.tokens, w.began = tokens, now
	if began.IsZero() {
		return 0
	}
	return now.Sub(began) / time.Duration(made)
}
