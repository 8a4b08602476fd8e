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

// Guards against accepted changes that revert, or are lost for hosts that start later,
// because the store came back from an older copy.
func TestAcceptedChangesSurviveAnOlderCopyOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		memory := store.NewMemory()
		acceptor := NewAcceptor(memory, parseTest)
		first, err := acceptor.Put(ctx, change("c1", "one", 0))
		is.NoErr(err)
		older := memory.Copy()
		second, err := acceptor.Put(ctx, change("c2", "two", first.Version))
		is.NoErr(err)
		drain, err := acceptor.Drain(ctx, "10.0.0.1:1", false, "d1", "olga")
		is.NoErr(err)
		is.True(drain.Version > second.Version)

		table := NewTable(parseTest)
		follower := &replica.Follower{Store: memory, Kind: Kind, Table: table.Table, WriteBack: true}
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(time.Second)
		before, _, found := table.Source("a")
		is.True(found)
		memory.Restore(older)
		for range 10 {
			time.Sleep(time.Second)
			now, _, found := table.Source("a")
			is.True(found)
			is.Equal(now, before)
			is.True(table.Drained("10.0.0.1:1"))
		}
		started := NewTable(parseTest)
		is.NoErr((&replica.Follower{Store: memory, Kind: Kind, Table: started.Table}).Refresh(ctx))
		now, version, _ := started.Source("a")
		is.Equal(now, before)
		is.Equal(version.Era(), uint64(1))
		third, err := acceptor.Put(ctx, change("c3", "three", version)) // operators go on from there
		is.NoErr(err)
		is.Equal(third.Outcome, Accepted)
		stop()
	})
}
