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

// Guards against a cold server that crashes as hosts which cannot ask each other all choose it.
func TestHostsShareWhatAColdServerBears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts, rate = 72, 25.0
		sent := 0
		for i := range hosts {
			table := NewTable(fmt.Sprintf("h%d", i), zap.NewNop())
			table.SetMemory("llm", 34000)
			table.SetColdRate("llm", rate)
			table.Put(Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24, SlowFor: time.Second})
			for range 3 {
				if !candidate(table, "a", 1.0/hosts).ColdFull {
					table.Begin("a", Work{}, false)
					sent++
				}
			}
		}
		t.Logf("%d requests", sent)
		is.True(sent > 0 && sent <= 37) // 25 with what hashes of 72 hosts differ, below the 42 that are allowed
	})
}

func TestOwnWordOnBeingCold(t *testing.T) {
	// A server becomes cold in the middle of its life, while the store is away.
	// It says so in its answers on health; an absurd word changes little.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.NoteCold(Life{ID: "a"}, 2*time.Second)
		table.NoteCold(Life{ID: "nobody"}, time.Second)
		is.True(candidate(table, "a", 1).Slow)
		table.NoteCold(Life{ID: "a"}, time.Second) // an older word does not shorten it
		time.Sleep(1500 * time.Millisecond)
		is.True(candidate(table, "a", 1).Slow)
		time.Sleep(time.Second)
		is.True(!candidate(table, "a", 1).Slow)
		table.NoteCold(Life{ID: "a"}, 1<<62)
		time.Sleep(mostCold + time.Millisecond)
		is.True(!candidate(table, "a", 1).Slow)
	})
}

func candidate(table *Table, id string, coldShare float64) placement.Candidate {
	only := func(s Server) bool { return s.ID == id }
	return table.CandidatesFor(Query{Service: "llm", Domain: "d1", Among: only, ColdShare: coldShare})[0]
}

func ids(candidates []placement.Candidate) []string {
	var list []string
	for _, c := range candidates {
		list = append(list, c.ID)
	}
	return list
}
