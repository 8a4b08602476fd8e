package gateway

import (
	"sync"

	"github.com/papayasail/papayasail/fleet"
)

// run is a generation in progress that this host relays.
type run struct {
	task         *task
	transfers    chan transfer // the result of the move in progress
	transferDone chan struct{} // a token for each transfer that the reader has finished with
	lastEventID  string        // used by the reader's goroutine only

	tokensPerEvent int
	promptTokens   int

	mu             sync.Mutex // guards all below
	work           *fleet.Work
	producedEvents int  // number of events relayed to the caller
	moveInProgress bool // a move is in progress or its result was not received yet
	ended          bool
}

// transfer is the result of a move whose source has stopped the run.
type transfer struct {
	source fleet.Server
	handle string
	// reservations are those on the servers that may resume the run, in order of
	// preference. None: the run is lost.
	reservations []*fleet.Work
}

func newRun(t *task, work *fleet.Work) *run {
	r := &run{
		task: t, work: work, transfers: make(chan transfer, 1), transferDone: make(chan struct{}, 1),
		tokensPerEvent: 1, promptTokens: t.request.Prompt.Tokens, lastEventID: t.resumedAfter(),
	}
	if t.service.Engine != nil {
		r.tokensPerEvent = max(1, t.service.Engine.TokensPerEvent)
	}
	return r
}

// recordEvent records that an event was relayed to the caller.
func (r *run) recordEvent(id string) {
	if id != "" {
		r.lastEventID = id
	}
	r.mu.Lock()
	r.producedEvents++
	work, tokens := r.work, r.producedEvents*r.tokensPerEvent
	r.mu.Unlock()
	work.Produced(tokens)
}

func (r *run) recordOutcome(failed bool) { r.currentWork().Outcome(failed) }

// end closes the stream from the current server and releases the reservation
// there.
func (r *run) end(reply *Reply) {
	reply.Body.Close()
	r.currentWork().End()
}

// currentWork returns the run's reservation on its current server.
func (r *run) currentWork() *fleet.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work
}

func (r *run) moving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moveInProgress
}

func (r *run) setMoving(moving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moveInProgress = moving
}

// memoryTokens returns the engine memory that the run occupies, in tokens.
func (r *run) memoryTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promptTokens + r.producedEvents*r.tokensPerEvent
}

// server returns the run's current server.
func (r *run) server() fleet.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work.Server()
}

// overrunFraction estimates the remaining output of a run that has outgrown the
// caller's estimate, as a fraction of the output so far. The estimate is accurate
// only at the median: half of the runs are longer.
const overrunFraction = 0.25

// expectedRemaining returns the expected remaining output in tokens.
func (r *run) expectedRemaining() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	produced := r.producedEvents * r.tokensPerEvent
	return max(r.task.request.Prompt.expectedOutput()-produced, int(overrunFraction*float64(produced)))
}

// lostWork returns the work of the whole run, in prompt tokens: its prompt plus
// outputWeight for each token that it has produced or is still expected to
// produce. The order in which runs are moved depends on it.
func (r *run) lostWork() int {
	produced := r.memoryTokens() - r.promptTokens
	return r.promptTokens + outputWeight*(produced+r.expectedRemaining())
}

// outputWeight is the work of one generated token in prompt tokens. An engine
// reads about 7,000 prompt tokens per second and generates 125 tokens per second
// for each stream; for a single stream alone the ratio is 56.
const outputWeight = 10

// serverLeaving returns a channel that is closed when the run's server is known to
// be leaving.
func (r *run) serverLeaving() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work.Gone()
}

// leaving reports whether the run's server is known to be leaving.
func (r *run) leaving() bool {
	select {
	case <-r.serverLeaving():
		return true
	default:
		return false
	}
}

// lost reports whether the run's server has restarted, so that it no longer has
// the run.
func (r *run) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work.Context().Err() != nil
}

// started reports whether an event of the run was relayed to the caller.
func (r *run) started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.producedEvents > 0
}

// moveTo makes the server on which the run was resumed its current one.
func (r *run) moveTo(work *fleet.Work) {
	r.mu.Lock()
	before, produced := r.work, r.producedEvents*r.tokensPerEvent
	r.work, r.moveInProgress = work, false
	r.mu.Unlock()
	before.End()
	work.Produced(produced)
}

// signalTransferDone records that a transfer was used or abandoned.
func (r *run) signalTransferDone() {
	select {
	case r.transferDone <- struct{}{}:
	default:
	}
}

// discardTransfer discards the result of an earlier move that was not received,
// with its reservations.
func (r *run) discardTransfer() {
	select {
	case old := <-r.transfers:
		endAll(old.reservations)
	default:
	}
	select {
	case <-r.transferDone:
	default:
	}
}

// finish records that the run has ended and needs no further moves, and discards
// the result of a move that was not received.
func (r *run) finish() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.discardTransfer()
}

// deliver passes the result of a move to the stream's reader.
//
// Once the reader has ended, nothing receives the result, and its reservations
// would stay on the servers forever. finish discards a result that was delivered
// before the run ended; deliver discards one that is delivered after it.
func (r *run) deliver(to transfer) {
	r.transfers <- to
	if r.hasEnded() {
		r.discardTransfer()
	}
}

// hasEnded reports whether the run has ended.
func (r *run) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}
