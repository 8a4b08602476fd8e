package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Guards against hosts that send a server that has started again the load of a warm one,
// because their own connections did not show it.
func TestHostsTellEachOtherOfColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		warm := Server{ID: "a", Service: "plain", Slots: 6}
		isCold := func(table *Table) bool { return table.Candidates("plain", "d")[0].SlowStart }
		asking, told, late := NewTable("h1", zap.NewNop()), NewTable("h2", zap.NewNop()), NewTable("h3", zap.NewNop())
		announced := 0
		asking.OnNews = func() { announced++ }
		asking.Put(warm)
		told.Put(warm)
		asking.ApplySelfReport(warm.Incarnation(), SelfReport{ColdKnown: true, ColdFor: 2 * time.Second})
		is.Equal(announced, 1)
		is.True(told.MergeColdServers(asking.GossipColdServers()))
		is.True(isCold(told))
		is.True(late.MergeColdServers(told.ColdServers()))
		late.Put(warm)
		is.True(isCold(late))
		time.Sleep(1900 * time.Millisecond)
		for range 10 { // news that comes back is not new
			is.True(!asking.MergeColdServers(told.GossipColdServers()))
			is.True(!told.MergeColdServers(asking.GossipColdServers()))
		}
		time.Sleep(200 * time.Millisecond)
		is.True(!isCold(asking) && !isCold(told) && !isCold(late))
		is.Equal(len(told.ColdServers()), 0)
	})
}

// Guards against gossip of servers whose entries say that they are cold.
func TestListedColdServersAreNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable("h", zap.NewNop())
		cold := Server{ID: "a", Service: "plain", Slots: 6, SlowFor: 2 * time.Second}
		table.Put(cold)
		time.Sleep(time.Second)
		table.ApplySelfReport(cold.Incarnation(), SelfReport{ColdKnown: true, ColdFor: time.Second})
		is.Equal(len(table.GossipColdServers()), 0)
	})
}
