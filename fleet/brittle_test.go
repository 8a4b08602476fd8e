package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/placement"
)

// hostNames returns the names of n hosts, "h" among them.
func hostNames(n int) []string {
	names := []string{"h"}
	for i := 1; i < n; i++ {
		names = append(names, fmt.Sprint("h", i))
	}
	return names
}

// Guards against an overtaken answer that ends what a later one said, and against a
// server that is back after a failure and gets the load of a sound one.
func TestBrittlenessIsThatOfTheNewestAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable("h", zap.NewNop())
		table.SetHosts(hostNames(2))
		for _, id := range []string{"a", "b"} {
			table.Put(Server{ID: id, Service: "plain", Slots: 6})
		}
		said := Brittleness{Brittle: true, RejectsPerSecond: 4}
		sent := time.Now()
		time.Sleep(time.Second)
		table.SetBrittleness("a", said, time.Now())
		table.SetBrittleness("a", Brittleness{}, sent) // overtaken
		for _, c := range table.CandidatesFor(Query{Service: "plain"}) {
			is.True(c.QueueLimited) // b has said nothing yet
			is.Equal(c.QueueLimit, 2)
		}
		time.Sleep(time.Second)
		table.SetBrittleness("b", Brittleness{}, time.Now())
		for _, c := range table.CandidatesFor(Query{Service: "plain"}) {
			is.Equal(c.QueueLimited, c.ID == "a") // each server speaks for itself
		}
	})
}

// Guards against hosts that together make a brittle server reject more than it bears, and
// against pauses that outlast the server's need.
func TestPauseAfterRejectionOfBrittleServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable("h", zap.NewNop())
		table.SetHosts(hostNames(10))
		table.Put(Server{ID: "a", Service: "plain", Slots: 6})
		table.RecordRejection("a") // not brittle
		is.Equal(table.AcceptsIn("plain", nil), time.Duration(0))
		table.SetBrittleness("a", Brittleness{Brittle: true, RejectsPerSecond: 4}, time.Now())
		table.RecordRejection("a")
		is.Equal(table.AcceptsIn("plain", nil), 5*time.Second) // ten hosts cause two rejections a second
		is.True(table.Begin("a", Work{ID: "1"}, false) == nil)
		is.Equal(len(table.Candidates("plain", "d")), 0)
		time.Sleep(time.Second)
		table.SetBrittleness("a", Brittleness{}, time.Now())
		is.Equal(table.AcceptsIn("plain", nil), time.Duration(0))
		table.SetBrittleness("a", Brittleness{Brittle: true}, time.Now())
		table.RecordRejection("a") // bears none
		is.Equal(table.AcceptsIn("plain", nil), maxRejectionPause)
	})
}

// Guards against a server that keeps the share of a brittle one, because its service was
// brittle before its own first answer.
func TestShareOfCallsEndsWithTheServicesBrittleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable("h", zap.NewNop())
		table.SetHosts(hostNames(40))
		for _, id := range []string{"a", "b"} {
			table.Put(Server{ID: id, Service: "plain", Slots: 6})
		}
		table.SetBrittleness("a", Brittleness{Brittle: true}, time.Now())
		call := table.Begin("b", Work{ID: "0"}, false)
		time.Sleep(time.Second)
		call.Outcome(false)
		call.End()
		table.CandidatesFor(Query{Service: "plain"})
		is.True(table.Begin("b", Work{ID: "1"}, false) != nil)
		is.True(table.Begin("b", Work{ID: "2"}, false) == nil) // more hosts than places
		table.SetBrittleness("a", Brittleness{}, time.Now())
		table.SetBrittleness("b", Brittleness{}, time.Now())
		is.True(table.Begin("b", Work{ID: "3"}, false) != nil)
	})
}

// Guards against a host that starts, or has been idle, and sends a burst to servers of
// which it does not know that they are brittle.
func TestServersCountAsBrittleBeforeTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable("h", zap.NewNop())
		table.SetHosts(hostNames(4))
		table.SetMemory("llm", 1000)
		table.Put(Server{ID: "a", Service: "plain", Slots: 24})
		table.Put(Server{ID: "e", Service: "llm", Slots: 24})
		sent := func() (count int) {
			var running []*Work
			for {
				c := table.CandidatesFor(Query{Service: "plain"})[0]
				if placement.Pick(placement.Need{}, []placement.Candidate{c}, placement.DefaultLimits, func(int) int { return 0 }) < 0 {
					break
				}
				running = append(running, table.Begin("a", Work{}, false))
			}
			for _, w := range running {
				w.End()
			}
			return len(running)
		}
		is.Equal(sent(), 6) // a quarter of the slots
		is.True(!table.CandidatesFor(Query{Service: "llm"})[0].QueueLimited)
		table.SetBrittleness("a", Brittleness{}, time.Now())
		is.True(sent() > 24)
		time.Sleep(answerLifetime + time.Second)
		is.Equal(sent(), 6)
		w := table.Begin("a", Work{}, false)
		w.Outcome(false)
		w.End()
		is.True(sent() > 24) // an answer that says nothing of brittleness
	})
}
