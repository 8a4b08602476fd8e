// Package placement chooses a backend server for a request from a snapshot of the
// servers' load. It does no I/O.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayasail/papayasail/servicetime"
)

// Candidate is a backend server that may run the request.
type Candidate struct {
	ID string
	// Domain is the server's failure domain.
	Domain string
	// SameDomain reports whether it is the failure domain of the requesting host.
	SameDomain bool
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// MemoryTokens is the memory of an engine, in tokens; zero for a plain
	// service.
	MemoryTokens int
	// Running is the known number of requests running or queued on the server.
	Running int
	// HeldTokens is the memory that these requests use or are expected to
	// use, in tokens; see Held.
	HeldTokens int
	// UsedTokens is the memory that they use now, in tokens.
	UsedTokens int
	// UnreadTokens is the number of prompt tokens that the engine has yet to
	// prefill; BriefUnreadTokens is the part that belongs to brief generations.
	UnreadTokens, BriefUnreadTokens int
	// Doubtful reports whether recent requests failed on the server. It gets
	// requests only if no other server has a free place.
	Doubtful bool
	// SlowStart reports whether the server is in its slow start.
	SlowStart bool
	// AtColdLimit reports whether the server is cold and already has the maximum
	// number of requests for a cold server.
	AtColdLimit bool
	// AtOwnShare reports whether this host has as many requests on the server as it may
	// have there.
	AtOwnShare bool
	// QueueLimit is the maximum number of requests queued on the server, if QueueLimited
	// is set.
	QueueLimited bool
	QueueLimit   int
	// Pace is the engine's lowest recent time per output token of one
	// generation; zero: not known.
	Pace time.Duration
	// ReadingTokensPerMs is the engine's prefill rate while it also generates;
	// zero: not known.
	ReadingTokensPerMs float64
	// GapMisses is the share of the engine's long generations, 0 to 1, whose longest pause
	// exceeds the goal of their route; zero: none, or not known.
	GapMisses float64
	// Time is the expected service time of a plain server; nil: not known.
	Time *servicetime.Estimate
	// InFlight is the expected number of requests running or queued on a plain server, if
	// Time is known. Unlike Running, it is a forecast.
	InFlight float64
}

// Need describes the resources that a request needs. Both token counts are zero
// for a call to a plain service.
type Need struct {
	PromptTokens int
	OutputTokens int // expected
	// Returning reports whether the request is a retry, at the advised time,
	// after a recent refusal.
	Returning bool
	// FirstEventIn is the time left until the first event is due. Busy engines
	// that cannot prefill the prompt by then are excluded; zero: not limited.
	FirstEventIn time.Duration
	// Late reports whether the request can no longer be on time.
	Late bool
	// Pressed reports whether the request will soon be late if it is not placed; a late
	// call, whether it will soon be refused.
	Pressed bool
	// Within is the time within which a call has to end, if it is limited; zero: it is not.
	// A late call always has to end within it.
	Within time.Duration
}

// Brief reports whether the generation is expected to end within about 1 s.
func (n Need) Brief() bool { return n.OutputTokens < briefTokens }

// GrowthShare is the share of a generation's expected remaining output that is
// counted as held. Generations end at different times: when one reaches its
// full length, others have ended. If all of it were counted, engines would use
// only two thirds of their memory while requests wait.
const GrowthShare = 0.5

// Held returns the memory, in tokens, that is counted for a generation: the
// prompt, the output so far and GrowthShare of the expected remaining output.
func Held(promptTokens, producedTokens, expectedTokens int) int {
	return promptTokens + producedTokens + int(GrowthShare*float64(max(0, expectedTokens-producedTokens)))
}

// Limits are the bounds for placement on a server.
type Limits struct {
	// Memory is the share of an engine's memory that may be held by
	// generations. Above it, the growth of generations causes preemptions.
	Memory float64
	// ReturningMemory is the same bound for retries after a refusal. Most
	// callers retry only once, so a second refusal is final.
	ReturningMemory float64
	// PressedMemory is the same bound for generations that will soon be late. It is
	// lower than that for retries, because brief generations need memory too.
	PressedMemory float64
	// Unread is the maximum time that an engine may need for the prompt tokens
	// that it has yet to prefill. Above it the first token misses its latency
	// goal, and each further prompt delays the prompts behind it too. For brief
	// generations only the prompts of brief ones count: engines prefill these
	// first. Zero: no limit. A prompt that would be prefilled first is accepted
	// regardless of its length.
	Unread time.Duration
	// QueuePerSlot is the maximum number of requests queued on a plain server,
	// as a multiple of its slots.
	QueuePerSlot float64
	// IgnoreCallTimes makes plain servers be chosen by their number of requests only, also
	// where their service time is known.
	IgnoreCallTimes bool
}

