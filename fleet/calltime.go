package fleet

import (
	"math"
	"time"

	"github.com/papayasail/papayasail/placement"
	"github.com/papayasail/papayasail/servicetime"
)

const (
	// loadMemory is the time in which a server's last reported load loses its relevance: the
	// expected load approaches the mean of its reports.
	loadMemory = 400 * time.Millisecond
	// meanLoadWeight is the weight of the newest report in that mean. Without reports, the
	// mean approaches zero within meanLoadMemory, so that a server which was full is tried
	// again.
	meanLoadWeight = 0.2
	meanLoadMemory = time.Second
	// usualTimeWeight is the weight of the newest call in the moving mean of the usual
	// service time of a service.
	usualTimeWeight = 0.1
	// estimateLifetime is how long the estimated service time of a server is used if there
	// is no answer.
	estimateLifetime = 500 * time.Millisecond
)

// calls is what this host's calls show about the service time and the load of one plain
// server.
type calls struct {
	times    servicetime.Learner
	estimate *servicetime.Estimate
	until    time.Time // the estimate is valid until then

	last     float64   // reported number of requests, running or waiting
	mean     float64   // moving mean of the reported numbers
	reported time.Time // last report; zero: none
}

// record records what the answer to a call shows. The usual service time of the service
// is zero if it is not known.
func (c *calls) record(s servicetime.Sample, usual time.Duration, now time.Time) {
	c.times.Record(s, usual, now)
	c.mean = c.meanAt(now)
	c.last = float64(s.Running + s.Waiting)
	c.mean += meanLoadWeight * (c.last - c.mean)
	c.reported, c.until = now, time.Time{}
}

func (c *calls) meanAt(now time.Time) float64 {
	return c.mean * math.Exp(-now.Sub(c.reported).Seconds()/meanLoadMemory.Seconds())
}

// inFlight returns the expected number of requests at the server, without those that this
// host has sent since the last report.
//
// The last report alone would make all hosts send their calls to the server that was empty
// then, and count servers as empty once their reports have expired.
func (c *calls) inFlight(now time.Time) float64 {
	if c.reported.IsZero() {
		return 0
	}
	mean := c.meanAt(now)
	return mean + (c.last-mean)*math.Exp(-now.Sub(c.reported).Seconds()/loadMemory.Seconds())
}

// recordCall records the load that a server reported with the answer to a call. Requires mu.
func (t *Table) recordCall(w *Work, load ReportedLoad, now time.Time) {
	e := w.entry
	s := t.service(e.server.Service)
	if load.Slots <= 0 {
		load.Slots = e.server.Slots
	}
	if s.memoryTokens > 0 || load.Slots <= 0 {
		return
	}
	e.calls.record(servicetime.Sample{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Percent: load.TimePercent, Took: now.Sub(w.began),
	}, s.usualTime, now)
	usual := e.calls.times.Usual()
	if s.usualTime == 0 {
		s.usualTime = usual
	}
	s.usualTime += time.Duration(usualTimeWeight * float64(usual-s.usualTime))
}

// setCallTime sets the expected service time and load of a plain server, if its service has
// any evidence of them. Requires mu.
func (t *Table) setCallTime(candidate *placement.Candidate, e *entry, s *service, now time.Time) {
	c := &e.calls
	if c.estimate == nil || !now.Before(c.until) {
		c.estimate, c.until = c.times.Estimate(e.server.Slots, s.usualTime, now), now.Add(estimateLifetime)
	}
	if candidate.Time = c.estimate; c.estimate == nil {
		return
	}
	candidate.InFlight = c.inFlight(now)
	for w := range e.work {
		if !w.began.Before(c.reported) {
			candidate.InFlight++
		}
	}
	candidate.InFlight = max(candidate.InFlight, float64(len(e.work)))
}
