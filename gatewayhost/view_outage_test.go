package gatewayhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

// Guards against a failure domain that misses changes because the store turns all its hosts away.
func TestChangesArriveInADomainThatTheStoreTurnsAway(t *testing.T) {
	for _, mode := range []int32{storeRefuses, storeSilent} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(t.Context())
			f := startViewFleet(ctx, is, 30, 3)
			time.Sleep(6 * time.Second)
			for i := range f.hosts {
				if i%3 == 0 {
					f.stores[i].turn(mode)
				}
			}
			f.checkChanges(t, is, f.others(nil))
			f.end(stop)
		})
	}
}

// Guards against all hosts of a fleet asking a store that is down, and against hosts that learn late
// that it is back.
func TestFewHostsAskAStoreThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		const hosts, domains = 120, 3
		f := startViewFleet(ctx, is, hosts, domains)
		time.Sleep(6 * time.Second)
		f.memory.SetFaults(store.Faults{Outage: true})
		time.Sleep(time.Second)
		before := f.reads.Load()
		const outage = 10 * time.Second
		time.Sleep(outage)
		perSecond := float64(f.reads.Load()-before) / outage.Seconds()
		t.Logf("%.1f reads a second", perSecond)
		is.True(perSecond < hosts) // one in a second for each host is what all of them would make at the least
		f.memory.SetFaults(store.Faults{})
		time.Sleep(operatorBound + entryRecoveryTime) // missing entries are believed after that
		f.checkChanges(t, is, f.others(nil))
		f.end(stop)
	})
}
