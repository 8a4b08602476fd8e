package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayasail/papayasail/contract"
)

const (
	// stallAfter is the gap between tokens above which a stream counts as
	// stalled. The part of the gap above it is stall time.
	stallAfter   = 250 * time.Millisecond
	longestValue = int64(10 * time.Minute / time.Microsecond) // µs
	precision    = 3                                          // significant figures
)

// meter collects the measurements of one cell. It ignores values outside the
// measured window, except in perSecond.
type meter struct {
	start    time.Time
	from, to time.Duration // measured window, relative to start

	mu        sync.Mutex // guards all below
	gaps      *hdrhistogram.Histogram
	first     *hdrhistogram.Histogram
	refusals  *hdrhistogram.Histogram
	stall     time.Duration
	tokens    int // output tokens of complete answers
	delivered int // output tokens that callers received, including those of incomplete answers
	answers   int // complete answers
	sent      int
	outcomes  map[string]int  // requests without a complete answer, by outcome/reason
	served    map[int]float64 // prompt and output tokens of complete answers, by organisation
	offered   map[int]float64 // prompt and output tokens requested, by organisation
	perSecond []float64       // output tokens of complete answers, by second after start
}

func newMeter(start time.Time, from, to time.Duration) *meter {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestValue, precision) }
	return &meter{
		start: start, from: from, to: to, gaps: histogram(), first: histogram(), refusals: histogram(),
		outcomes: map[string]int{}, served: map[int]float64{}, offered: map[int]float64{},
		perSecond: make([]float64, int(to/time.Second)+1),
	}
}

func (m *meter) inWindow(at time.Time) bool {
	after := at.Sub(m.start)
	return after >= m.from && after < m.to
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(longestValue, max(1, d.Microseconds()))) // cannot fail: within the bounds of the histogram
}

// addRequest counts a sent request. Latency is measured from its intended send
// time.
func (m *meter) addRequest(a arrival) {
	if !m.inWindow(m.start.Add(a.at)) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent++
	m.offered[a.organisation] += float64(a.tokens + a.promptTokens)
}

// addToken records one token of a stream. last is the time of the previous
// token, zero for the first one.
func (m *meter) addToken(a arrival, now, last time.Time) {
	if !m.inWindow(now) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delivered++
	if last.IsZero() {
		record(m.first, now.Sub(m.start.Add(a.at)))
		return
	}
	gap := now.Sub(last)
	record(m.gaps, gap)
	m.stall += max(0, gap-stallAfter)
}

// addAnswer counts a complete answer.
func (m *meter) addAnswer(a arrival, tokens int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if second := int(now.Sub(m.start) / time.Second); second < len(m.perSecond) {
		m.perSecond[second] += float64(tokens)
	}
	if !m.inWindow(now) {
		return
	}
	m.answers++
	m.tokens += tokens
	m.served[a.organisation] += float64(tokens + a.promptTokens)
}

// addRefusal counts a request that ended without a complete answer.
func (m *meter) addRefusal(a arrival, refusal *contract.Refusal, now time.Time) {
	if !m.inWindow(m.start.Add(a.at)) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[string(refusal.Outcome)+"/"+string(refusal.Reason)]++
	if refusal.Outcome == contract.OutcomeNotRun {
		record(m.refusals, now.Sub(m.start.Add(a.at)))
	}
}
