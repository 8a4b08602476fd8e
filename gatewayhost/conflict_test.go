package gatewayhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/store"
)

// Guards against a server that this host never uses because it started on another writer's
// entry, and against belief in an entry that stood only because the store was away.
func TestServersOwnEntryAfterAnotherWriters(t *testing.T) {
	for name, outage := range map[string]bool{"calm": false, "outage of the store": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h, memory := standaloneHost(notLeaving)
				ctx, stop := context.WithCancel(t.Context())
				go func() { _ = h.views.Run(ctx) }()
				apply := func(text string) {
					is.NoErr(h.applyServer(store.Object{Kind: kindOfServers, Name: "i-1", Value: []byte(text)}))
				}
				usable := func() bool { return h.fleet.Begin("i-1", fleet.Work{ID: "1"}, false) != nil }
				time.Sleep(time.Second)
				apply("of another service")
				apply("ready")
				if outage {
					memory.SetFaults(store.Faults{Outage: true})
					time.Sleep(3 * time.Second)
					memory.SetFaults(store.Faults{})
				}
				time.Sleep(conflictTime - time.Second)
				apply("ready") // its next write
				is.True(!usable())
				time.Sleep(2 * conflictTime)
				is.True(usable())
				apply("of another service")
				time.Sleep(time.Second)
				is.True(!usable())
				apply("ready")
				time.Sleep(2 * conflictTime)
				is.True(usable())
				is.Equal(len(h.fleet.Candidates("other", "d")), 0)
				stop()
				time.Sleep(2 * conflictTime)
				synctest.Wait()
			})
		})
	}
}
