package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an allocator that applies its own host's backoff at a server to other hosts.
func TestRestConcernsOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.SetBackoff("a", 2*time.Second)
		table.SetBackoff("a", time.Second) // a shorter time does not replace a longer one
		is.Equal(len(table.Candidates("llm", "d1")), 1)
		is.Equal(len(table.CandidatesFor(Query{Service: "llm", ForOthers: true})), 2)
		is.Equal(table.Avoided("llm"), []string{"a"})
		is.True(table.Begin("a", Work{ID: "1"}, false) == nil)
		is.Equal(table.AcceptsIn("llm", nil), time.Duration(0)) // b has no backoff
		table.SetBackoff("b", time.Second)
		is.Equal(table.AcceptsIn("llm", nil), time.Second)
		is.Equal(table.AcceptsIn("llm", []string{}), time.Duration(0)) // no server
		time.Sleep(2 * time.Second)
		is.Equal(len(table.Candidates("llm", "d1")), 2)
		is.True(table.Begin("a", Work{ID: "1"}, false) != nil)
	})
}

// Guards against requests sent before the end of a backoff because the server
// restarted or lost its host list entry in the meantime.
func TestBackoffSurvivesRestartAndEntryExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		for _, born := range []int64{100, 200, 300} {
			table.Put(Server{ID: "a", Born: born, Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24})
			if born == 100 {
				table.SetBackoff("a", 2*time.Second)
			}
			is.True(table.Begin("a", Work{ID: "1"}, false) == nil)
			table.Remove("a") // its host list entry expires
		}
		table.Put(Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24})
		is.True(table.Begin("a", Work{ID: "1"}, false) == nil)
		time.Sleep(2 * time.Second)
		is.True(table.Begin("a", Work{ID: "1"}, false) != nil)
	})
}
