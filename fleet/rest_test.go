package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an allocator that keeps other hosts from a server which wants
// nothing from the allocator's own host.
func TestRestConcernsOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.Rest(Life{ID: "a"}, 2*time.Second)
		table.Rest(Life{ID: "a"}, time.Second) // an earlier word
		is.Equal(len(table.Candidates("llm", "d1")), 1)
		is.Equal(len(table.CandidatesFor(Query{Service: "llm", ForOthers: true})), 2)
		is.Equal(table.Avoided("llm"), []string{"a"})
		is.True(table.Begin("a", Work{ID: "1"}, false) == nil)
		is.Equal(table.RestLeft("llm"), time.Duration(0)) // b has a place
		table.Rest(Life{ID: "b"}, time.Second)
		is.Equal(table.RestLeft("llm"), time.Second)
		time.Sleep(2 * time.Second)
		is.Equal(len(table.Candidates("llm", "d1")), 2)
		is.True(table.Begin("a", Work{ID: "1"}, false) != nil)
	})
}
