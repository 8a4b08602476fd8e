package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

// stalledWatchStore is a store whose watches of one kind deliver no changes.
type stalledWatchStore struct {
	*store.Memory
	mu      sync.Mutex // guards stalled
	stalled string
}

func (s *stalledWatchStore) Watch(ctx context.Context, kind string, after store.Version) ([]store.Object, store.Version, error) {
	s.mu.Lock()
	stalled := s.stalled == kind
	s.mu.Unlock()
	if stalled {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.Memory.Watch(ctx, kind, after)
}

func (s *stalledWatchStore) stall(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = kind
}

// Guards against a change that a watch missed before the history was compacted,
// and that no later change of its kind reveals.
func TestQuietKindIsListedAgainAfterACompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := &stalledWatchStore{Memory: store.NewMemory(), stalled: "configuration"}
		table := New(func(store.Object) error { return nil })
		configuration := &Follower{Store: memory, Kind: "configuration", Table: table}
		servers := &Follower{Store: memory, Kind: "servers", Table: table}
		configuration.OnCompacted, servers.OnCompacted = servers.Relist, configuration.Relist
		running, stop := context.WithCancel(ctx)
		go func() { _ = configuration.Run(running) }()
		go func() { _ = servers.Run(running) }()
		time.Sleep(time.Second)
		version, err := memory.Put(ctx, "configuration", "main", []byte("1"), 0)
		is.NoErr(err)
		time.Sleep(time.Second)
		is.True(table.Version() < version) // no watch delivered it
		memory.stall("")
		servers.OnCompacted() // as when the servers' watch returns ErrCompacted
		time.Sleep(time.Second)
		is.Equal(table.Version(), version)
		stop()
		synctest.Wait()
	})
}

// compactingStore answers every watch with ErrCompacted.
type compactingStore struct {
	store.Store
	lists atomic.Int64
	stop  func()
}

func (s *compactingStore) List(ctx context.Context, kind string) ([]store.Object, store.Version, error) {
	if s.lists.Add(1) == 1000 {
		s.stop()
	}
	return s.Store.List(ctx, kind)
}

func (s *compactingStore) Watch(context.Context, string, store.Version) ([]store.Object, store.Version, error) {
	return nil, 0, store.ErrCompacted
}

// Guards against a store that is listed without a pause while its watches keep ending.
func TestWatchesThatKeepEndingBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		s := &compactingStore{Store: store.NewMemory(), stop: stop}
		f := &Follower{Store: s, Kind: "k", Table: New(func(store.Object) error { return nil })}
		_ = f.Run(ctx)
		t.Logf("%d lists", s.lists.Load())
		is.True(s.lists.Load() < 100)
	})
}
