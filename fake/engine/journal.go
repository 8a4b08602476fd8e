package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/papayasail/papayasail/backend"
)

// maxJournal bounds the number of recorded runs and orders, so that long benchmarks
// do not exhaust memory.
const maxJournal = 1 << 16

// Run is the record of one generation, for test oracles.
type Run struct {
	GenerationID string
	Prompt       string
	Tokens       int
	Preempted    int
	Finish       string // finish reason; empty while it runs
	Started      time.Time
}

// Counters contains the engine's totals since its start.
type Counters struct {
	Started     uint64
	Tokens      uint64
	Preemptions uint64
	Ended       map[string]uint64 // by finish reason
	Refused     uint64            // refused requests, which ran nothing
	// RefusedStarts counts the refused requests that were starts of generations.
	RefusedStarts uint64
	Repeated      uint64 // starts of a generation id that exists already
}

// journal records runs, orders and totals for test oracles. The engine's mutex
// guards it.
type journal struct {
	runs        []*Run
	byID        map[string]*Run
	orders      []backend.OrderRequest
	refused     []backend.OrderRequest
	preemptions uint64
	counters    Counters
}

func newJournal() journal {
	return journal{byID: map[string]*Run{}, counters: Counters{Ended: map[string]uint64{}}}
}

func (j *journal) started(g *generation) {
	j.counters.Started++
	if len(j.runs) >= maxJournal {
		return
	}
	run := &Run{GenerationID: g.id, Prompt: g.prompt, Started: time.Now()}
	j.runs = append(j.runs, run)
	j.byID[g.id] = run
}

func (j *journal) token(g *generation) {
	j.counters.Tokens++
	if run := j.byID[g.id]; run != nil {
		run.Tokens, run.Preempted = g.produced, g.preempted
	}
}

func (j *journal) ended(g *generation) {
	j.counters.Ended[g.finish]++
	if run := j.byID[g.id]; run != nil {
		run.Finish = g.finish
	}
}

func (j *journal) preempted() { j.preemptions++ }

func (j *journal) ordered(order backend.OrderRequest) {
	if len(j.orders) < maxJournal {
		j.orders = append(j.orders, order)
	}
}

func (j *journal) orderRefused(order backend.OrderRequest) {
	if len(j.refused) < maxJournal {
		j.refused = append(j.refused, order)
	}
}

// Runs returns the recorded generations, in order of their starts.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, 0, len(e.journal.runs))
	for _, run := range e.journal.runs {
		runs = append(runs, *run)
	}
	return runs
}

// RunsOf returns how many recorded generations have this prompt.
func (e *Engine) RunsOf(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, run := range e.journal.runs {
		if run.Prompt == prompt {
			count++
		}
	}
	return count
}

// Orders returns the orders that were executed and those that were refused because
// of a stale fencing number, each in order.
func (e *Engine) Orders() (executed, refused []backend.OrderRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal.orders), slices.Clone(e.journal.refused)
}

// Counters returns a snapshot of the totals since the engine's start.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	counters := e.journal.counters
	counters.Preemptions = e.journal.preemptions
	counters.Ended = maps.Clone(counters.Ended)
	return counters
}

// Load returns the current load, without ReportLag and AlterReport.
func (e *Engine) Load() backend.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reportLocked()
}
