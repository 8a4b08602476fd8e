// Package placement chooses a backend server for a request from a snapshot of
// what this host knows of the servers. It does no input or output.
package placement

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a backend server that may run the request.
type Candidate struct {
	ID string
	// SameDomain says that the server is in this host's failure domain.
	SameDomain bool
	// Slots is how many requests the server runs at once.
	Slots int
	// MemoryTokens is an engine's memory in tokens; zero: a plain service.
	MemoryTokens int
	// Running is how many requests run or wait there, as far as is known.
	Running int
	// HeldTokens is the memory that those hold now or are expected to.
	HeldTokens int
	// UsedTokens is the part of it that they hold now.
	UsedTokens int
	// UnreadTokens are those of prompts that the engine has still to read;
	// BriefUnreadTokens the part of it that brief generations have.
	UnreadTokens, BriefUnreadTokens int
	// Doubtful says that recent requests failed there: it gets work only
	// where no other server has a place.
	Doubtful bool
	// Slow says that it has just started and is still slow.
	Slow bool
	// ColdFull says that it is cold and gets as many requests now as it bears.
	ColdFull bool
	// Pace is the least time that an engine has lately taken for a token of a
	// generation; zero: not known.
	Pace time.Duration
}

// Need is what a request will take; both are zero for a plain call.
type Need struct {
	PromptTokens int
	OutputTokens int // expected
	// Returning says that the caller was refused a moment ago and has come
	// back when it was told to.
	Returning bool
}

// Brief reports whether the request ends within about a second.
func (n Need) Brief() bool { return n.OutputTokens < briefTokens }

// GrowthShare is the part of what a generation is expected to make yet that
// counts as held: generations end at different times, so that while one has
// grown to its full length others have ended. With all of it counted, engines
// stood at two thirds of their memory while requests waited.
const GrowthShare = 0.5

// Held returns the memory that a generation counts for.
func Held(promptTokens, producedTokens, expectedTokens int) int {
	return promptTokens + producedTokens + int(GrowthShare*float64(max(0, expectedTokens-producedTokens)))
}

// Limits bound what placement fills.
type Limits struct {
	// Memory is the share of an engine's memory that may be promised to
	// generations. Above it, their growth preempts others.
	Memory float64
	// ReturningMemory is the same for callers that have come back: most come
	// back once only, so that a second refusal is for good.
	ReturningMemory float64
	// UnreadTokens are those of prompts that an engine may have still to
	// read. Beyond it the first token comes after the goal, and each prompt
	// more makes those behind it late too. Brief generations wait for those
	// of brief ones only, which engines read first.
	UnreadTokens int
	// QueueShare is how many requests a plain server may have beside those
	// that it runs, as a share of its slots.
	QueueShare float64
}

// DefaultLimits keep 6% of the memory free of promises, promise 2% too much to
// callers that have come back, and let a plain server have two requests waiting
// for each that it runs. Estimates of length are off by a factor of three, and
// what overflows stops a stream for a second and is read again. Of prompts an
// engine may have 0.8 s of reading before it.
var DefaultLimits = Limits{Memory: 0.94, ReturningMemory: 1.02, UnreadTokens: 5500, QueueShare: 2}

const (
	// briefTokens is how many tokens a brief generation makes at most; an
	// engine makes some 120 a second for each.
	briefTokens = 120
	// briefGrowth is how many tokens each running generation makes while a
	// brief one is read and ends, which takes about half a second.
	briefGrowth = 60
)

const (
	// readTokensPerMs is how fast an engine reads prompts beside running
	// generations: chunks of 112 tokens, one each step of 15 to 17 ms.
	readTokensPerMs = 7.0
	// patienceMs is the wait for the first token that weighs as much as a
	// full engine.
	patienceMs = 750.0
	// otherDomainCost ranks a server in another failure domain below one
	// that is fuller by this share: bytes between domains cost more than
	// small differences of load, and less than large ones.
	otherDomainCost = 0.1
	// otherDomainTokenCost adds to it for each token that is expected: a token
	// takes some 100 bytes on its way to the caller, a prompt's one.
	otherDomainTokenCost = 0.001
	// slowCost does the same for a server that has just started.
	slowCost = 0.5
	// paceCost ranks an engine that takes twice as long for a token, for long
	// generations, like one that is fuller by this share.
	paceCost = 0.8
	// briefPaceGain is what brief generations weigh it the other way round, so
	// that their prompts are read where they slow no long ones down.
	briefPaceGain = 0.3
	// maxSlower bounds what one wrong measurement can do.
	maxSlower = 0.5
)

// OtherDomainCost is what it adds to a server's cost that it is in another
// failure domain.
func OtherDomainCost(need Need) float64 {
	return otherDomainCost + otherDomainTokenCost*float64(need.OutputTokens)
}

// Costs returns the costs of the best servers that have a place, at most so
// many, the lowest first. Doubtful servers are left out.
func Costs(need Need, candidates []Candidate, limits Limits, most int) []float64 {
	fastest := fastestOf(candidates)
	var costs []float64
	for i := range candidates {
		if c := &candidates[i]; !c.Doubtful && c.hasPlace(need, limits) {
			costs = append(costs, c.cost(need)+c.slowness(need, fastest))
		}
	}
	slices.Sort(costs)
	return costs[:min(most, len(costs))]
}

