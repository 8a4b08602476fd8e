package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against releasing reservations of runs that their engine has, may have
// or is about to receive.
func TestOnlyLostGenerationsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		begin := func(id string, copied bool) *Work { return table.Begin("a", Work{ID: id, Copied: copied}, false) }
		begin("lost", false)
		begin("runs", false)
		begin("copied", true)
		progressing, moved := begin("flows", false), begin("moved", true)
		time.Sleep(stallTimeout - time.Second)
		is.Equal(len(table.Stalled()), 0)
		progressing.Produced(1)
		time.Sleep(time.Second)
		is.Equal(len(table.Stalled()), 1)
		held := Held{Running: []string{"runs"}, Unnamed: 1}
		is.Equal(len(table.Release(Incarnation{ID: "a"}, held)), 0) // it may be the one reported without an ID
		held.Unnamed = 0
		is.Equal(len(table.Release(Incarnation{ID: "b"}, held)), 0)
		is.Equal(table.Release(Incarnation{ID: "a"}, held), []string{"lost"})
		is.Equal(len(table.Release(Incarnation{ID: "a"}, held)), 0)
		moved.Produced(4) // it continues here
		time.Sleep(stallTimeout)
		is.Equal(len(table.Release(Incarnation{ID: "a"}, held)), 2) // flows and moved
		is.Equal(table.OwnGenerations()["llm"]["a"].Requests, 2)
	})
}

// Guards against querying servers that get no work from this host.
func TestServersThatGetNoWorkAreNotQueried(t *testing.T) {
	for name, leaveAlone := range map[string]func(*Table){
		"leaves":     func(table *Table) { table.MarkLeaving(Incarnation{ID: "a"}, SourceList) },
		"evacuated":  func(table *Table) { table.SetEvacuated("d1", true) },
		"in backoff": func(table *Table) { table.SetBackoff("a", time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := newTable()
				table.Begin("a", Work{ID: "lost"}, false)
				time.Sleep(stallTimeout)
				is.Equal(len(table.Stalled()), 1)
				leaveAlone(table)
				is.Equal(len(table.Stalled()), 0)
			})
		})
	}
}
