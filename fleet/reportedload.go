package fleet

import "time"

// reportedLoadTTL is how long the load reported by a plain server is valid. A
// full queue drains within that time.
const reportedLoadTTL = 300 * time.Millisecond

// ReportedLoad is what a plain server reports about its load.
type ReportedLoad struct {
	Running int // requests
	Waiting int // requests
	Slots   int // zero: not reported
	// TimePercent is its current service time in percent of the usual one; zero: not
	// reported.
	TimePercent int
}

// reportedLoad is the load that a server reported about itself.
type reportedLoad struct {
	requests int // running or queued
	at       time.Time
}

// current returns the reported number of requests, or zero once the report has expired.
func (l reportedLoad) current(now time.Time) int {
	if now.Sub(l.at) >= reportedLoadTTL {
		return 0
	}
	return l.requests
}

// SetReportedLoad records the load that the server reported with its answer.
//
// Hosts with few calls in flight cannot detect overload from their own calls. If
// one of three plain servers is down and calls arrive faster than the other two
// can answer, each of 72 hosts has one call in flight on them and considers them
// empty, while their queues are full and every call is late.
func (w *Work) SetReportedLoad(load ReportedLoad) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	now := time.Now()
	w.entry.reported = reportedLoad{load.Running + load.Waiting, now}
	w.table.recordCall(w, load, now)
}
