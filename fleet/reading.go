package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/papayasail/papayasail/placement"
)

const (
	// readingOverhead is the part of a window in which the engine reads nothing:
	// the request and its first event are on the network, and the first token is
	// produced.
	readingOverhead = 30 * time.Millisecond
	// minReadingTokens is the least number of tokens of a measurement. In windows
	// with fewer, the overhead outweighs the time that the engine reads.
	minReadingTokens = 1500
	// maxReadingWindow is the time after which a measurement is made although
	// the engine has prompts left. It spans several prompts, so that those that
	// are partly read at its ends matter little.
	maxReadingWindow = 2 * time.Second
	// readingBound limits the effect of one measurement on the logarithm of the
	// estimate, and readingGain is the least weight of one. Cached prompts make
	// an engine look several times as fast, and stalls as slow.
	readingBound = 0.25
	readingGain  = 0.08
	// priorMeasurements is the number of measurements of which the estimate for
	// the service has the weight.
	priorMeasurements = 4
	// maxMeasurements limits the evidence for an estimate, and readingHalfLife
	// is the time in which it halves.
	maxMeasurements = 30
	readingHalfLife = 2 * time.Minute
	// readingRefresh is the interval at which the estimates of a service are
	// combined.
	readingRefresh = time.Second
	// FirstEventTTL is how long the newest first event is reported to allocators.
	FirstEventTTL = 3 * time.Second
	// sameEventWithin is the difference of the times up to which two equal first
	// events of a host are the same one. It allows for the delay of a report.
	sameEventWithin = 300 * time.Millisecond
)

// FirstEvent is the first event of a generation that a host relays from an engine.
type FirstEvent struct {
	// TokensPerMs is the length of the prompt by the time from its sending to the
	// event. The engine may have read other prompts in that time.
	TokensPerMs float64
	At          time.Time
}

// reading estimates the prefill rate of an engine while it also generates.
//
// A host knows only its own prompts, and an engine may read others before them. The
// rate is therefore measured where the load of all hosts is known, in the table of
// the allocator. Hosts report when first events came; the allocator knows what was
// unread.
type reading struct {
	value    float64 // estimate combined with that for the service; zero: not known
	estimate float64 // tokens per ms; zero: not measured
	evidence float64 // number of measurements at the time of the last one
	at       time.Time
	window   readingWindow
}

// observe adds a measurement, in tokens per ms.
func (r *reading) observe(tokensPerMs float64, now time.Time) {
	if r.estimate == 0 {
		r.estimate = r.value
		if r.value == 0 {
			r.estimate = placement.DefaultReadingRate
		}
	}
	known := r.weight(now)
	difference := math.Log(tokensPerMs / r.estimate)
	difference = max(-readingBound, min(readingBound, difference))
	r.estimate *= math.Exp(difference * max(readingGain, 1/(known+1)))
	r.evidence, r.at = min(maxMeasurements, known+1), now
}

// weight returns the number of measurements, discounted by their age.
func (r *reading) weight(now time.Time) float64 {
	if r.evidence == 0 {
		return 0
	}
	return r.evidence * math.Exp2(-float64(now.Sub(r.at))/float64(readingHalfLife))
}

// readingWindow measures the prompt tokens that an engine reads from the time when
// it has some to read until it has none. Its result does not depend on the order in
// which the engine reads the prompts of several hosts.
type readingWindow struct {
	unread int
	read   int
	began  time.Time
	valid  bool
}

// place adds a prompt. valid applies to the first one of a window.
func (w *readingWindow) place(tokens int, now time.Time, valid bool) {
	if w.unread == 0 {
		*w = readingWindow{began: now, valid: valid}
	}
	w.unread += tokens
}

// drop removes prompts that the engine may not have read. It invalidates the window.
func (w *readingWindow) drop(tokens int) {
	w.unread, w.valid = max(0, w.unread-tokens), false
}