// DefaultLimits keep 6% of the memory free, allow 2% overcommitment for retries
// after a refusal, and let a plain server have two queued requests for each
// running one. Length estimates are off by a factor of three; a generation that
// is preempted on overflow stalls for a second and its prompt is prefilled again.
// An engine may have 0.8 s of prefill queued.
var DefaultLimits = Limits{Memory: 0.94, ReturningMemory: 1.02, PressedMemory: 0.98, Unread: defaultUnread, QueuePerSlot: 2}

// defaultUnread is the time in which an engine of DefaultReadingRate prefills 5,500
// tokens.
const defaultUnread = 5500 * time.Millisecond / DefaultReadingRate

const (
	// briefTokens is the output length below which a generation is brief. An
	// engine produces about 120 tokens per second for each generation. It is the
	// same for all engines, because hosts and allocators must agree on which
	// generations are brief before an engine is chosen.
	briefTokens = 120
	// briefGrowth is the number of tokens that each running generation
	// produces during the lifetime of a brief one, which is about 0.5 s. It does
	// not depend on Pace: that is the lowest recent pace, not the one of a busy
	// engine, and twice the growth of ten generations is 2% of an engine's memory.
	briefGrowth = 60
)

const (
	// firstTokenDelayMs is the delay of the first token that costs as much as a
	// full engine. It depends on callers, not on the engine.
	firstTokenDelayMs = 750.0
	// otherDomainCost is the cost that is added for a server in another failure
	// domain; 1 is the cost of a full engine. Traffic between domains costs more
	// than a small difference in load and less than a large one.
	otherDomainCost = 0.1
	// otherDomainTokenCost is added to otherDomainCost for each expected output
	// token: an output token takes about 100 bytes of traffic on its way to the
	// caller, a prompt token about one byte.
	otherDomainTokenCost = 0.001
	// slowStartCost is the cost that is added for a server in slow start; 1 is
	// the cost of a full engine.
	slowStartCost = 0.5
	// paceCost is the cost for long generations per unit of slowdown: an engine
	// that takes 10% longer per token than the fastest one costs 0.08 more. With
	// maxSlowdown, the cost is at most 0.4, also for one that takes twice as long.
	paceCost = 0.8
	// briefPaceGain is the corresponding gain for brief generations: slower
	// engines are preferred for them, because prefilling their prompts there
	// delays fewer long generations.
	briefPaceGain = 0.3
	// missCost is the cost for long generations of an engine on which all of them miss the
	// gap goal of their route, compared with one on which none does. An engine that misses
	// half of them costs as much as three quarters of a full one.
	missCost = 1.5
	// briefMissGain is the corresponding gain for brief generations. With a higher one,
	// more of them are late behind each other under overload.
	briefMissGain = 0.5
	// maxSlowdown limits the slowdown, and so the effect of one wrong value of
	// Pace.
	maxSlowdown = 0.5
)

// OtherDomainCost returns the additional cost of a server in another failure
// domain.
func OtherDomainCost(need Need) float64 {
	return otherDomainCost + otherDomainTokenCost*float64(need.OutputTokens)
}

// Costs returns the costs of the best servers with a free place, lowest first, at
// most the given number. Doubtful servers are skipped.
func Costs(need Need, candidates []Candidate, limits Limits, most int) []float64 {
	compared := rangeOf(candidates)
	var costs []float64
	for i := range candidates {
		if c := &candidates[i]; !c.Doubtful && c.hasPlace(need, limits) {
			costs = append(costs, c.cost(need, limits)+c.delays(need, &compared))
		}
	}
	slices.Sort(costs)
	return costs[:min(most, len(costs))]
}

