// Package moment keeps the time of an event for concurrent readers.
package moment

import (
	"math"
	"sync/atomic"
	"time"
)

// Never is the age of a moment that has not come.
const Never = time.Duration(math.MaxInt64)

// Moment is the time of the newest event of a kind. It counts by the steady
// clock, so that a change of the time of day does not age it. The zero value
// has not come.
type Moment struct {
	at atomic.Pointer[time.Time]
}

// Mark notes that the event came at a time.
func (m *Moment) Mark(at time.Time) { m.at.Store(&at) }

// Age returns how long ago the event came, or Never.
func (m *Moment) Age() time.Duration {
	at := m.at.Load()
	if at == nil {
		return Never
	}
	return time.Since(*at)
}
