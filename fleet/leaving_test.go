package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against requests to a server that reported itself as leaving, after
// its entry expired during a store outage and returned unchanged.
func TestServerThatReportedLeavingStaysLeaving(t *testing.T) {
	entry := Server{ID: "a", Born: 100, Service: "llm", Address: "10.0.0.1:1"}
	for name, lapse := range map[string]func(*Table){
		"not expired":               func(*Table) {},
		"expired":                   func(table *Table) { table.Remove("a") },
		"expired before its report": func(table *Table) { table.MarkLeaving(entry.Incarnation(), SourcePeer) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			table.Put(entry)
			for _, busy := range []bool{true, false} { // a server with work stays in the table without an entry
				work := table.Begin("a", Work{ID: "1"}, true)
				if !busy {
					work.End()
				}
				lapse(table)
				table.MarkLeaving(entry.Incarnation(), SourceAnswer)
				lapse(table)
				table.Put(entry)
				is.Equal(len(table.Candidates("llm", "d1")), 1)
				is.True(table.Begin("a", Work{ID: "2"}, false) == nil)
				work.End()
			}
			again := entry
			again.Born = 200
			table.Put(again) // it has restarted
			is.Equal(len(table.Candidates("llm", "d1")), 2)
		})
	}
}

// Guards against memory that grows with the number of servers that ever left.
func TestLeavingReportsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		for _, id := range []string{"x", "y", "z"} {
			table.Put(Server{ID: id, Service: "llm", Address: "10.0.0.9:1"})
			table.MarkLeaving(Incarnation{ID: id}, SourceAnswer)
			table.Remove(id)
			time.Sleep(leavingReportTTL)
		}
		is.True(len(table.leavingReports) <= 1)
	})
}

// Guards against a server that hosts never use again because one of them, whose view was
// older, reported it as leaving after its entry had returned, and all repeat that.
func TestPeerReportsThatTheHostListContradictsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, one, other := is.New(t), newTable(), newTable()
		entry := Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24}
		usable := func(table *Table) bool { return len(table.Candidates("llm", "d1")) == 2 }
		exchange := func() {
			for from, to := range map[*Table]*Table{one: other, other: one} {
				for _, incarnation := range from.Leaving("llm") {
					to.MarkLeaving(incarnation, SourcePeer)
				}
			}
		}
		one.MarkLeaving(entry.Incarnation(), SourcePeer)
		for range 3 {
			time.Sleep(PeerReportTTL/3 - time.Second)
			exchange()
			one.RevisePeerReports()
			is.True(!usable(one) && !usable(other))
		}
		for range 4 {
			time.Sleep(PeerReportTTL / 3)
			exchange()
			one.RevisePeerReports()
			other.RevisePeerReports()
		}
		is.True(usable(one) && usable(other))
		time.Sleep(PeerReportTTL)
		one.MarkLeaving(entry.Incarnation(), SourcePeer)
		is.True(!usable(one)) // another time
	})
}

// Guards against the revision of what this host itself knows of a leaving server that
// another host reported first.
func TestOwnKnowledgeOfLeavingIsNotRevised(t *testing.T) {
	entry := Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24}
	leaves := entry
	leaves.Leaving = true
	for name, learn := range map[string]func(*Table){
		"own report": func(table *Table) { table.MarkLeaving(entry.Incarnation(), SourceAnswer) },
		"entry":      func(table *Table) { table.Put(leaves) },
		"removed":    func(table *Table) { table.Remove("a") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, table := is.New(t), newTable()
				table.Begin("a", Work{ID: "1"}, false) // keeps it in the table
				table.MarkLeaving(entry.Incarnation(), SourcePeer)
				learn(table)
				time.Sleep(2 * PeerReportTTL)
				table.RevisePeerReports()
				is.Equal(len(table.Candidates("llm", "d1")), 1)
				is.Equal(table.Leaving("llm"), []Incarnation{{ID: "a"}})
			})
		})
	}
}
