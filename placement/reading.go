package placement

import "time"

const (
	// DefaultReadingRate is the prefill rate, in tokens per ms, that is assumed
	// for an engine that also runs generations: one chunk of 112 tokens in each
	// step of 15 to 17 ms.
	DefaultReadingRate = 7
	// sameReadingRate is the relative difference from DefaultReadingRate up to
	// which a rate counts as equal to it. Measured rates of equal engines differ
	// by as much, and the limit decides whether a second prompt of typical
	// length fits.
	sameReadingRate = 0.2
)

// FirstEventReserve is the time from the end of a prefill to the first event at the
// caller that placement allows for: the first output step, the network, and prompts
// that the engine has read in part.
const FirstEventReserve = 300 * time.Millisecond

// exceeds reports whether the engine needs more than the given time to prefill so
// many tokens. The bound is rounded to whole tokens.
func (c *Candidate) exceeds(d time.Duration, tokens int) bool {
	return (float64(tokens)-0.5)*float64(time.Millisecond) > c.readingRate()*float64(d)
}

// FirstEventDelay estimates the time from the placement of a request on the engine
// to its first event; zero for a plain server.
func (c *Candidate) FirstEventDelay(need Need) time.Duration {
	if c.MemoryTokens == 0 {
		return 0
	}
	return time.Duration(c.readingTime(c.UnreadTokens+need.PromptTokens) * float64(time.Millisecond))
}

// readingTime returns the time, in ms, in which the engine prefills so many tokens.
func (c *Candidate) readingTime(tokens int) float64 { return float64(tokens) / c.readingRate() }

// readingRate returns the engine's prefill rate in tokens per ms. Rates near the
// default count as the default; up to twice the tolerance, the difference is
// extended linearly, so that no small change of a measurement has a large effect.
func (c *Candidate) readingRate() float64 {
	if c.ReadingTokensPerMs <= 0 {
		return DefaultReadingRate
	}
	difference := c.ReadingTokensPerMs/DefaultReadingRate - 1
	size := max(difference, -difference)
	switch {
	case size <= sameReadingRate:
		return DefaultReadingRate
	case size >= 2*sameReadingRate:
		return c.ReadingTokensPerMs
	}
	return DefaultReadingRate * (1 + difference*2*(size-sameReadingRate)/size)
}

// PrefillTime returns how long an engine that also generates takes to prefill a prompt.
func PrefillTime(need Need) time.Duration {
	return time.Duration(float64(need.PromptTokens) / DefaultReadingRate * float64(time.Millisecond))
}

// MinFirstEventDelay returns the least time from the placement of a generation to its
// first event that can be expected.
func MinFirstEventDelay(need Need) time.Duration { return PrefillTime(need) + FirstEventReserve }
