package placement

import "time"

const (
	// waitShare is the share of the time left after its service that a call may wait at a
	// plain server. It is low because other hosts send calls to the server before this host
	// learns of them.
	waitShare = 0.3
	// pressedQueue is how many calls may wait at a plain server, as a multiple of its slots,
	// after a late call that will soon be refused. More would make others late.
	pressedQueue = 0.5
	// lateMargin is how many times the expected time a late call needs to have left. The
	// server may have got calls of other hosts since it reported its load.
	lateMargin = 5
)

// byTime reports whether the plain server is chosen by the expected end of the call.
func (c *Candidate) byTime(limits Limits) bool { return c.Time != nil && !limits.IgnoreCallTimes }

// endsLate reports whether a call would have to wait at the plain server and would probably
// not end in time. If even the usual service time is too long, the wait is not limited.
func (c *Candidate) endsLate(need Need, limits Limits) bool {
	if need.Late && c.byTime(limits) {
		return !c.hasRoomForLate(need)
	}
	if !c.byTime(limits) || c.InFlight < float64(c.Slots) || need.Within <= c.Time.Usual() {
		return false
	}
	service := c.Time.Time(c.Slots)
	wait := c.Time.End(c.InFlight) - service
	return wait > time.Duration(waitShare*float64(need.Within-service))
}

// hasRoomForLate reports whether a call that can only be late gets a place at the plain
// server: one that other calls do not need to be on time. A pressed call may also wait for
// its turn.
func (c *Candidate) hasRoomForLate(need Need) bool {
	room := float64(c.Time.Best())
	if need.Pressed {
		room += pressedQueue * float64(c.Slots)
	}
	return c.InFlight+1 <= room && lateMargin*c.Time.End(c.InFlight) <= need.Within
}

// slowsDown reports whether the plain server already runs the number of requests with which
// it completes the most per second, and would complete fewer with the call.
func (c *Candidate) slowsDown(limits Limits) bool {
	return c.byTime(limits) && c.Time.Best() < c.Slots && c.InFlight+1 > float64(c.Time.Best())
}

// places returns how many requests a plain server may have, running or queued.
func (c *Candidate) places(limits Limits) float64 {
	queue := float64(c.Slots) * limits.QueuePerSlot
	if c.QueueLimited {
		queue = min(queue, float64(c.QueueLimit))
	}
	return float64(c.Slots) + queue
}
