package gatewayhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/store"
)

// Guards against hosts whose shares of what servers accept add up to more than all of it,
// while one of them is dead for a moment or has just started.
func TestSharesAddUpWhileHostsComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		f := startFleet(ctx, 3, store.NewMemory())
		counts := func() (counts []int) {
			for _, h := range f.hosts {
				counts = append(counts, h.fleet.Sharers().Count())
			}
			return counts
		}
		time.Sleep(100 * time.Millisecond)
		for _, count := range counts() {
			is.True(count >= 3) // none has met all peers yet
		}
		time.Sleep(5 * time.Second)
		is.Equal(counts(), []int{3, 3, 3})
		f.fabric.Cut("10.0.0.3", "10.0.0.1")
		f.fabric.Cut("10.0.0.3", "10.0.0.2")
		time.Sleep(10 * time.Second)
		for i := range 2 {
			present, gone := sharerNames(f.hosts[i].Members())
			is.Equal(len(present), 2)
			is.Equal(gone, []string{"h02"})
		}
		is.Equal(counts(), []int{3, 3, 3}) // it is cut off from the others, and runs
		time.Sleep(time.Minute)
		is.Equal(counts()[:2], []int{2, 2})
		stop()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// Guards against shares of a host that is suspected or stops, and still sends requests,
// being used by the others.
func TestSuspectedAndStoppingHostsShare(t *testing.T) {
	is := is.New(t)
	present, gone := sharerNames([]peer.Member{
		{Host: "a", State: peer.StateAlive}, {Host: "b", State: peer.StateSuspect}, {Host: "c", State: peer.StateLeaving}, {Host: "d", State: peer.StateGone},
	})
	is.Equal(present, []string{"a", "b", "c"})
	is.Equal(gone, []string{"d"})
}

// Guards against all hosts trying a quarantined part at once, when they start together and
// each knows only itself.
func TestStartingHostTriesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		h := newHost("a", network.New(network.Options{}).Host("10.0.0.1"), "10.0.0.1", store.NewMemory(), notLeaving, "10.0.0.2"+peerPort)
		go func() { _ = h.boot(ctx) }()
		time.Sleep(joinTimeout / 2)
		is.True(!h.quarantine.TrialHost(7))
		time.Sleep(2 * joinTimeout)
		is.True(h.quarantine.TrialHost(7)) // it is alone
		stop()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
