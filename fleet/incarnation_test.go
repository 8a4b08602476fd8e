package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func serverBorn(born int64) Server {
	return Server{ID: "a", Born: born, Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24}
}

// Guards against state of a server that is kept after it crashed and restarted under the same ID.
func TestServerThatStartsAgainUnderItsID(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Put(serverBorn(100))
	lost := table.Begin("a", Work{ID: "1", PromptTokens: 3000, OutputTokens: 400}, false)
	for range 10 {
		lost.Outcome(true)
	}
	table.SetOthers("h2", "llm", map[string]Load{"a": {Requests: 9, HeldTokens: 30000, Born: 100}}, Share{})
	table.MarkLeaving(Incarnation{"a", 100}, SourceAnswer)
	table.Put(serverBorn(100))
	is.NoErr(lost.Context().Err()) // the same incarnation again
	table.Put(serverBorn(200))
	is.True(lost.Context().Err() != nil)
	select {
	case <-lost.Gone():
	default:
		t.Fatal("the work on it was not notified")
	}
	is.True(table.Superseded(Incarnation{"a", 100}))
	c := table.Candidates("llm", "d1")
	is.Equal(len(c), 2)
	for i := range c {
		is.Equal(c[i].Running, 0)
		is.Equal(c[i].HeldTokens, 0)
		is.True(!c[i].Doubtful)
	}
	lost.End() // of the earlier incarnation: the later one stays in the table
	is.Equal(len(table.Candidates("llm", "d1")), 2)
}

// Guards against applying other hosts' reports on an earlier incarnation to the current one.
func TestReportsOnEarlierIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Put(serverBorn(200))
	table.SetOthers("h2", "llm", map[string]Load{"a": {Requests: 9, HeldTokens: 30000, Born: 100}}, Share{})
	table.ApplyOutcomes("h2", "a", Evidence{Failed: 1, Born: 100})
	table.ApplyOutcomes("h3", "a", Evidence{Failed: 1, Born: 100})
	table.MarkLeaving(Incarnation{"a", 100}, SourcePeer)
	c := table.Candidates("llm", "d1")
	is.Equal(len(c), 2)
	is.Equal(c[0].HeldTokens+c[1].HeldTokens, 0)
	table.SetOthers("h2", "llm", map[string]Load{"a": {Requests: 1, HeldTokens: 3000}}, Share{}) // a report without a start time counts
	table.MarkLeaving(Incarnation{"a", 200}, SourcePeer)
	is.Equal(len(table.Candidates("llm", "d1")), 1)
	is.Equal(table.Leaving("llm"), []Incarnation{{"a", 200}})
}

func TestInvalidEntryMakesServerUnusable(t *testing.T) {
	// Somebody else overwrites an engine's entry. Nothing new is sent to the engine, its running
	// generation continues, and a valid entry makes it usable again.
	is := is.New(t)
	table := newTable()
	work := table.Begin("a", Work{ID: "1"}, false)
	table.MarkInvalid("a")
	table.MarkInvalid("unknown")
	is.Equal(len(table.Candidates("llm", "d1")), 1)
	is.True(table.Begin("a", Work{ID: "2"}, false) == nil)
	is.Equal(len(table.Usable("llm")), 1)
	select {
	case <-work.Gone():
		t.Fatal("the run was moved off a live engine")
	default:
	}
	table.Put(Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24})
	is.Equal(len(table.Candidates("llm", "d1")), 2)
}

// Guards against an entry that assigns a running server to another service or address.
func TestEntryWithOtherServiceOrAddressIsInvalid(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Put(serverBorn(100))
	for _, change := range []func(*Server){
		func(s *Server) { s.Service = "plain" },
		func(s *Server) { s.Address = "10.0.0.9:1" },
	} {
		moved := serverBorn(100)
		change(&moved)
		table.Put(moved)
		is.Equal(len(table.Candidates("plain", "d1")), 0)
		is.Equal(len(table.Candidates("llm", "d1")), 1)
		table.Put(serverBorn(100))
		is.Equal(len(table.Candidates("llm", "d1")), 2)
	}
	later := serverBorn(200)
	later.Address = "10.0.0.9:1"
	table.Put(later)
	is.Equal(len(table.Candidates("llm", "d1")), 2)
}

// Guards against a server that is unusable because the first entry that this host saw was
// another writer's, and against use of a server by such an entry.
func TestEntryThatStandsIsTheServersOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stood = 5 * time.Second
		is, table := is.New(t), newTable()
		own := Server{ID: "c", Born: 100, Service: "llm", Address: "10.0.0.3:1", Domain: "d1", Slots: 24}
		others := own
		others.Service = "app"
		usable := func() bool { return table.Begin("c", Work{ID: "1"}, false) != nil }
		is.True(!table.Put(others))
		is.True(table.Put(own))
		is.True(!table.Put(own)) // reported once
		is.True(!usable())
		table.ResolveConflict(own, stood)
		is.True(!usable()) // too early
		time.Sleep(stood)
		table.ResolveConflict(own, stood)
		is.True(usable())
		is.Equal(len(table.Candidates("llm", "d1")), 3)
		is.Equal(len(table.Candidates("app", "d1")), 0)
		is.Equal(len(table.Leaving("app")), 0) // other hosts must not be told that it leaves
		service, _ := table.ServiceAt(own.Address)
		is.Equal(service, "llm")

		is.True(table.Put(others))
		time.Sleep(stood)
		is.True(!table.Put(own)) // the server has written again
		is.True(usable())
		is.True(table.Put(others))
		table.ResolveConflict(others, stood) // of the first time
		is.Equal(len(table.Candidates("app", "d1")), 0)
		table.MarkInvalid("c")
		time.Sleep(stood)
		table.ResolveConflict(others, stood)
		is.Equal(len(table.Candidates("app", "d1")), 0)
	})
}
