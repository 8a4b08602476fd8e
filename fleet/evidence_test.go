package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a crashed engine that looks like the emptiest until its host list entry expires.
func TestServerWhereTwoHostsFailedIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.ApplyOutcomes("h1", "a", Evidence{Failed: 1})
		is.Equal(len(table.Candidates("llm", "d1")), 2) // h1 may itself be partitioned from it
		table.ApplyOutcomes("h2", "a", Evidence{Failed: 1})
		is.Equal(len(table.Candidates("llm", "d1")), 1)
		is.Equal(table.Avoided("llm"), []string{"a"})
		time.Sleep(avoidedFor)
		is.Equal(len(table.Candidates("llm", "d1")), 2)
	})
}

func TestServerThatAnswersIsNotAvoided(t *testing.T) {
	// Guards against avoiding an engine at which two hosts have one broken stream each while it
	// answers others. The remaining engines would be overloaded.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.ApplyOutcomes("h1", "a", Evidence{Failed: 1})
		table.ApplyOutcomes("h3", "a", Evidence{Failed: 1, Answered: 1})
		table.ApplyOutcomes("h2", "a", Evidence{Failed: 1})
		is.Equal(len(table.Candidates("llm", "d1")), 2)
		time.Sleep(failureWindow + time.Millisecond)
		table.ApplyOutcomes("h4", "a", Evidence{Failed: 1}) // the earlier failure has expired
		is.Equal(len(table.Candidates("llm", "d1")), 2)
	})
}

// Guards against all hosts avoiding a healthy engine because generations on
// silent connections reach their deadlines.
func TestLateTimeoutsAreNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		silent := table.Begin("a", Work{ID: "1"}, false)
		time.Sleep(time.Second)
		table.ApplyOutcomes("h2", "a", Evidence{Answered: 1})
		unanswered := table.Begin("a", Work{ID: "2"}, false)
		time.Sleep(time.Second)
		table.ApplyOutcomes("h2", "a", Evidence{Failed: 1})
		silent.TimedOut()
		is.Equal(len(table.TakeEvidence("llm")), 0)
		is.Equal(len(table.Avoided("llm")), 0)
		unanswered.TimedOut() // no request was answered since it was sent
		is.Equal(table.TakeEvidence("llm"), map[string]Evidence{"a": {Failed: 1}})
		is.Equal(table.Avoided("llm"), []string{"a"})
	})
}

func TestOwnOutcomesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	table := newTable()
	work := table.Begin("a", Work{ID: "1", PromptTokens: 3000, OutputTokens: 400}, false)
	work.Outcome(true)
	select {
	case <-table.OwnChanged():
	default:
		t.Fatal("no report of the failure was requested")
	}
	is.Equal(table.TakeEvidence("llm"), map[string]Evidence{"a": {Failed: 1}})
	is.Equal(len(table.TakeEvidence("llm")), 0)
	table.ApplyOutcomes("h2", "a", Evidence{Failed: 1}) // with this host, two hosts have failed there
	is.Equal(table.Avoided("llm"), []string{"a"})
}

// Guards against an allocator that places work on a server which reported only
// to the requesting host that it is leaving.
func TestServerThatToldThisHostOnlyIsAvoided(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.MarkLeaving(Incarnation{ID: "a"}, SourceAnswer)
	table.MarkLeaving(Incarnation{ID: "b"}, SourceList)
	is.Equal(table.Avoided("llm"), []string{"a"})
}
