package migration

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/internal/rapidtest"
	"github.com/papayasail/papayasail/placement"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Flags{"seed": "1"}) }

func engine(id string, near bool, held int) placement.Candidate {
	return placement.Candidate{ID: id, Slots: 24, MemoryTokens: 34000, Running: 1, HeldTokens: held, SameDomain: near}
}

func move(source, run string, held, output int) Move {
	return Move{Source: source, Run: run, LostWork: held + 10*output, Need: placement.Need{PromptTokens: held, OutputTokens: output}}
}

func granted(c <-chan Grant) string {
	select {
	case g := <-c:
		return g.Destination
	default:
		return ""
	}
}

func TestOneCopyAtATimeOnEachLink(t *testing.T) {
	// Guards against concurrent copies when two engines with three generations
	// each are reclaimed at once: the copies delay each other, and streams stall
	// for 200 to 900 ms.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := NewQueue(func(string) []placement.Candidate {
			return []placement.Candidate{engine("x", true, 9000), engine("y", true, 8000)}
		}, time.Now)
		a1, _ := q.Enqueue(move("a", "1", 3000, 500))
		a2, _ := q.Enqueue(move("a", "2", 3000, 800))
		b1, _ := q.Enqueue(move("b", "3", 3000, 500))
		q.GrantReady()
		is.Equal(granted(a2), "") // waits for other moves first
		time.Sleep(gatherDelay)
		q.GrantReady()
		is.Equal(granted(a2), "y") // saves more work for the same copy
		is.Equal(granted(a1), "")  // its engine is sending already
		is.Equal(granted(b1), "x") // the other engine has another destination
		q.End("a", "2")
		q.GrantReady()
		is.Equal(granted(a1), "y")
	})
}

func TestRunsThatEndSoonGoLast(t *testing.T) {
	// Guards against the loss of a long generation on an engine that leaves in 1.5 s: one
	// with half a second to go (here 40 tokens) took the first turn, and one with eight
	// seconds to go (here 800 tokens) was lost.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := NewQueue(func(string) []placement.Candidate { return []placement.Candidate{engine("x", true, 0)} }, time.Now)
		short, _ := q.Enqueue(move("a", "short", 1000, 40))
		long, _ := q.Enqueue(move("a", "long", 3500, 800))
		time.Sleep(gatherDelay)
		q.GrantReady()
		is.Equal(granted(long), "x")
		is.Equal(granted(short), "")
	})
}

func TestTurnOfFailedHostExpires(t *testing.T) {
	// Guards against a host that fails during its turn and blocks the other
	// generations on the same engine until the engine has left.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := NewQueue(func(string) []placement.Candidate { return []placement.Candidate{engine("x", true, 0)} }, time.Now)
		first, _ := q.Enqueue(move("a", "1", 3000, 900))
		second, _ := q.Enqueue(move("a", "2", 3000, 500))
		time.Sleep(gatherDelay)
		q.GrantReady()
		is.Equal(granted(first), "x")
		time.Sleep(turnLease + time.Millisecond)
		q.GrantReady()
		is.Equal(granted(second), "x")
	})
}

func TestWaitsForANearDestination(t *testing.T) {
	// Guards against a copy to another failure domain, which takes twice as long as one
	// within the domain, while the only near destination is receiving a copy.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := NewQueue(func(string) []placement.Candidate {
			return []placement.Candidate{engine("near", true, 9000), engine("far", false, 0)}
		}, time.Now)
		a, _ := q.Enqueue(move("a", "1", 3000, 500))
		b, _ := q.Enqueue(move("b", "2", 3000, 500))
		time.Sleep(gatherDelay)
		q.GrantReady()
		is.Equal(granted(a), "near")
		is.Equal(granted(b), "")
		q.End("a", "1")
		q.GrantReady()
		is.Equal(granted(b), "near")
	})
}

func TestQueueNeverSharesALink(t *testing.T) {
	// With random moves, ends and cancels, no engine ever sends or receives two
	// copies at once.
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var candidates []placement.Candidate
		for i := range rapid.IntRange(1, 4).Draw(t, "servers") {
			candidates = append(candidates, engine(fmt.Sprint("d", i), i%2 == 0, 1000*i))
		}
		q := NewQueue(func(string) []placement.Candidate { return candidates }, func() time.Time { return now })
		type open struct {
			move Move
			c    <-chan Grant
		}
		var waiting []open
		busy := map[string]string{} // source to destination
		runs := map[string]string{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				m := move(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "source"), fmt.Sprint(step), 3000, 500)
				c, cancel := q.Enqueue(m)
				if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
					cancel()
					continue
				}
				waiting = append(waiting, open{m, c})
			case 1:
				for source := range busy {
					q.End(source, runs[source])
					delete(busy, source)
					break
				}
			case 2:
				now = now.Add(20 * time.Millisecond)
			}
			q.GrantReady()
			var still []open
			for _, w := range waiting {
				destination := granted(w.c)
				if destination == "" {
					still = append(still, w)
					continue
				}
				if busy[w.move.Source] != "" {
					t.Fatalf("%s sends two copies at once", w.move.Source)
				}
				for _, other := range busy {
					if other == destination {
						t.Fatalf("%s receives two copies at once", destination)
					}
				}
				busy[w.move.Source], runs[w.move.Source] = destination, w.move.Run
			}
			waiting = still
		}
	})
}
