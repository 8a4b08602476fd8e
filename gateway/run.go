package gateway

import (
	"sync"

	"github.com/papayasail/papayasail/fleet"
)

// run is a generation in progress on this host.
type run struct {
	task        *task
	transfers   chan transfer // the result of the move under way
	settled     chan struct{} // a token for each transfer that was taken or given up
	lastEventID string        // of the reader's goroutine

	perEvent     int // tokens
	promptTokens int

	mu       sync.Mutex // guards all below
	work     *fleet.Work
	produced int  // events
	inMove   bool // a move is under way or its result not taken yet
	ended    bool
}

// transfer is the result of a move whose source has stopped the run.
type transfer struct {
	source fleet.Server
	handle string
	// works are the servers that may take the run up, in order, with the run
	// booked on them. None: the run is lost.
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

// passed notes that an event went on to the caller.
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

// end closes the stream at its present server.
func (r *run) end(reply *Reply) {
	reply.Body.Close()
	r.current().End()
}

// current is the run's work on its present server.
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

// tokens is the memory that the run holds.
func (r *run) tokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promptTokens + r.produced*r.perEvent
}

// server is where the run is.
func (r *run) server() fleet.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work.Server()
}

// outliving is the part of what a run has made that it is expected to make yet
// once it has outlived the caller's estimate, which is right at the median only.
const outliving = 0.25

// expectedMore is how many tokens the run is expected to make yet.
func (r *run) expectedMore() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	produced := r.produced * r.perEvent
	return max(r.task.request.Prompt.expectedOutput()-produced, int(outliving*float64(produced)))
}

// size is the work that is lost with the run, in tokens.
func (r *run) size() int {
	produced := r.tokens() - r.promptTokens
	return r.promptTokens + outputWeight*(produced+r.expectedMore())
}

// outputWeight is how many tokens of a prompt one generated token is worth: an
// engine reads some 7,000 tokens a second, and makes 125 for each stream.
const outputWeight = 10

// gone is closed when the run's server is known to be leaving.
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

// lost reports whether the run's server has started again: nothing of the run
// is there any more.
func (r *run) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work.Life().Err() != nil
}

// started reports whether the caller has events of the run.
func (r *run) started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.produced > 0
}

// moveTo puts the run on the server where it goes on.
func (r *run) moveTo(work *fleet.Work) {
	r.mu.Lock()
	before, produced := r.work, r.produced*r.perEvent
	r.work, r.inMove = work, false
	r.mu.Unlock()
	before.End()
	work.Produced(produced)
}

// settle notes that a transfer was taken or given up.
func (r *run) settle() {
	select {
	case r.settled <- struct{}{}:
	default:
	}
}

// dropTransfer drops what an earlier move left and nobody took.
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

// finish notes that the run needs no move any more, and gives up what a move
// has left for it.
func (r *run) finish() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.dropTransfer()
}

// hand passes the result of a move to the stream's reader.
//
// Failure: the reader has ended meanwhile, and the result keeps its bookings
// on servers for good. finish drops what came before it; what comes after it
// is dropped here.
func (r *run) hand(to transfer) {
	r.transfers <- to
	if r.over() {
		r.dropTransfer()
	}
}

func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}
