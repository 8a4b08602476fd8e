package configuration

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

// Guards against lost documents and too frequent calls to the store during a
// long outage.
func TestWatcherThroughTwoHourOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		memory := store.NewMemory()
		acceptor, table := NewAcceptor(memory, parseTest), NewTable(parseTest)
		watcher := &replica.Follower{Store: memory, Kind: Kind, Table: table.Table}
		go func() { _ = watcher.Run(ctx) }()
		first, err := acceptor.Put(ctx, change("c1", "x", 0))
		is.NoErr(err)
		synctest.Wait()
		is.True(watcher.Reachable())
		is.Equal(table.Version(), first.Version)

		memory.SetFaults(store.Faults{Outage: true})
		before := memory.Calls()
		time.Sleep(2 * time.Hour)
		_, _, ok := table.Document("a")
		is.True(ok)
		is.True(!watcher.Reachable())
		is.True(memory.Calls()-before < 2*60*8+10) // one call every 7.5 to 15 s

		memory.SetFaults(store.Faults{})
		second, err := acceptor.Put(ctx, change("c2", "y", first.Version))
		is.NoErr(err)
		time.Sleep(15 * time.Second) // the longest backoff
		is.Equal(table.Version(), second.Version)
	})
}

func TestWatcherListsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		memory := store.NewMemory()
		memory.KeepEvents = 2
		acceptor, table := NewAcceptor(memory, parseTest), NewTable(parseTest)
		var version store.Version
		watcher := &replica.Follower{Store: memory, Kind: Kind, Table: table.Table}
		go func() { _ = watcher.Run(ctx) }()
		synctest.Wait()
		memory.SetFaults(store.Faults{Outage: true})
		synctest.Wait()
		memory.SetFaults(store.Faults{})
		for _, id := range []string{"1", "2", "3", "4", "5"} {
			result, err := acceptor.Put(ctx, change(id, id, version))
			is.NoErr(err)
			version = result.Version
		}
		time.Sleep(15 * time.Second)
		is.Equal(table.Version(), version)
	})
}

func TestInactiveWatcherMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		memory := store.NewMemory()
		watcher := &replica.Follower{Store: memory, Kind: Kind, Table: NewTable(parseTest).Table, Active: func() bool { return false }}
		go func() { _ = watcher.Run(ctx) }()
		time.Sleep(time.Hour)
		is.Equal(memory.Calls(), uint64(0))
	})
}