// Pick returns the index of the best candidate with a free place, or -1 if
// there is none. draw returns a number from 0 to n-1; it breaks ties, so that
// hosts with the same view do not all choose the same server.
func Pick(need Need, candidates []Candidate, limits Limits, draw func(n int) int) int {
	best, bestRank := -1, rank{}
	if len(candidates) == 0 {
		return best
	}
	start, compared := draw(len(candidates)), rangeOf(candidates)
	for i := range candidates {
		index := start + i
		if index >= len(candidates) {
			index -= len(candidates)
		}
		candidate := &candidates[index]
		if !candidate.hasPlace(need, limits) {
			continue
		}
		r := rank{candidate.Doubtful, candidate.slowsDown(limits), candidate.cost(need, limits) + candidate.delays(need, &compared)}
		if best < 0 || r.before(bestRank) {
			best, bestRank = index, r
		}
	}
	return best
}

// rank orders candidates: doubtful ones last, before them those that more requests would
// slow down, then by cost.
type rank struct {
	doubtful  bool
	slowsDown bool
	cost      float64
}

func (r rank) before(other rank) bool {
	if r.doubtful != other.doubtful {
		return !r.doubtful
	}
	if r.slowsDown != other.slowsDown {
		return !r.slowsDown
	}
	return cmp.Less(r.cost, other.cost)
}

// lack is the resource of a server that is insufficient for a request.
type lack int

const (
	lacksNothing lack = iota
	lacksReading      // too many prompt tokens queued for prefill
	lacksSlots
	lacksMemory
	lacksWarmth // cold server at its maximum
	lacksShare  // this host uses its share of the server
	lacksTime   // a call would not end in time
)

// Shortage counts servers without a free place by the first resource that is
// insufficient.
//
// Reading counts servers with too many prompt tokens to prefill, Slots those with
// all slots used, Memory those with too little memory, Warmth cold servers at their limit
// of requests, Share those at which this host has all requests that it may have, and Time
// plain servers at which a call would wait too long to end in time.
type Shortage struct{ Reading, Slots, Memory, Warmth, Share, Time int }

// ShortageOf counts why the candidates have no free place for the request.
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
		case lacksShare:
			shortage.Share++
		case lacksTime:
			shortage.Time++
		}
	}
	return shortage
}

func (c *Candidate) hasPlace(need Need, limits Limits) bool {
	return c.lacks(need, limits) == lacksNothing
}