// Pick returns the index of the best candidate with a place, or -1 if none
// has one. Draw returns a number below n; it breaks ties, so that hosts with
// the same view do not all choose the same server.
func Pick(need Need, candidates []Candidate, limits Limits, draw func(n int) int) int {
	best, bestRank := -1, rank{}
	if len(candidates) == 0 {
		return best
	}
	start, fastest := draw(len(candidates)), fastestOf(candidates)
	for i := range candidates {
		index := (start + i) % len(candidates)
		candidate := &candidates[index]
		if !candidate.hasPlace(need, limits) {
			continue
		}
		r := rank{candidate.Doubtful, candidate.cost(need) + candidate.slowness(need, fastest)}
		if best < 0 || r.before(bestRank) {
			best, bestRank = index, r
		}
	}
	return best
}

// rank orders candidates: those that are not doubtful first, then by cost.
type rank struct {
	doubtful bool
	cost     float64
}

func (r rank) before(other rank) bool {
	if r.doubtful != other.doubtful {
		return !r.doubtful
	}
	return cmp.Less(r.cost, other.cost)
}

// lack is what a server lacks for a request.
type lack int

const (
	lacksNothing lack = iota
	lacksReading      // too many prompts before it
	lacksSlots
	lacksMemory
	lacksWarmth // it is cold
)

// Shortage counts servers without a place by what they lack first.
type Shortage struct{ Reading, Slots, Memory, Warmth int }

// ShortageOf says why none of the candidates has a place.
func ShortageOf(need Need, candidates []Candidate, limits Limits) (shortage Shortage) {
	for i := range candidates {
		switch candidates[i].lacks(need, limits) {
		case lacksReading:
			shortage.Reading++
		case lacksSlots:
			shortage.Slots++
		case lacksMemory:
			shortage.Memory++
		case lacksWarmth:
			shortage.Warmth++
		}
	}
	return shortage
}

func (c *Candidate) hasPlace(need Need, limits Limits) bool {
	return c.lacks(need, limits) == lacksNothing
}

// lacks returns what the server lacks first for the request.
func (c *Candidate) lacks(need Need, limits Limits) lack {
	if c.ColdFull {
		return lacksWarmth
	}
	if c.Running == 0 {
		return lacksNothing // an idle server takes one whatever the limits say
	}
	if c.MemoryTokens == 0 {
		if float64(c.Running) < float64(c.Slots)*(1+limits.QueueShare) {
			return lacksNothing
		}
		return lacksSlots
	}
	unread := c.unreadBefore(need)
	switch {
	case limits.UnreadTokens > 0 && unread > 0 && unread+need.PromptTokens > limits.UnreadTokens:
		return lacksReading
	case c.Running >= c.Slots:
		return lacksSlots
	case !c.hasMemory(need, limits):
		return lacksMemory
	}
	return lacksNothing
}

// hasMemory reports whether the engine's memory has room for the request.
//
// A brief generation is gone before those beside it have grown: it needs room
// now, not in what is promised. Engines keep it waiting where there is none:
// with a tenth more than the whole memory promised to brief ones, some waited
// for seconds on an engine that was full, beside others that had room.
func (c *Candidate) hasMemory(need Need, limits Limits) bool {
	if need.Brief() {
		return c.UsedTokens+need.PromptTokens+briefGrowth*c.Running <= c.MemoryTokens
	}
	share := limits.Memory
	if need.Returning {
		share = max(share, limits.ReturningMemory)
	}
	promised := c.HeldTokens + Held(need.PromptTokens, 0, need.OutputTokens)
	return float64(promised) <= share*float64(c.MemoryTokens)
}

// unreadBefore returns the tokens that the engine reads before the request.
func (c *Candidate) unreadBefore(need Need) int {
	if need.Brief() {
		return c.BriefUnreadTokens
	}
	return c.UnreadTokens
}

// fastestOf returns the least pace of the engines, or zero.
func fastestOf(candidates []Candidate) (fastest time.Duration) {
	for i := range candidates {
		if pace := candidates[i].Pace; pace > 0 && (fastest == 0 || pace < fastest) {
			fastest = pace
		}
	}
	return fastest
}

// slowness is what the engine's speed adds to its cost. An engine whose pace
// is not known counts as fast, so that it is tried.
//
// The load it answers: some engines of a service are slower than the others,
// and a generation of 20 s is lost with its host or its engine the sooner the
// longer it runs.
func (c *Candidate) slowness(need Need, fastest time.Duration) float64 {
	if c.MemoryTokens == 0 || c.Pace <= 0 || fastest <= 0 {
		return 0
	}
	slower := min(maxSlower, float64(c.Pace)/float64(fastest)-1)
	if need.Brief() {
		return -briefPaceGain * slower
	}
	return paceCost * slower
}

// cost is the share of the server that is taken once the request is there.
func (c *Candidate) cost(need Need) float64 {
	cost := 0.0
	if c.MemoryTokens > 0 {
		// The square: of two engines with room, the fuller one is no worse
		// until preemptions come near.
		tokens := c.HeldTokens
		if need.Brief() {
			tokens = c.UsedTokens
		}
		held := float64(tokens+need.PromptTokens) / float64(c.MemoryTokens)
		cost = held * held
		// Prompts that are being read slow the others down, whoever goes first.
		unread := (c.UnreadTokens + c.unreadBefore(need)) / 2
		cost += float64(unread+need.PromptTokens) / readTokensPerMs / patienceMs
	} else {
		cost = float64(c.Running+1) / float64(max(1, c.Slots))
	}
	if !c.SameDomain {
		cost += OtherDomainCost(need)
	}
	if c.Slow {
		cost += slowCost
	}
	return cost
}
