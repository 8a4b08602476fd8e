package routing

import (
	"math"
	"time"

	"github.com/papayasail/papayasail/contract"
)

const (
	// maxRunningUnreported is the maximum number of own generations on a server
	// whose capacity is not known yet.
	maxRunningUnreported = 4
	// prefixWeight is the score added for a prefix that is certainly cached. The
	// rest of the score is the free share of the server's memory.
	prefixWeight = 0.05
)

// forecastPolicy filters servers by their running limit and by the probability
// that their memory overflows, then picks the best of the rest by score.
type forecastPolicy struct {
	tuning tuning
	mean   forecast // mean load from other hosts, for the current choice
}

// tuning enables and weighs the mechanisms of the forecast policy. Tests and
// benchmarks use it to compare them.
type tuning struct {
	unreportedWeight float64 // weight of the generations that other hosts are expected to have placed since the report
	aging            bool    // weigh reports less as they age
	ended            bool    // subtract other hosts' generations expected to have ended since the report
	limit            bool    // limit the running generations by the gaps between tokens
	prefix           float64 // weight of a cached prefix
	sampleSize       int     // number of servers to score, at random, among those that fit; 0: all
	currentOnly      bool    // consider only the current memory, no horizons
	margin           bool    // keep memory free on servers with preemptions
	fairShare        float64 // weight of the other hosts in the division of free memory, 0 to 1
}

var defaultTuning = tuning{unreportedWeight: 0.3, ended: true, aging: true, limit: true, prefix: prefixWeight, margin: true, fairShare: 1, sampleSize: 2}

func newForecastPolicy() *forecastPolicy { return &forecastPolicy{tuning: defaultTuning} }

func (p *forecastPolicy) pick(c *choice) *candidate {
	if c.service.view.snapshot.Document.Kind != contract.KindModel {
		return leastInFlightPolicy{}.pick(c) // plain services have no token memory
	}
	demand := generationForecast(c.service.lengths.forOrganisation(c.request.Organisation), c.request.PromptTokens, 0, c.request.MaxTokens)
	start := c.service.random.IntN(len(c.candidates)) // random start, so that ties spread evenly
	if p.tuning.aging {
		p.mean = meanOtherHosts(c)
	}
	var best *candidate
	highest, seen := math.Inf(-1), 0
	for i := range c.candidates {
		cand := c.candidates[(start+i)%len(c.candidates)]
		spare, ok := p.spare(c, cand, &demand)
		if !ok {
			continue
		}
		score := spare + p.tuning.prefix*c.service.prefixes.chance(c.request.PrefixHash, cand.serverLoad, c.now)
		if score > highest {
			best, highest = cand, score
		}
		if seen++; seen == p.tuning.sampleSize {
			break
		}
	}
	return best
}

// spare returns the share of a server's memory that stays free with the request
// placed there, and whether the server may take the request: it has room or is
// idle.
func (p *forecastPolicy) spare(c *choice, cand *candidate, demand *forecast) (float64, bool) {
	spare, ok := p.room(c, cand, demand)
	return spare, ok || idle(cand.serverLoad, c.now)
}

// room returns the share of a server's memory that stays free with the request
// placed there. It returns false if the request does not fit, or exceeds the
// running limit or this host's share of the free memory. If the server's capacity
// is unknown, it returns minus the number of this host's generations there, and
// false if they have reached maxRunningUnreported.
func (p *forecastPolicy) room(c *choice, cand *candidate, demand *forecast) (float64, bool) {
	l := cand.serverLoad
	if c.now.Sub(l.refreshed) > refreshInterval {
		l.refresh(c.service.lengths, c.now)
	}
	capacity := l.capacity * c.ramp(cand)
	if capacity <= 0 {
		return -float64(l.running), l.running < maxRunningUnreported
	}
	total := l.own
	total.add(demand, 1)
	otherGenerations := l.otherGenerations
	if l.reportUsable(c.now) {
		p.addOtherHosts(c, l, &total)
	} else {
		total.add(&l.own, c.service.peers()) // assume that each peer runs as much as this host
		otherGenerations = float64(l.running) * c.service.peers()
	}
	unreported := p.tuning.unreportedWeight * c.service.unreported(l, c.now)
	addUnreported(&total, demand, unreported)
	if p.tuning.limit && float64(l.running)+otherGenerations+unreported+1 > l.limit.bound()*c.ramp(cand) {
		return 0, false
	}
	if p.tuning.margin {
		capacity *= 1 - l.margin
	}
	if p.tuning.currentOnly {
		return 1 - total.mean[0]/capacity, total.mean[0] <= capacity
	}
	spare, ok := total.fits(capacity, c.service.z)
	if !ok || p.tuning.fairShare <= 0 {
		return spare, ok
	}
	return spare, p.fairShare(c, l, &total, demand, capacity, spare)
}

