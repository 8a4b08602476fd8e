package gatewayhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/store"
)

// Guards against slots that stay reserved for generations whose connections have
// become silent and that the engine no longer has.
func TestSlotsOfLostGenerationsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := servers{queryLeaving: notLeaving, held: fleet.Held{Running: []string{"runs"}}}
		h := newHostWith(engine, "a", network.New(network.Options{}).Host("10.0.0.1"), "10.0.0.1", store.NewMemory())
		h.fleet.SetMemory("s", 1000)
		h.fleet.Put(fleet.Server{ID: "i-1", Service: "s", Address: "10.9.9.9:1", Domain: "d", Slots: 2})
		for _, id := range []string{"runs", "lost"} {
			is.True(h.fleet.Begin("i-1", fleet.Work{ID: id}, false) != nil)
		}
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = h.releaseLostGenerations(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		is.Equal(h.fleet.OwnGenerations()["s"]["i-1"].Requests, 2)
		time.Sleep(2 * time.Second)
		is.Equal(h.fleet.OwnGenerations()["s"]["i-1"].Requests, 1)
		stop()
		synctest.Wait()
	})
}
