// Package moment stores the time of an event for concurrent use.
package moment

import (
	"math"
	"sync/atomic"
	"time"
)

// Never is the age of an event that has not occurred.
const Never = time.Duration(math.MaxInt64)

// Moment is the time of the latest event of a kind. Its age is based on the
// monotonic clock, so that a change of the wall clock has no effect. The zero
// value means that no event has occurred.
type Moment struct {
	at atomic.Pointer[time.Time]
}

// Mark records that the event occurred at the given time.
func (m *Moment) Mark(at time.Time) { m.at.Store(&at) }

// Age returns the time since the event, or Never if it has not occurred.
func (m *Moment) Age() time.Duration {
	at := m.at.Load()
	if at == nil {
		return Never
	}
	return time.Since(*at)
}
