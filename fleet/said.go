package fleet

import "time"

// saidLifetime is how long the load reported by a plain server is valid. A full
// queue drains within that time.
const saidLifetime = 300 * time.Millisecond

// saidLoad is the load that a server reported about itself.
type saidLoad struct {
	requests int // running or queued
	at       time.Time
}

// counting returns the reported number of requests, or zero once the report has expired.
func (l saidLoad) counting(now time.Time) int {
	if now.Sub(l.at) >= saidLifetime {
		return 0
	}
	return l.requests
}

// Says records the number of requests that the server reported with its answer.
//
// Hosts with few calls in flight cannot see overload from their own calls. When
// one of three plain servers is down and calls arrive faster than the other two
// can answer, each of 72 hosts has one call in flight there and takes the
// servers for empty, while their queues are full and every call is late.
func (w *Work) Says(requests int) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.entry.said = saidLoad{requests, time.Now()}
}