// finish removes prompts whose first event came at the given time. It returns the
// tokens per ms of a complete window, else zero.
func (w *readingWindow) finish(tokens int, at time.Time) (tokensPerMs float64) {
	w.unread, w.read = max(0, w.unread-tokens), w.read+tokens
	took := at.Sub(w.began) - readingOverhead
	if w.unread > 0 && took < maxReadingWindow {
		return 0
	}
	if w.valid && w.read >= minReadingTokens && took > 0 {
		tokensPerMs = float64(w.read) / (float64(took) / float64(time.Millisecond))
	}
	*w = readingWindow{unread: w.unread, began: at, valid: true}
	return tokensPerMs
}

// placeUnread records a prompt that the engine has to read. Requires mu.
func (t *Table) placeUnread(e *entry, tokens int, now time.Time) {
	valid := e.reading.window.unread == 0 && t.generates(e, now)
	e.reading.window.place(tokens, now, valid)
}

// finishUnread records that the engine has read prompts. Requires mu.
func (t *Table) finishUnread(e *entry, tokens int, at time.Time) {
	if measured := e.reading.window.finish(tokens, at); measured > 0 {
		e.reading.observe(measured, at)
	}
}

// generates reports whether the engine generates tokens and this host knows its load
// of all hosts. An engine that does nothing else reads about twice as fast. Requires mu.
func (t *Table) generates(e *entry, now time.Time) bool {
	load := t.sumOthers(e, now)
	if load.Requests == 0 && t.sharers.Count() > 1 {
		return false // other hosts do not report to this one
	}
	load.add(e.ownLoad())
	return load.UsedTokens > load.UnreadTokens
}

// changeOthersUnread records how another host's load on an engine changes. Requires mu.
//
// Unread tokens that are gone count as read only if the host reports a first event
// that is not the last one it reported: its generation may have ended unread.
func (t *Table) changeOthersUnread(e *entry, before, after Load, now time.Time) {
	window := &e.reading.window
	switch change := after.UnreadTokens - before.UnreadTokens; {
	case change > 0:
		t.placeUnread(e, change, now)
	case change < 0 && after.firstEventSince(before, window.began):
		t.finishUnread(e, -change, after.FirstEvent.At)
	case change < 0:
		window.drop(-change)
	}
}

// firstEventSince reports whether the load has a first event that the earlier load
// of the host does not have and that came after the given time. Reports of the same
// event differ in its time by their delay on the network.
func (l *Load) firstEventSince(earlier Load, began time.Time) bool {
	newest, known := l.FirstEvent, earlier.FirstEvent
	if newest == nil || !newest.At.After(began) {
		return false
	}
	return known == nil || newest.TokensPerMs != known.TokensPerMs || newest.At.Sub(known.At) > sameEventWithin
}

// refreshReading combines the estimates of the service's engines. Requires Table.mu.
func (s *service) refreshReading(now time.Time) {
	if s.memoryTokens == 0 || now.Sub(s.readingAt) < readingRefresh {
		return
	}
	s.readingAt = now
	s.readings = s.readings[:0]
	total := 0.0
	for _, e := range s.members.all {
		weight := e.reading.weight(now)
		total += weight
		if weight >= 1 {
			s.readings = append(s.readings, e.reading.estimate)
		}
	}
	if len(s.readings) == 0 {
		for _, e := range s.members.all {
			e.reading.value = 0
		}
		return
	}
	slices.Sort(s.readings)
	prior := mean(s.readings[len(s.readings)/2], total, placement.DefaultReadingRate)
	for _, e := range s.members.all {
		e.reading.value = mean(e.reading.estimate, e.reading.weight(now), prior)
	}
}

// mean returns the mean of an estimate of the given weight and of the prior.
func mean(estimate, weight, prior float64) float64 {
	return (estimate*weight + prior*priorMeasurements) / (weight + priorMeasurements)
}
