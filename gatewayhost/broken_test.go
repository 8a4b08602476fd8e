package gatewayhost

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/store"
)

// Guards against overload of a server that restarted cold during a store outage,
// when its entry cannot report that it is cold.
func TestBrokenConnectionTriggersColdQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var onBroken func(string)
		var asked atomic.Int32
		leaving := false
		answers := func(string) (bool, error) {
			if asked.Add(1) == 1 {
				return false, errors.New("server is still starting")
			}
			return leaving, nil
		}
		backend := servers{queryLeaving: answers, coldFor: 10 * time.Second, onBroken: &onBroken}
		h := newHostWith(backend, "a", network.New(network.Options{}).Host("10.0.0.1"), "10.0.0.1", store.NewMemory())
		h.fleet.Put(fleet.Server{ID: "i-1", Service: "s", Address: "10.9.9.9:1", Domain: "d", Slots: 2})
		full := func() bool {
			return h.fleet.CandidatesFor(fleet.Query{Service: "s", Domain: "d", ColdShare: 0.001})[0].AtColdLimit
		}
		onBroken("10.9.9.9:1")
		time.Sleep(time.Second)
		is.Equal(asked.Load(), int32(0)) // cold servers of the service have no admission limit
		h.fleet.SetColdRate("s", 1)
		onBroken("10.9.9.9:1")
		onBroken("10.9.9.9:1")
		time.Sleep(2 * time.Second)
		is.Equal(asked.Load(), int32(2))
		is.True(full())
		leaving = true
		onBroken("10.9.9.9:1")
		time.Sleep(time.Second)
		_, usable := h.fleet.Get("i-1")
		is.True(!usable) // the answer also reported that it is leaving
	})
}

// Guards against a starting host that refuses calls for a warm server, because it counts the
// cold time of the server's entry from its own first read.
func TestStartingHostAsksWhetherListedServersAreCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := store.NewMemory()
		_, err := memory.Put(t.Context(), kindOfServers, "i-1", []byte("cold"), 0)
		is.NoErr(err)
		h, _ := standaloneHost(notLeaving)
		h.options.Store = checkedStore{memory}
		h.fleet.SetColdRate("s", 1)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = h.boot(ctx) }()
		time.Sleep(100 * time.Millisecond)
		is.True(!h.fleet.Candidates("s", "d")[0].SlowStart)
		stop()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// Guards against a server that has started again and gets the load of a warm one until it
// answers the query.
func TestServerCountsAsColdUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var onBroken func(string)
		var answers atomic.Bool
		backend := servers{onBroken: &onBroken, queryLeaving: func(string) (bool, error) {
			if !answers.Load() {
				return false, errors.New("starting")
			}
			return false, nil
		}}
		h := newHostWith(backend, "a", network.New(network.Options{}).Host("10.0.0.1"), "10.0.0.1", store.NewMemory())
		h.fleet.SetColdRate("s", 1)
		h.table.Adopt(serverEntry(5, false))
		isCold := func() bool { return h.fleet.Candidates("s", "d")[0].SlowStart }
		is.True(!isCold())
		onBroken("10.9.9.9:1")
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			is.True(isCold())
		}
		answers.Store(true)
		time.Sleep(2 * coldQueryInterval)
		is.True(!isCold()) // it has reported that it is warm
		time.Sleep(time.Minute)
	})
}
