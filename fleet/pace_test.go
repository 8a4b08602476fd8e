package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// generate produces the events from index from to index to of a generation, four tokens each.
func generate(work *Work, from, to int, gap time.Duration) {
	for i := from; i < to; i++ {
		time.Sleep(gap)
		work.Produced(4 * (i + 1))
	}
}

func TestPaceOfAnEngine(t *testing.T) {
	// Two engines differ by a third. Prompts that are sometimes read on the
	// fast one must not make it look slow permanently.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		fast := table.Begin("a", Work{ID: "1", PromptTokens: 3000, OutputTokens: 400}, false)
		slow := table.Begin("b", Work{ID: "2", PromptTokens: 3000, OutputTokens: 400}, false)
		generate(fast, 0, 20, 64*time.Millisecond) // while prompts are read
		generate(fast, 20, 90, 32*time.Millisecond)
		generate(slow, 0, 40, 42*time.Millisecond)
		byID := map[string]time.Duration{}
		for _, c := range table.Candidates("llm", "d1") {
			byID[c.ID] = c.Pace
		}
		is.True(byID["a"] < 9*time.Millisecond)
		is.True(byID["b"] > 10*time.Millisecond)
		is.Equal(table.OwnGenerations()["llm"]["b"].Pace, byID["b"])
	})
}

func TestEventsInABurstDoNotMakeAnEngineFast(t *testing.T) {
	// Guards against an engine that looks fast, and attracts all long
	// generations, because a stalled link delivered twenty events at once.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		work := table.Begin("a", Work{ID: "1", PromptTokens: 3000, OutputTokens: 400}, false)
		generate(work, 0, 30, 32*time.Millisecond)
		time.Sleep(20 * 32 * time.Millisecond)
		for i := range 20 {
			work.Produced(4 * (31 + i))
		}
		for _, c := range table.Candidates("llm", "d1") {
			if c.ID == "a" {
				is.True(c.Pace > 4*time.Millisecond)
			}
		}
	})
}
