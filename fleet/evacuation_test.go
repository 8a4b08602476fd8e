package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against new, retried and moved requests in an evacuated failure domain.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	is := is.New(t)
	table := newTable()
	work := table.Begin("a", Work{ID: "1"}, false)
	table.SetEvacuated("d1", true)
	is.Equal(ids(table.Candidates("llm", "d1")), []string{"b"})
	is.True(table.Begin("a", Work{ID: "2"}, false) == nil)
	is.True(table.Begin("a", Work{ID: "1"}, true) == nil) // a resumed run
	_, usable := table.Get("a")
	is.True(!usable)
	is.Equal(len(table.Usable("llm")), 2) // it is still queried for whether it is leaving
	select {
	case <-work.Gone():
		t.Fatal("running work must not be moved off")
	default:
	}
	table.Put(Server{ID: "c", Service: "llm", Address: "10.0.0.3:1", Domain: "d1", Slots: 24})
	is.Equal(ids(table.Candidates("llm", "d1")), []string{"b"}) // also a server added during the evacuation
	table.SetEvacuated("d1", false)
	is.Equal(ids(table.Candidates("llm", "d1")), []string{"a", "b", "c"})
}

// Guards against callers that wait in the queue while all failure domains are evacuated.
func TestAllDomainsEvacuated(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.SetEvacuated("d1", true)
	table.SetEvacuated("nowhere", true)
	is.True(!table.EvacuatedOnly("llm", nil))
	table.SetEvacuated("d2", true)
	is.True(table.EvacuatedOnly("llm", nil))
	is.True(!table.EvacuatedOnly("plain", nil)) // has no servers
	is.Equal(len(table.Candidates("llm", "d1")), 0)
	table.SetEvacuated("d2", false)
	is.True(!table.EvacuatedOnly("llm", nil))
}

func TestReturnedDomainCountsAsCold(t *testing.T) {
	// Guards against cold servers of a restored domain that crash under all waiting requests, as
	// their host list entries show them as cold only two seconds later.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.SetColdRate("llm", 5)
		table.SetEvacuated("d1", true)
		table.SetEvacuated("d1", false)
		for i := range 5 {
			is.True(!candidate(table, "a", 1).AtColdLimit)
			table.Begin("a", Work{ID: fmt.Sprint(i)}, false).End()
		}
		is.True(candidate(table, "a", 1).AtColdLimit)
		is.True(!candidate(table, "b", 1).AtColdLimit)
		time.Sleep(coldWindow + time.Millisecond)
		is.True(!candidate(table, "a", 1).AtColdLimit)
		table.Put(Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24}) // a stale entry
		is.True(candidate(table, "a", 1).SlowStart)
		time.Sleep(returnedCold)
		for i := range 20 {
			table.Begin("a", Work{ID: fmt.Sprint(i)}, false)
		}
		is.True(!candidate(table, "a", 1).AtColdLimit)
	})
}
