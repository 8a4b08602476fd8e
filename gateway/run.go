package gateway

import (
	"sync"

	"github.com/papayasail/papayasail/fleet"
)

// run is a generation in progress that this host relays.
type run struct {
	task        *task
	transfers   chan transfer // the result of the move in progress
	settled     chan struct{} // a token for each transfer that the reader has finished with
	lastEventID string        // used by the reader's goroutine only

	perEvent     int // tokens
	promptTokens int

	mu       sync.Mutex // guards all below
	work     *fleet.Work
	produced int  // events
	inMove   bool // a move is in progress or its result was not received yet
	ended    bool
}

// transfer is the result of a move whose source has stopped the run.
type transfer struct {
	source fleet.Server
	handle string
	// works are reservations on the servers that may resume the run, in order of
	// preference. None: the run is lost.
	works []*fleet.Work
}

func newRun(t *task, work *fleet.Work) *run {
	r := &run{
		task: t, work: work, transfers: make(chan transfer, 1), settled: make(chan struct{}, 1),
		perEvent: 1, promptTokens: t.request.Prompt.Tokens,
	}
	if t.service.Engine != nil {
		r.perEvent = max(1, t.service.Engine.TokensPerEvent)
	}
	return r
}

// passed records that an event was relayed to the caller.
func (r *run) passed(id string) {
	if id != "" {
		r.lastEventID = id
	}
	r.mu.Lock()
	r.produced++
	work, tokens := r.work, r.produced*r.perEvent
	r.mu.Unlock()
	work.Produced(tokens)
}

func (r *run) outcome(failed bool) { r.current().Outcome(failed) }

// end closes the stream from the current server and releases the reservation
// there.
func (r *run) end(reply *Reply) {
	reply.Body.Close()
	r.current().End()
}

// current returns the run's reservation on its current server.
func (r *run) current() *fleet.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work
}

func (r *run) moving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inMove
}

func (r *run) setMoving(moving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inMove = moving
}

// tokens returns the engine memory that the run occupies, in tokens.
func (r *run) tokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promptTokens + r.produced*r.perEvent
}

// server returns the run's current server.
func (r *run) server() fleet.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work.Server()
}

// outliving estimates the remaining output of a run that has outgrown the
// caller's estimate, as a fraction of the output so far. The estimate is accurate
// only at the median.
const outliving = 0.25

// expectedMore returns the expected remaining output in tokens.
func (r *run) expectedMore() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	produced := r.produced * r.perEvent
	return max(r.task.request.Prompt.expectedOutput()-produced, int(outliving*float64(produced)))
}

// size returns the work that is lost if the run is lost, in prompt tokens.
func (r *run) size() int {
	produced := r.tokens() - r.promptTokens
	return r.promptTokens + outputWeight*(produced+r.expectedMore())
}

// outputWeight is the work of one generated token in prompt tokens: an engine
// reads about 7,000 prompt tokens per second and generates 125 tokens per second
// for each stream.
const outputWeight = 10

// gone returns a channel that is closed when the run's server is known to be
// leaving.
func (r *run) gone() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work.Gone()
}

// leaving reports whether the run's server is known to be leaving.
func (r *run) leaving() bool {
	select {
	case <-r.gone():
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
	return r.work.Life().Err() != nil
}

// started reports whether an event of the run was relayed to the caller.
func (r *run) started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.produced > 0
}

// moveTo makes the server on which the run was resumed its current one.
func (r *run) moveTo(work *fleet.Work) {
	r.mu.Lock()
	before, produced := r.work, r.produced*r.perEvent
	r.work, r.inMove = work, false
	r.mu.Unlock()
	before.End()
	work.Produced(produced)
}

// settle records that a transfer was used or abandoned.
func (r *run) settle() {
	select {
	case r.settled <- struct{}{}:
	default:
	}
}

// dropTransfer discards the result of an earlier move that was not received,
// with its reservations.
func (r *run) dropTransfer() {
	select {
	case old := <-r.transfers:
		endAll(old.works)
	default:
	}
	select {
	case <-r.settled:
	default:
	}
}

// finish records that the run has ended and needs no further moves, and discards
// the result of a move that was not received.
func (r *run) finish() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.dropTransfer()
}

// hand passes the result of a move to the stream's reader.
//
// If the reader has ended meanwhile, the result must not keep its reservations
// on servers forever: finish discards a result that came earlier, hand one that
// comes later.
func (r *run) hand(to transfer) {
	r.transfers <- to
	if r.over() {
		r.dropTransfer()
	}
}

// over reports whether the run has ended.
func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}