// idle reports whether a server runs no generations, as far as this host can
// tell. A stale report is no evidence of load.
//
// An idle engine always accepts one request, so that a service cannot starve.
// Otherwise requests would wait until their deadline beside idle engines in two
// cases:
//   - A generation may outgrow an empty engine, because the engine has little
//     memory or because its slow start counts only part of the memory.
//   - Long gaps and a slow start have lowered the running limit to one. The
//     request and any fraction of a generation expected from other hosts exceed it.
//
// If several hosts place on the same idle engine at once, the engine preempts.
// A stale report is ignored, since it does not show what runs on the engine now.
func idle(l *serverLoad, now time.Time) bool {
	return l.running == 0 && (l.otherGenerations < 1 || !l.reportUsable(now))
}

// reportTimeConstant is the time constant with which the weight of a report
// decays.
const reportTimeConstant = 1200 * time.Millisecond

// addOtherHosts adds the expected load from other hosts on a server: the load in
// its report, less the generations that have ended since. As the report ages, it
// is gradually replaced by the mean over all candidates: work is placed evenly,
// so an engine that was fuller than others seconds ago may not be so now.
func (p *forecastPolicy) addOtherHosts(c *choice, l *serverLoad, total *forecast) {
	age := c.now.Sub(l.reportedAt) + c.service.lags.lag()
	left, reportWeight := 1.0, 1.0
	if p.tuning.ended {
		left = l.remainingShare(c.service.lengths.forService(), age)
	}
	if p.tuning.aging {
		reportWeight = math.Exp(-age.Seconds() / reportTimeConstant.Seconds())
		total.add(&p.mean, left*(1-reportWeight))
	}
	total.add(&l.otherHosts, left*reportWeight)
}

// meanOtherHosts returns the mean load from other hosts over the candidates.
func meanOtherHosts(c *choice) (mean forecast) {
	for _, cand := range c.candidates {
		mean.add(&cand.serverLoad.otherHosts, 1/float64(len(c.candidates)))
	}
	return mean
}

// fairShare reports whether a request is within this host's share of the memory
// that was free at the last report.
//
// This prevents a thundering herd: when an engine frees memory, every host with
// a queue sees it in the same report and places there at once, so the same
// memory is used several times and the engine preempts. Each host therefore
// uses only its share of the free memory. If the request needs more than the
// share, the host places it only if it has placed nothing on the server since the
// report, and then with probability share/used.
func (p *forecastPolicy) fairShare(c *choice, l *serverLoad, total, demand *forecast, capacity, spare float64) bool {
	before := *total
	before.add(&l.recent, -1)
	before.add(demand, -1)
	free, _ := before.fits(capacity, c.service.z)
	used := free - spare
	share := free / (1 + p.tuning.fairShare*c.service.peers())
	if used <= share {
		return true
	}
	return l.recentCount == 0 && l.draw < share/used
}

// addUnreported adds generations of which only the expected number is known, each
// with the forecast demand.
func addUnreported(total, demand *forecast, count float64) {
	for k := range total.mean {
		mean := demand.mean[k]
		total.mean[k] += count * mean
		total.variance[k] += count * (demand.variance[k] + mean*mean)
	}
}

// unreported returns the expected number of generations that other hosts have
// placed on a server since the time that its last report describes. It assumes
// that each host places at the same rate as this one, evenly over the servers.
func (s *service) unreported(l *serverLoad, now time.Time) float64 {
	if !l.reportUsable(now) {
		return 0
	}
	age := now.Sub(l.reportedAt) + s.lags.lag()
	perServer := s.grants.PerSecond(now) / float64(len(s.view.servers))
	return s.peers() * perServer * age.Seconds()
}

// peers returns the number of other hosts that place on the same servers.
func (s *service) peers() float64 { return max(0, 1/s.dispatcher.options.Share()-1) }
