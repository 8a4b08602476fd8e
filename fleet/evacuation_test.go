package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against requests, second tries and moves into a failure domain that is evacuated.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	is := is.New(t)
	table := newTable()
	work := table.Begin("a", Work{ID: "1"}, false)
	table.SetEvacuated("d1", true)
	is.Equal(ids(table.Candidates("llm", "d1")), []string{"b"})
	is.True(table.Begin("a", Work{ID: "2"}, false) == nil)
	is.True(table.Begin("a", Work{ID: "1"}, true) == nil) // a run that is taken up again
	_, usable := table.Get("a")
	is.True(!usable)
	is.Equal(len(table.Usable("llm")), 2) // it is still asked whether it leaves
	select {
	case <-work.Gone():
		t.Fatal("what runs there may end there")
	default:
	}
	table.Put(Server{ID: "c", Service: "llm", Address: "10.0.0.3:1", Domain: "d1", Slots: 24})
	is.Equal(ids(table.Candidates("llm", "d1")), []string{"b"}) // one that is added meanwhile
	table.SetEvacuated("d1", false)
	is.Equal(ids(table.Candidates("llm", "d1")), []string{"a", "b", "c"})
}

// Guards against callers that wait for a place while all failure domains are evacuated.
func TestAllDomainsEvacuated(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.SetEvacuated("d1", true)
	table.SetEvacuated("nowhere", true)
	is.True(!table.EvacuatedOnly("llm"))
	table.SetEvacuated("d2", true)
	is.True(table.EvacuatedOnly("llm"))
	is.True(!table.EvacuatedOnly("plain")) // has no servers at all
	is.Equal(len(table.Candidates("llm", "d1")), 0)
	table.SetEvacuated("d2", false)
	is.True(!table.EvacuatedOnly("llm"))
}

func TestReturnedDomainCountsAsCold(t *testing.T) {
	// A domain is given back with cold servers. Their entries say so two
	// seconds later, when they have crashed under what waited everywhere.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.SetColdRate("llm", 5)
		table.SetEvacuated("d1", true)
		table.SetEvacuated("d1", false)
		for i := range 5 {
			is.True(!candidate(table, "a", 1).ColdFull)
			table.Begin("a", Work{ID: fmt.Sprint(i)}, false).End()
		}
		is.True(candidate(table, "a", 1).ColdFull)
		is.True(!candidate(table, "b", 1).ColdFull)
		time.Sleep(coldWindow + time.Millisecond)
		is.True(!candidate(table, "a", 1).ColdFull)
		table.Put(Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24}) // an older word of it
		is.True(candidate(table, "a", 1).Slow)
		time.Sleep(returnedCold)
		for i := range 20 {
			table.Begin("a", Work{ID: fmt.Sprint(i)}, false)
		}
		is.True(!candidate(table, "a", 1).ColdFull)
	})
}
