package domain

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/peer"
)

// oneHost is a fleet of one host.
type oneHost struct {
	generation       atomic.Uint64
	storeUnreachable atomic.Bool
}

func (f *oneHost) Members() []peer.Member {
	return []peer.Member{member("a", "d", peer.StateAlive)}
}

func (f *oneHost) Generation() uint64 { return f.generation.Load() }

func (f *oneHost) SetStoreUnreachable(unreachable bool) { f.storeUnreachable.Store(unreachable) }

func TestBriefStoreSlowdownKeepsWatchers(t *testing.T) {
	// Guards against watchers replaced after one failed check, and against a
	// rejected host that is never reported and watches for its domain forever.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &oneHost{}
		var fails atomic.Bool
		var returned atomic.Int64
		duty := &WatchDuty{
			Host: "a", Fleet: fleet, Interval: time.Second, Timeout: 100 * time.Millisecond, OnStoreRecovered: func() { returned.Add(1) },
			Check: func(ctx context.Context) error {
				if fails.Load() {
					<-ctx.Done() // no answer
					return errors.New("away")
				}
				return nil
			},
		}
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = duty.Run(ctx) }()
		fails.Store(true)
		time.Sleep(1500 * time.Millisecond)
		is.True(!fleet.storeUnreachable.Load())
		time.Sleep(time.Second)
		is.True(fleet.storeUnreachable.Load())
		fails.Store(false)
		time.Sleep(1500 * time.Millisecond)
		is.True(!fleet.storeUnreachable.Load())
		is.Equal(returned.Load(), int64(1))
		stop()
		synctest.Wait()
	})
}

func TestInactiveHostDoesNotWatch(t *testing.T) {
	// Guards against a starting host that watches the store until it has
	// joined, because it is the only member in its view.
	is := is.New(t)
	fleet := &oneHost{}
	active := false
	duty := &WatchDuty{Host: "a", Fleet: fleet, Active: func() bool { return active }}
	is.True(!duty.Watches())
	active = true
	is.True(duty.Watches())
}
