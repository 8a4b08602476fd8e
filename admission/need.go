package admission

import (
	"time"

	"github.com/papayasail/papayasail/placement"
)

// NeedAt returns what a waiter needs if it is placed now.
//
// One that can be on time is placed only where its first event is expected in time, a
// late one only where it comes before its caller gives up. One that has used half of the
// time that it has for waiting on time is pressed.
func (w *Waiter[T]) NeedAt(now time.Time, late bool) placement.Need {
	need := w.Need
	need.Late = late
	left := w.HoldUntil.Sub(now)
	if !late {
		left = w.OnTimeUntil.Sub(now)
		need.Pressed = now.Sub(w.Attempted) > left
	}
	need.FirstEventIn = max(1, left+placement.PrefillTime(need))
	return need
}
