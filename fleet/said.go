package fleet

import "time"

// saidLifetime is how long a plain server's word on its load counts: a queue
// that was full is worked off by then.
const saidLifetime = 300 * time.Millisecond

// saidLoad is what a server said of its load.
type saidLoad struct {
	requests int // that run or wait
	at       time.Time
}

// counting returns how many requests the word still counts for.
func (l saidLoad) counting(now time.Time) int {
	if now.Sub(l.at) >= saidLifetime {
		return 0
	}
	return l.requests
}

// Says takes in how many requests the work's server says it has.
//
// The load it answers: one of three plain servers is away and calls come faster
// than the others answer. Each of 72 hosts has one call there at a time and
// takes the servers for empty; they stand at the ends of full queues, where
// every call is late.
func (w *Work) Says(requests int) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.entry.said = saidLoad{requests, time.Now()}
}
