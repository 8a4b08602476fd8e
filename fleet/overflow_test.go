package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func told(w *Work) bool {
	select {
	case <-w.Relief():
		return true
	default:
		return false
	}
}

func TestTheLongestGenerationGivesWay(t *testing.T) {
	// Estimates of length are off, and one engine fills up beside others with
	// room. Its newest letter would be stopped and read in again. The host moves
	// the one that is expected to grow most instead, one at a time.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		begin := func(id string, output, produced int) *Work {
			work := table.Begin("a", Work{ID: id, PromptTokens: 6000, OutputTokens: output}, false)
			work.Produced(produced)
			return work
		}
		long, longer, nearlyDone := begin("1", 900, 200), begin("2", 1500, 100), begin("3", 1000, 950)
		unread := table.Begin("a", Work{ID: "4", PromptTokens: 6000, OutputTokens: 1800}, false)
		is.Equal(len(table.Overflowing("llm", everywhere)), 0)
		table.SetOthers("h2", "llm", map[string]Load{"a": {Requests: 2, HeldTokens: 9000, UsedTokens: 9000}}, everywhere)
		overflowing := table.Overflowing("llm", everywhere)
		is.Equal(overflowing, []Life{{ID: "a"}})
		table.SetOverflowing("llm", overflowing, everywhere)
		is.True(told(longer))
		is.True(!told(long) && !told(nearlyDone) && !told(unread))
		table.SetOverflowing("llm", overflowing, everywhere) // the next report comes before it has moved
		is.True(!told(longer) && !told(long))
		longer.End()
		time.Sleep(reliefInterval + time.Millisecond)
		table.SetOverflowing("llm", overflowing, everywhere)
		is.True(told(long))
		table.SetOverflowing("llm", nil, everywhere)
		time.Sleep(time.Minute)
		is.True(!told(nearlyDone)) // ends before it has moved
	})
}
