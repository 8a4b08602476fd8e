package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// partCrashThreshold is the number of servers that must have crashed one after the
	// other, under different requests, before a part that they share is quarantined.
	partCrashThreshold = 3
	// suspectThreshold is the number of crashed servers, and suspectSeparate that of
	// separate crashes among them, from which requests with a part are sent one at a
	// time, from one host.
	suspectThreshold = 5
	suspectSeparate  = 2
	// suspectDuration is how long after the last crash a part is suspected.
	suspectDuration = 10 * time.Second
	// crashSpacing is the minimum time between two crashes that count separately:
	// servers that fail together say little about the requests on them.
	crashSpacing = 200 * time.Millisecond
	// evaluationDelay is how old a crash must be to count, so that hosts first learn of
	// runs with the same part that went on.
	evaluationDelay = time.Second
	// clearingWindow is how long before the quarantine of a part a run with it may have
	// begun to write so that it still clears the part.
	clearingWindow = 10 * time.Second
	// reviewInterval is the time between two reviews of the evidence while crashes are
	// recent.
	reviewInterval = 200 * time.Millisecond
	// sameCrashWindow is the maximum difference between the times at which hosts see one
	// crash. A server whose identity survives a restart may crash again after that.
	sameCrashWindow = time.Second
	// MaxParts bounds the parts of one prompt that count.
	MaxParts = 32
	// maxCrashes and maxRunsPerCrash bound the crashes that are remembered.
	maxCrashes      = 64
	maxRunsPerCrash = 32
	// maxPassedParts bounds the parts that are remembered as sound; the ones used least
	// recently are forgotten.
	maxPassedParts = 4096
	// passResolution is the minimum difference between two times of a part at which
	// they count as different.
	passResolution = 200 * time.Millisecond
)

// PartID returns the identity of a part of a prompt. A part that crashes the servers of
// one service may be sound at another service.
func PartID(service, part string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(part)
	return d.Sum64()
}

// Crash is a server's crash under a run that was in its beginning.
type Crash struct {
	Server    uint64 // hash of its ID
	Request   uint64
	Parts     []uint64 // of the request's prompt
	Answering bool     // the server had begun to answer the run, and there was no event yet
	Begun     bool     // the run had written an event
	Age       time.Duration
}

// Pass is news that a run with a part in its prompt went on past its beginning.
type Pass struct {
	Part uint64
	Age  time.Duration // since the run wrote its first event
}

// Evidence is what hosts tell each other about the parts of prompts.
type Evidence struct {
	Crashes []Crash
	Passes  []Pass
}

// serverCrash is one crash of a server, with the runs that had just started there.
type serverCrash struct {
	server uint64
	at     time.Time
	runs   []*crashedRun
}

// crashedRun is a Crash with its local time; Age is unused.
type crashedRun struct {
	Crash
	at              time.Time
	own             bool // the run was this host's
	retransmitsLeft int
}

// partEvidence is the evidence for and against the parts of prompts. It is guarded by
// the table's mu.
//
// A crash is attributed to the parts of the runs that the server had just begun to answer
// or, if there is none, of all runs that were in their beginning. A part that crashes every
// server never passes, so any pass after a crash clears a part of that crash, and one
// part that explains all crashes of another clears the other.
type partEvidence struct {
	crashes []*serverCrash
	passes  *simplelru.LRU[uint64, time.Time] // last known pass of a part
	news    map[uint64]int                    // parts whose pass is to be gossiped, with the retransmits left
	// suspected are the parts of which requests are sent one at a time, as of the last
	// review.
	suspected map[uint64]struct{}
}

func newPartEvidence() *partEvidence {
	passes, err := simplelru.NewLRU[uint64, time.Time](maxPassedParts, nil)
	if err != nil {
		panic(err) // only if the size is not positive
	}
	return &partEvidence{passes: passes, news: map[uint64]int{}}
}

// addCrash adds a crash and reports whether it was new.
func (e *partEvidence) addCrash(c Crash, at time.Time, own bool) bool {
	known := e.crashOf(c.Server, at)
	if len(known.runs) >= maxRunsPerCrash || slices.ContainsFunc(known.runs, func(r *crashedRun) bool { return r.Request == c.Request }) {
		return false
	}
	c.Age = 0
	known.runs = append(known.runs, &crashedRun{Crash: c, at: at, own: own, retransmitsLeft: suspectRetransmits})
	// Hosts that do not know that a part passed before the crash could blame it.
	for _, part := range c.Parts {
		if _, passed := e.passes.Peek(part); passed {
			e.news[part] = suspectRetransmits
		}
	}
	return true
}

// crashOf returns the crash of a server at about the given time, a new one if there is
// none.
func (e *partEvidence) crashOf(server uint64, at time.Time) *serverCrash {
	for _, c := range e.crashes {
		if c.server == server && at.Sub(c.at).Abs() < sameCrashWindow {
			return c
		}
	}
	if len(e.crashes) >= maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	c := &serverCrash{server: server, at: at}
	e.crashes = append(e.crashes, c)
	return c
}

// forgetBefore forgets crashes before the given time.
func (e *partEvidence) forgetBefore(limit time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *serverCrash) bool { return c.at.Before(limit) })
}

// addPass records that a part passed and reports whether this clears it of a crash,
// so that other hosts should know.
func (e *partEvidence) addPass(part uint64, at time.Time) (clears bool) {
	before, known := e.passes.Get(part)
	if known && at.Sub(before) < passResolution {
		return false
	}
	if clears = e.crashedBetween(part, before, at); clears {
		e.news[part] = suspectRetransmits
		delete(e.suspected, part)
	}
	e.passes.Add(part, at)
	return clears
}

// crashedBetween reports whether a server crashed after the first and up to the second time
// under a run with a part.
func (e *partEvidence) crashedBetween(part uint64, after, until time.Time) bool {
	return e.anyRun(func(r *crashedRun) bool {
		return r.at.After(after) && !r.at.After(until) && slices.Contains(r.Parts, part)
	})
}

// isSuspected reports whether a part was suspected at the last review, and a server crashed
// recently under a run with it.
func (e *partEvidence) isSuspected(part uint64) bool {
	_, suspected := e.suspected[part]
	now := time.Now()
	return suspected && e.crashedBetween(part, now.Add(-suspectDuration), now)
}

// crashedUnderOwn reports whether a server crashed under a run of this host with a part.
func (e *partEvidence) crashedUnderOwn(part uint64) bool {
	return e.anyRun(func(r *crashedRun) bool { return r.own && slices.Contains(r.Parts, part) })
}

func (e *partEvidence) anyRun(matches func(*crashedRun) bool) bool {
	return slices.ContainsFunc(e.crashes, func(c *serverCrash) bool { return slices.ContainsFunc(c.runs, matches) })
}

// passedSince reports whether a run with the part wrote its first event after the given
// time and after the last crash under a run with the part, and went on.
func (e *partEvidence) passedSince(part uint64, since time.Time) bool {
	passed, known := e.passes.Peek(part)
	return known && passed.After(since) && !e.crashedBetween(part, passed, time.Now())
}
