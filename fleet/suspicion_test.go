package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/placement"
)

// Guards against a server that is never used again, here or at other hosts, after an answer
// that servers which stay give too.
func TestSuspicionEndsWhenTheServerTakesWork(t *testing.T) {
	a := Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24, Writes: 4}
	renewed := a
	renewed.Writes++
	for _, because := range []Suspicion{SuspectLeaving, SuspectReplaced} {
		for name, evidence := range map[string]func(table *Table){
			"accepts a request": func(table *Table) { table.Refute(a.Incarnation(), RefutedByAnswer, time.Now()) },
			"healthy": func(table *Table) {
				table.ApplySelfReport(a.Incarnation(), SelfReport{Asked: time.Now(), TakesWork: true})
			},
			"renews its entry": func(table *Table) { table.Put(renewed) },
			"starts again": func(table *Table) {
				again := a
				again.Born = 200
				table.Put(again)
			},
		} {
			t.Run(string(because)+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, table := is.New(t), newTable()
					first := a
					first.Born = 100
					table.Put(first)
					sent := time.Now()
					time.Sleep(time.Millisecond)
					table.Suspect(a.Incarnation(), because)
					is.Equal(len(table.Leaving("llm")), 0) // other hosts are not told
					table.Put(first)                       // not renewed
					table.Refute(a.Incarnation(), RefutedByAnswer, sent)
					is.True(!inUse(table)) // the request was sent before the suspicion arose
					time.Sleep(time.Millisecond)
					evidence(table)
					is.True(inUse(table))
				})
			})
		}
	}
}

// inUse reports whether both servers of newTable get work alike.
func inUse(table *Table) bool {
	candidates := table.Candidates("llm", "d1")
	return len(candidates) == 2 && !candidates[0].Doubtful && !candidates[1].Doubtful
}

// Guards against a service without servers while all of them refuse requests and close
// connections, and against work for such a server while another one has capacity.
func TestSuspectGetsWorkOnlyWithoutAnother(t *testing.T) {
	is, table := is.New(t), newTable()
	need := placement.Need{PromptTokens: 100, OutputTokens: 100}
	pick := func(except ...string) string {
		candidates := table.Candidates("llm", "d1", except...)
		if i := placement.Pick(need, candidates, placement.DefaultLimits, func(int) int { return 0 }); i >= 0 {
			return candidates[i].ID
		}
		return ""
	}
	table.Suspect(Incarnation{ID: "a"}, SuspectLeaving)
	is.Equal(pick(), "b")
	is.Equal(pick("b"), "a")
	is.True(table.Begin("a", Work{ID: "1"}, false) != nil)
	table.Suspect(Incarnation{ID: "b"}, SuspectLeaving)
	is.True(pick() != "")
	table.Suspect(Incarnation{ID: "b"}, SuspectReplaced)
	is.Equal(pick("a"), "")
	is.Equal(table.Avoided("llm"), []string{"b"}) // allocators must not choose it for this host
}

// Guards against a suspicion that hides a server's own report of leaving, or revises it.
func TestReportOfLeavingOverridesSuspicion(t *testing.T) {
	for name, report := range map[string]func(table *Table){
		"answer":  func(table *Table) { table.MarkLeaving(Incarnation{ID: "a"}, SourceAnswer) },
		"report":  func(table *Table) { table.ApplySelfReport(Incarnation{ID: "a"}, SelfReport{Leaves: true}) },
		"entry":   func(table *Table) { table.Put(Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Leaving: true}) },
		"removed": func(table *Table) { table.Remove("a") },
	} {
		t.Run(name, func(t *testing.T) {
			is, table := is.New(t), newTable()
			work := table.Begin("a", Work{ID: "1"}, false)
			table.Suspect(Incarnation{ID: "a"}, SuspectLeaving)
			select {
			case <-work.Gone():
				t.Fatal("runs move off a server that may stay")
			default:
			}
			report(table)
			<-work.Gone()
			table.Suspect(Incarnation{ID: "a"}, SuspectLeaving)
			table.Refute(Incarnation{ID: "a"}, RefutedByHealth, time.Now().Add(time.Second))
			is.Equal(len(table.Candidates("llm", "d1")), 1)
			is.Equal(len(table.Leaving("llm")), 1)
		})
	}
}

// Guards against suspects that are not queried any more before they prove anything, and
// against queries of a large fleet that are load for a server.
func TestSuspectsAreQueriedUntilRefuted(t *testing.T) {
	for _, hosts := range []int{1, 7, 100} {
		synctest.Test(t, func(t *testing.T) {
			is, names := is.New(t), hostNames(hosts)
			var tables []*Table
			for _, name := range names {
				table := NewTable(name, zap.NewNop())
				table.SetHosts(names)
				table.SetMemory("llm", 1000)
				table.Put(Server{ID: "a", Service: "llm", Slots: 6})
				table.Suspect(Incarnation{ID: "a"}, SuspectLeaving)
				tables = append(tables, table)
			}
			const period = time.Minute
			queries := make([]int, hosts)
			for began := time.Now(); time.Since(began) < period; time.Sleep(50 * time.Millisecond) {
				for i, table := range tables {
					due, suspects := table.SuspectsDue()
					is.True(suspects)
					queries[i] += len(due)
				}
			}
			interval := max(minSuspectInterval, time.Duration(hosts)*coldCheckSpacing)
			for _, count := range queries {
				is.True(count <= int(period/interval)*3/2)
				is.True(count >= int(period/interval)/2)
			}
			tables[0].SetBackoff("a", 2*interval)
			time.Sleep(2*interval - 50*time.Millisecond)
			due, _ := tables[0].SuspectsDue()
			is.Equal(len(due), 0) // it wants nothing from this host
			tables[0].Refute(Incarnation{ID: "a"}, RefutedByHealth, time.Now())
			_, suspects := tables[0].SuspectsDue()
			is.True(!suspects)
		})
	}
}
