package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// partCrashThreshold is the number of servers that must have crashed one after the
	// other, under different requests, before a part that they share is quarantined.
	partCrashThreshold = 3
	// suspectThreshold is the number of crashed servers, not all of them at once, from
	// which requests with a part are sent one at a time, from one host.
	suspectThreshold = 5
	// crashSpacing is the minimum time between two crashes that count separately:
	// servers that fail together say little about the requests on them.
	crashSpacing = 200 * time.Millisecond
	// verdictDelay is how old a crash must be to count, so that hosts first learn of
	// runs with the same part that went on.
	verdictDelay = time.Second
	// acquittalWindow is how long before the verdict on a part a run with it may have
	// begun to write so that it still acquits the part.
	acquittalWindow = 10 * time.Second
	// sameCrashWindow is the maximum difference between the times at which hosts see one
	// crash. A server whose identity survives a restart may crash again after that.
	sameCrashWindow = time.Second
	// maxParts bounds the parts of one prompt that count.
	maxParts = 32
	// maxCrashes and maxRunsPerCrash bound the crashes that are remembered.
	maxCrashes      = 128
	maxRunsPerCrash = 64
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
	Answering bool     // the server had begun to answer the run
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

// accuses returns the run that accuses a part, one that the server had begun to answer if
// there is one, and the position of the part in its prompt; nil: the crash does not
// accuse the part.
func (c *serverCrash) accuses(part uint64) (run *crashedRun, depth int) {
	for _, r := range c.runs {
		i := slices.Index(r.Parts, part)
		if i >= 0 && (run == nil || r.Answering && !run.Answering) {
			run, depth = r, i
		}
	}
	return run, depth
}

// explained reports whether another part, or a request without the part, is quarantined
// and explains a crash that accuses the part.
func (c *serverCrash) explained(part uint64, quarantined func(uint64) bool) bool {
	return slices.ContainsFunc(c.accusedWith(part), quarantined) || slices.ContainsFunc(c.runs, func(r *crashedRun) bool {
		return quarantined(r.Request) && !slices.Contains(r.Parts, part)
	})
}

