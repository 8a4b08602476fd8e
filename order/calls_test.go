package order

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

// watchersInFleet is the number of hosts that watch the store: two for each of ten
// failure domains, twice as many as domain.Watchers chooses.
const watchersInFleet = 20

// Guards against a stampede of store calls that overloads the store after an outage.
// All hosts contend for the lease (worst case); -v prints the call rates when nothing
// changes, through an outage and at its end. They are in virtual time and the same on
// any machine except for the jitter.
func TestCallsOfAFleet(t *testing.T) {
	for _, hosts := range []int{7, 25, 50, 100, 390} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			defer w.close()
			w.addEngine("w1", true)
			for i := range hosts {
				w.addHost(fmt.Sprintf("h%03d", i), "north", i < watchersInFleet)
				time.Sleep(100 * time.Millisecond) // staggered start
			}
			time.Sleep(time.Minute)
			idle := w.rate(10 * time.Minute)
			w.memory.SetFaults(store.Faults{Outage: true})
			time.Sleep(10 * time.Minute)
			away := w.rate(10 * time.Minute)
			w.memory.SetFaults(store.Faults{})
			peak := 0.0
			for range 30 {
				peak = max(peak, w.rate(time.Second))
			}
			t.Logf("%3d hosts: %.2f calls/s idle, %.2f in an outage, at most %.0f in a second after it", hosts, idle, away, peak)
			const storeReads = 2000 // a second
			is.True(idle < storeReads/10)
			is.True(peak < storeReads/10)
		})
	}
}

// rate returns the calls per second that reach the store during d.
func (w *world) rate(d time.Duration) float64 {
	before := w.memory.Calls()
	time.Sleep(d)
	return float64(w.memory.Calls()-before) / d.Seconds()
}
