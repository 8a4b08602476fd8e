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
	// crashSpacing is the minimum time between two crashes that count separately:
	// servers that fail together say little about the requests on them.
	crashSpacing = 200 * time.Millisecond
	// verdictDelay is how old a crash must be to count, so that hosts first learn of
	// runs with the same part that went on.
	verdictDelay = time.Second
	// acquittalWindow is how long before the verdict on a part a run with it may have
	// begun to write so that it still acquits the part.
	acquittalWindow = 10 * time.Second
	// maxParts bounds the parts of one prompt that count.
	maxParts = 32
	// maxCrashedServers and maxRunsPerCrash bound the crashes that are remembered.
	maxCrashedServers = 128
	maxRunsPerCrash   = 8
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

// Crash is a server's crash under a run that had just started.
type Crash struct {
	Server  uint64 // hash of its ID
	Request uint64
	Parts   []uint64 // of the request's prompt
	Age     time.Duration
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

// crashRecord is a Crash with its local time; Age is unused.
type crashRecord struct {
	Crash
	at              time.Time
	own             bool // the run was this host's
	retransmitsLeft int
}

// partEvidence is the evidence for and against the parts of prompts. It is guarded by
// the table's mu.
//
// A crash accuses all parts of all runs that had just started on the server. A part
// that crashes every server never passes, so any pass after a crash acquits a part of
// that crash, and one part that explains all crashes of another acquits the other.
type partEvidence struct {
	crashes map[uint64][]*crashRecord         // by server
	passes  *simplelru.LRU[uint64, time.Time] // last known pass of a part
	news    map[uint64]int                    // parts whose pass is to be gossiped, with the retransmits left
}

func newPartEvidence() *partEvidence {
	passes, err := simplelru.NewLRU[uint64, time.Time](maxPassedParts, nil)
	if err != nil {
		panic(err) // only if the size is not positive
	}
	return &partEvidence{crashes: map[uint64][]*crashRecord{}, passes: passes, news: map[uint64]int{}}
}

// addCrash adds a crash and reports whether it was new.
func (e *partEvidence) addCrash(c Crash, at time.Time, own bool) bool {
	known := e.crashes[c.Server]
	if len(known) >= maxRunsPerCrash || slices.ContainsFunc(known, func(r *crashRecord) bool { return r.Request == c.Request }) {
		return false
	}
	if known == nil && len(e.crashes) >= maxCrashedServers {
		e.forgetOldest()
	}
	c.Age = 0
	e.crashes[c.Server] = append(known, &crashRecord{Crash: c, at: at, own: own, retransmitsLeft: suspectRetransmits})
	// Hosts that do not know that a part passed before the crash could blame it.
	for _, part := range c.Parts {
		if _, passed := e.passes.Peek(part); passed {
			e.news[part] = suspectRetransmits
		}
	}
	return true
}

// forgetOldest forgets the server that crashed first.
func (e *partEvidence) forgetOldest() {
	var first uint64
	var at time.Time
	for server, records := range e.crashes {
		if at.IsZero() || records[0].at.Before(at) {
			first, at = server, records[0].at
		}
	}
	delete(e.crashes, first)
}

// forgetBefore forgets crashes before the given time.
func (e *partEvidence) forgetBefore(limit time.Time) {
	for server, records := range e.crashes {
		if records[0].at.Before(limit) {
			delete(e.crashes, server)
		}
	}
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
	for _, records := range e.crashes {
		for _, r := range records {
			if r.at.After(after) && !r.at.After(until) && slices.Contains(r.Parts, part) {
				return true
			}
		}
	}
	return false
}

// accusedByOwn reports whether a run of this host accuses a part.
func (e *partEvidence) accusedByOwn(part uint64) bool {
	for _, records := range e.crashes {
		if slices.ContainsFunc(records, func(r *crashRecord) bool { return r.own && slices.Contains(r.Parts, part) }) {
			return true
		}
	}
	return false
}

// passedSince reports whether a run with the part wrote its first event after the given
// time and after the last crash that accuses the part, and went on.
func (e *partEvidence) passedSince(part uint64, since time.Time) bool {
	passed, known := e.passes.Peek(part)
	if !known || !passed.After(since) {
		return false
	}
	return !e.accusedBetween(part, passed, time.Now())
}

// accusation is a crash that accuses a part.
type accusation struct {
	server, request uint64
	at              time.Time
	depth           int // position of the part in the prompt
}

// accusations returns the crashes up to the given time that accuse a part and happened
// after its last pass, in order, one for each server.
func (e *partEvidence) accusations(part uint64, until time.Time) []accusation {
	passed, _ := e.passes.Peek(part)
	var all []accusation
	for server, records := range e.crashes {
		for _, r := range records {
			depth := slices.Index(r.Parts, part)
			if depth >= 0 && r.at.After(passed) && !r.at.After(until) {
				all = append(all, accusation{server, r.Request, r.at, depth})
				break
			}
		}
	}
	slices.SortFunc(all, func(a, b accusation) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server, b.server)) })
	return all
}

// countSeparate counts the crashes at least crashSpacing apart, each under another
// request.
func countSeparate(crashes []accusation) int {
	var counted []accusation
	for _, c := range crashes {
		if slices.ContainsFunc(counted, func(o accusation) bool { return o.request == c.request || c.at.Sub(o.at) < crashSpacing }) {
			continue
		}
		counted = append(counted, c)
	}
	return len(counted)
}

// blamed reports whether a part is to be blamed for crashes up to the given time. Parts
// for which quarantined returns true explain the crashes that accuse them.
func (e *partEvidence) blamed(part uint64, until time.Time, quarantined func(uint64) bool) bool {
	all := e.accusations(part, until)
	open := slices.DeleteFunc(slices.Clone(all), func(c accusation) bool {
		return slices.ContainsFunc(e.accusedWith(part, c.server), quarantined)
	})
	if countSeparate(open) < partCrashThreshold {
		return false
	}
	own := e.suspicionOf(part, all)
	for _, other := range e.accusedWith(part, open[len(open)-1].server) {
		others := e.accusations(other, until)
		if covers(others, open) && e.suspicionOf(other, others).compare(own) > 0 {
			return false
		}
	}
	return true
}

// accusedWith returns the other parts that the crash of a server accuses.
func (e *partEvidence) accusedWith(part, server uint64) []uint64 {
	var others []uint64
	for _, r := range e.crashes[server] {
		for _, other := range r.Parts {
			if other != part && !slices.Contains(others, other) {
				others = append(others, other)
			}
		}
	}
	return others
}

// covers reports whether accusations include all servers of others.
func covers(accusations, others []accusation) bool {
	for _, o := range others {
		if !slices.ContainsFunc(accusations, func(a accusation) bool { return a.server == o.server }) {
			return false
		}
	}
	return true
}

// suspicion orders parts that explain the same crashes.
type suspicion struct {
	crashes int
	passed  time.Time // zero: never
	depth   int
}

func (e *partEvidence) suspicionOf(part uint64, accusations []accusation) suspicion {
	passed, _ := e.passes.Peek(part)
	return suspicion{countSeparate(accusations), passed, accusations[len(accusations)-1].depth}
}

// compare ranks the part with more crashes higher, then the one whose last pass is
// older, then the more specific one.
func (s suspicion) compare(other suspicion) int {
	return cmp.Or(cmp.Compare(s.crashes, other.crashes), other.passed.Compare(s.passed), cmp.Compare(s.depth, other.depth))
}
