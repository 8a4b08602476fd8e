package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/papayasail/papayasail/backend"
)

// planStep admits waiting generations and returns the duration of the next step; false
// if there is nothing to run.
func (e *Engine) planStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused || e.closed {
		return 0, false
	}
	e.admitLocked()
	if len(e.running) == 0 {
		return 0, false
	}
	step := e.config.StepBase +
		time.Duration(len(e.running))*e.config.StepPerRunning +
		time.Duration(e.prefill)*e.config.StepPerPrefillToken
	e.prefill = 0
	return step, true
}

// admitLocked moves generations from the queue into the batch, in order, as long
// as memory has room for them and for one more token of each running generation.
func (e *Engine) admitLocked() {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		g := e.waiting[0]
		if len(e.running) > 0 && e.memoryTokensLocked()+g.memoryTokens()+len(e.running)+1 > e.config.TokenCapacity {
			return
		}
		e.waiting = e.waiting[1:]
		g.phase = running
		e.running = append(e.running, g)
		cached := e.cache.lookupOrInsert(g.prefix, min(g.promptTokens, backend.PrefixBytes), e.publishLocked)
		e.prefill += max(0, g.memoryTokens()-cached)
	}
}

// step produces one token for each running generation.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused || e.closed {
		return
	}
	e.preemptLocked()
	if slices.ContainsFunc(e.running, e.crashes) {
		go func() { _ = e.Close() }() // the error is that of a listener that is closed already
		return
	}
	for _, g := range append([]*generation(nil), e.running...) {
		g.produced++
		e.journal.token(g)
		switch {
		case g.produced >= g.length:
			e.endLocked(g, finishStop)
		case g.produced >= g.limit || g.memoryTokens() >= e.config.TokenCapacity:
			e.endLocked(g, finishLength)
		default:
			g.notify()
		}
	}
	e.reports.record(time.Now(), e.reportLocked())
}

// crashes reports whether the engine crashes when it writes the answer to a generation.
func (e *Engine) crashes(g *generation) bool {
	return e.config.CrashingPart != "" && strings.Contains(g.prompt, e.config.CrashingPart)
}

// preemptLocked preempts generations until memory has room for one more token of
// each running one. A victim loses its memory, which is computed again when it is
// admitted; it keeps the tokens produced so far.
func (e *Engine) preemptLocked() {
	for len(e.running) > 1 && e.memoryTokensLocked()+len(e.running) > e.config.TokenCapacity {
		victim := e.running[0]
		for _, g := range e.running[1:] {
			if victim.before(g) {
				victim = g
			}
		}
		e.running = remove(e.running, victim)
		victim.preempted++
		e.journal.preempted()
		e.queueLocked(victim)
	}
}

func (e *Engine) memoryTokensLocked() int {
	total := 0
	for _, g := range e.running {
		total += g.memoryTokens()
	}
	return total
}