// partEvidence is the evidence for and against the parts of prompts. It is guarded by
// the table's mu.
//
// A crash accuses all parts of all runs that were in their beginning on the server. A
// part that crashes every server never passes, so any pass after a crash acquits a part
// of that crash, and one part that explains all crashes of another acquits the other.
type partEvidence struct {
	crashes []*serverCrash
	passes  *simplelru.LRU[uint64, time.Time] // last known pass of a part
	news    map[uint64]int                    // parts whose pass is to be gossiped, with the retransmits left
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

// addPass records that a part passed and reports whether this acquits it of a crash,
// so that other hosts should know.
func (e *partEvidence) addPass(part uint64, at time.Time) (acquits bool) {
	before, known := e.passes.Get(part)
	if known && at.Sub(before) < passResolution {
		return false
	}
	if acquits = e.accusedBetween(part, before, at); acquits {
		e.news[part] = suspectRetransmits
	}
	e.passes.Add(part, at)
	return acquits
}

// accusedBetween reports whether a crash after the first and up to the second time
// accuses a part.
func (e *partEvidence) accusedBetween(part uint64, after, until time.Time) bool {
	return slices.ContainsFunc(e.crashes, func(c *serverCrash) bool {
		run, _ := c.accuses(part)
		return run != nil && run.at.After(after) && !run.at.After(until)
	})
}

// accusedByOwn reports whether a run of this host accuses a part.
func (e *partEvidence) accusedByOwn(part uint64) bool {
	return slices.ContainsFunc(e.crashes, func(c *serverCrash) bool {
		return slices.ContainsFunc(c.runs, func(r *crashedRun) bool { return r.own && slices.Contains(r.Parts, part) })
	})
}

// passedSince reports whether a run with the part wrote its first event after the given
// time and after the last crash that accuses the part, and went on.
func (e *partEvidence) passedSince(part uint64, since time.Time) bool {
	passed, known := e.passes.Peek(part)
	return known && passed.After(since) && !e.accusedBetween(part, passed, time.Now())
}

// accusation is a crash that accuses a part.
type accusation struct {
	crash *serverCrash
	run   *crashedRun
	depth int // position of the part in the prompt
}

// accusations returns the crashes up to the given time that accuse a part and happened
// after its last pass, in order.
func (e *partEvidence) accusations(part uint64, until time.Time) []accusation {
	passed, _ := e.passes.Peek(part)
	var all []accusation
	for _, c := range e.crashes {
		if run, depth := c.accuses(part); run != nil && run.at.After(passed) && !run.at.After(until) {
			all = append(all, accusation{c, run, depth})
		}
	}
	slices.SortFunc(all, func(a, b accusation) int {
		return cmp.Or(a.run.at.Compare(b.run.at), cmp.Compare(a.crash.server, b.crash.server))
	})
	return all
}

// countSeparate counts the crashes at least crashSpacing apart, each under another
// request.
func countSeparate(crashes []accusation) int {
	var counted []accusation
	for _, c := range crashes {
		if slices.ContainsFunc(counted, func(o accusation) bool {
			return o.run.Request == c.run.Request || c.run.at.Sub(o.run.at) < crashSpacing
		}) {
			continue
		}
		counted = append(counted, c)
	}
	return len(counted)
}

// blamed reports whether a part is to be blamed for crashes up to the given time. Parts
// and requests for which quarantined returns true explain the crashes that accuse them.
func (e *partEvidence) blamed(part uint64, until time.Time, quarantined func(uint64) bool) bool {
	open := e.unexplained(part, until, quarantined)
	return countSeparate(open) >= partCrashThreshold && e.explainsBest(part, open, until)
}

// suspected reports whether requests with a part may be about to crash all servers, before
// there is a verdict.
func (e *partEvidence) suspected(part uint64, quarantined func(uint64) bool) bool {
	if len(e.crashes) < suspectThreshold {
		return false
	}
	now := time.Now()
	open := e.unexplained(part, now, quarantined)
	return len(open) >= suspectThreshold && countSeparate(open) > 1 && e.explainsBest(part, open, now)
}

// unexplained returns the accusations of a part without the crashes that quarantined
// parts or requests explain.
func (e *partEvidence) unexplained(part uint64, until time.Time, quarantined func(uint64) bool) []accusation {
	return slices.DeleteFunc(e.accusations(part, until), func(a accusation) bool {
		return a.crash.explained(part, quarantined)
	})
}

// explainsBest reports whether no other part that explains the given accusations of a
// part is more likely to be at fault.
func (e *partEvidence) explainsBest(part uint64, open []accusation, until time.Time) bool {
	own := e.suspicionOf(part, e.accusations(part, until))
	for _, other := range open[len(open)-1].crash.accusedWith(part) {
		others := e.accusations(other, until)
		if covers(others, open) && e.suspicionOf(other, others).compare(own) > 0 {
			return false
		}
	}
	return true
}

// accusedWith returns the other parts that a crash accuses.
func (c *serverCrash) accusedWith(part uint64) []uint64 {
	var others []uint64
	for _, r := range c.runs {
		for _, other := range r.Parts {
			if other != part && !slices.Contains(others, other) {
				others = append(others, other)
			}
		}
	}
	return others
}

// covers reports whether accusations include all crashes of others.
func covers(accusations, others []accusation) bool {
	for _, o := range others {
		if !slices.ContainsFunc(accusations, func(a accusation) bool { return a.crash == o.crash }) {
			return false
		}
	}
	return true
}

// suspicion orders parts that explain the same crashes.
type suspicion struct {
	answering int // crashes under runs that the server had begun to answer
	crashes   int
	passed    time.Time // zero: never
	depth     int
}

func (e *partEvidence) suspicionOf(part uint64, accusations []accusation) suspicion {
	passed, _ := e.passes.Peek(part)
	answering := 0
	for _, a := range accusations {
		if a.run.Answering {
			answering++
		}
	}
	return suspicion{answering, countSeparate(accusations), passed, accusations[len(accusations)-1].depth}
}

// compare ranks the part with more crashes higher, first of runs that the server had
// begun to answer, then the one whose last pass is older, then the more specific one.
func (s suspicion) compare(other suspicion) int {
	return cmp.Or(cmp.Compare(s.answering, other.answering), cmp.Compare(s.crashes, other.crashes), other.passed.Compare(s.passed), cmp.Compare(s.depth, other.depth))
}