// lacks returns the first resource that is insufficient for the request, or
// lacksNothing.
func (c *Candidate) lacks(need Need, limits Limits) lack {
	if c.AtColdLimit {
		return lacksWarmth
	}
	if c.Running == 0 && !c.endsLate(need, limits) {
		return lacksNothing // an idle server accepts one request regardless of the limits
	}
	if c.AtOwnShare {
		return lacksShare
	}
	if c.MemoryTokens == 0 {
		switch {
		case c.endsLate(need, limits):
			return lacksTime
		case float64(c.Running) >= c.places(limits):
			return lacksSlots
		}
		return lacksNothing
	}
	unread := c.prefillBefore(need)
	switch {
	case limits.Unread > 0 && unread > 0 && c.exceeds(limits.Unread, unread+need.PromptTokens):
		return lacksReading
	case need.FirstEventIn > 0 && c.FirstEventDelay(need) > need.FirstEventIn:
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
// A brief generation ends while the others grow by only briefGrowth tokens each,
// so it needs memory that is free now rather than memory that is not held. An
// engine without free memory queues it: if brief generations could hold 110% of
// the memory, some would wait for seconds on a full engine while others have room.
func (c *Candidate) hasMemory(need Need, limits Limits) bool {
	if need.Brief() {
		return c.UsedTokens+need.PromptTokens+briefGrowth*c.Running <= c.MemoryTokens
	}
	share := limits.Memory
	if need.Pressed {
		share = max(share, limits.PressedMemory)
	}
	if need.Returning {
		share = max(share, limits.ReturningMemory)
	}
	promised := c.HeldTokens + Held(need.PromptTokens, 0, need.OutputTokens)
	return float64(promised) <= share*float64(c.MemoryTokens)
}

// prefillBefore returns the number of prompt tokens that the engine prefills
// before those of the request.
func (c *Candidate) prefillBefore(need Need) int {
	if need.Brief() {
		return c.BriefUnreadTokens
	}
	return c.UnreadTokens
}

// candidateRange is what the costs of the candidates for a request are relative to.
type candidateRange struct {
	fastest     time.Duration // lowest known pace; zero: none is known
	leastMisses float64       // of GapMisses
	mostMisses  float64
}

func rangeOf(candidates []Candidate) (r candidateRange) {
	r.leastMisses = 1
	for i := range candidates {
		c := &candidates[i]
		if c.Pace > 0 && (r.fastest == 0 || c.Pace < r.fastest) {
			r.fastest = c.Pace
		}
		r.leastMisses, r.mostMisses = min(r.leastMisses, c.GapMisses), max(r.mostMisses, c.GapMisses)
	}
	return r
}

// delays returns the part of the cost that depends on how much the engine delays the
// tokens of its generations, compared with the other candidates.
func (c *Candidate) delays(need Need, compared *candidateRange) float64 {
	return c.slowness(need, compared.fastest) + c.gapCost(need, compared)
}

// gapCost returns the part of the cost that depends on the missed gap goals. Generations
// that cannot miss theirs, because they are brief or late already, go to the engines that
// miss most, which leaves the others to those that can be on time. An idle engine counts
// for brief ones like that which misses most; see slowness.
func (c *Candidate) gapCost(need Need, compared *candidateRange) float64 {
	more := c.GapMisses - compared.leastMisses
	switch {
	case c.MemoryTokens == 0:
		return 0
	case need.Brief() && c.Running == 0:
		return -briefMissGain * (compared.mostMisses - compared.leastMisses)
	case need.Brief():
		return -briefMissGain * more
	case need.Late:
		return -missCost * more
	}
	return missCost * more
}

// slowness returns the part of the cost that depends on the engine's speed. An
// engine whose pace is not known counts as fast, so that it is tried.
//
// Some engines of a service are slower than others. The longer a generation runs,
// the more likely it is lost with its host or engine; long ones run for 20 s.
//
// A prompt on an idle engine delays nobody, so for brief generations it counts like
// one on the slowest engine. The pace of an engine also rises with its load: brief
// generations would otherwise gather on a few busy engines of a large idle fleet.
func (c *Candidate) slowness(need Need, fastest time.Duration) float64 {
	if c.MemoryTokens == 0 {
		return 0
	}
	if need.Brief() && c.Running == 0 {
		return -briefPaceGain * maxSlowdown
	}
	if c.Pace <= 0 || fastest <= 0 {
		return 0
	}
	slowdown := min(maxSlowdown, float64(c.Pace)/float64(fastest)-1)
	if need.Brief() {
		return -briefPaceGain * slowdown
	}
	if need.Late {
		return -paceCost * slowdown
	}
	return paceCost * slowdown
}

// cost returns the cost of the server with the request placed there: its load
// relative to its capacity, or, for a plain server whose service time is known, the expected
// end of the call in multiples of the usual service time; plus penalties for another failure
// domain and for slow start.
func (c *Candidate) cost(need Need, limits Limits) float64 {
	cost := 0.0
	if c.MemoryTokens > 0 {
		// Squared: load makes little difference between two engines with room,
		// and counts only near the level that causes preemptions.
		tokens := c.HeldTokens
		if need.Brief() {
			tokens = c.UsedTokens
		}
		held := float64(tokens+need.PromptTokens) / float64(c.MemoryTokens)
		cost = held * held
		// The tokens that are prefilled before the request delay it, and all
		// unread tokens slow the engine's generations, whatever the order of
		// prompts; the average accounts for both.
		unread := (c.UnreadTokens + c.prefillBefore(need)) / 2
		cost += c.readingTime(unread+need.PromptTokens) / firstTokenDelayMs
	} else if c.byTime(limits) {
		// The slots in use count too: the number of requests in flight is a forecast, and the
		// fuller the server, the more likely the call has to wait.
		cost = float64(c.Time.End(c.InFlight))/float64(c.Time.Usual()) + min(1, (c.InFlight+1)/float64(max(1, c.Slots)))
	} else {
		cost = float64(c.Running+1) / float64(max(1, c.Slots))
	}
	if !c.SameDomain {
		cost += OtherDomainCost(need)
	}
	if c.SlowStart {
		cost += slowStartCost
	}
	return cost
}
