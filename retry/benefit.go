package retry

import (
	"math"
	"time"
)

const (
	// minBenefit is the chance that a retry must have of another outcome while servers
	// have room.
	minBenefit = 0.15
	// probeShare is the share of the retries without expected benefit that are made
	// nevertheless, to find out when they help again.
	probeShare = 1.0 / 8
	// retryHalfLife is the time in which the weight of a retry's result halves: a host
	// with few failures then soon treats the benefit as unknown again.
	retryHalfLife = 30 * time.Second
	// maxRetryWeight limits the weight of all results together, so that a few probes
	// show that retries help again.
	maxRetryWeight = 20
	// serverHalfLife and pressureHalfLife are the corresponding times for the failures of
	// servers and for late or refused calls. Servers that start to fail are to be found
	// within two seconds.
	serverHalfLife   = 3 * time.Second
	pressureHalfLife = 2 * time.Second
	// pressurePrior is the number of calls on time that is assumed at first.
	pressurePrior = 4
	// maxServers bounds the servers of a service whose failures are counted.
	maxServers = 256
	// minServerFailures is the number of failures without which a server does not count as
	// failing more often than others.
	minServerFailures = 1.9
	// minDeviation is how many standard deviations more failures than expected it must have.
	minDeviation = 2.5
)

// tally counts events with a result; counts decay with time.
type tally struct {
	total, positive float64
	at              time.Time
}

func (c *tally) decay(now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		c.total, c.positive, c.at = c.total*factor, c.positive*factor, now
	}
}

func (c *tally) add(positive bool, now time.Time, halfLife time.Duration) {
	c.decay(now, halfLife)
	c.total++
	if positive {
		c.positive++
	}
}

// addLimited adds the result of a retry.
func (c *tally) addLimited(positive bool, now time.Time) {
	c.add(positive, now, retryHalfLife)
	if c.total > maxRetryWeight {
		c.positive *= maxRetryWeight / c.total
		c.total = maxRetryWeight
	}
}

// BenefitReason is the reason why a call is retried after a server's own error, or not.
type BenefitReason string

const (
	BenefitExpected BenefitReason = "expected"   // retried: the chance of another outcome is worth it
	BenefitOfServer BenefitReason = "server"     // retried: the server fails much more often than the others
	BenefitProbe    BenefitReason = "probe"      // retried to learn whether retries help
	BenefitNone     BenefitReason = "no_benefit" // not retried: the outcome would be the same, or other calls would be late
	BenefitRepeated BenefitReason = "repeated"   // not retried: it has just failed at two servers, and its caller has repeated it
)

// Retries reports whether the call is retried.
func (r BenefitReason) Retries() bool {
	return r == BenefitExpected || r == BenefitOfServer || r == BenefitProbe
}

// Failed describes a call that a server has answered with an error of its own.
type Failed struct {
	Server string
	// Errors is the number of servers that have answered this attempt of the caller with
	// errors of their own.
	Errors int
}

// Benefit learns how often a retry after a server's own error has another outcome, for the
// calls of one service, and decides which calls are retried. While nothing is known, all
// are. It is not safe for concurrent use.
//
// Errors that depend on the call recur at every server: without this, such a call is
// executed four times, twice for each attempt of its caller.
type Benefit struct {
	second, third tally // retries after one error and after more; positive: another outcome
	servers       map[string]*tally
	pressure      tally   // calls; positive: late, or refused for want of room
	credit        float64 // probes that may be made
}

// NewBenefit returns a Benefit without evidence.
func NewBenefit() *Benefit { return &Benefit{servers: map[string]*tally{}} }

// RecordAnswer records that a server has answered a call, and whether with an error of
// its own.
func (b *Benefit) RecordAnswer(server string, failed bool, now time.Time) {
	counts := b.servers[server]
	if counts == nil {
		if len(b.servers) >= maxServers {
			b.pruneServers(now)
		}
		counts = &tally{at: now}
		b.servers[server] = counts
	}
	counts.add(failed, now, serverHalfLife)
}

// pruneServers drops servers without recent answers, or all if that drops none.
func (b *Benefit) pruneServers(now time.Time) {
	for id, counts := range b.servers {
		if now.Sub(counts.at) > serverHalfLife {
			delete(b.servers, id)
		}
	}
	if len(b.servers) >= maxServers {
		clear(b.servers)
	}
}

// RecordRetry records whether a retry had another outcome, after errors of the given
// number of servers.
func (b *Benefit) RecordRetry(errors int, helped bool, now time.Time) {
	b.results(errors).addLimited(helped, now)
}

// RecordEnd records whether a call was late, or refused for want of room.
func (b *Benefit) RecordEnd(missed bool, now time.Time) {
	b.pressure.add(missed, now, pressureHalfLife)
}

func (b *Benefit) results(errors int) *tally {
	if errors <= 1 {
		return &b.second
	}
	return &b.third
}

// Decide decides whether a call is retried. It never returns BenefitRepeated, which the
// caller knows.
//
// A retry takes the place of another call. The chance that this one is late or refused
// for it is estimated by the share of calls that are.
func (b *Benefit) Decide(call Failed, now time.Time) BenefitReason {
	b.pressure.decay(now, pressureHalfLife)
	cost := max(minBenefit, b.pressure.positive/(b.pressure.total+pressurePrior))
	ofServer, expected := b.chanceOfServer(call.Server, now), b.chance(call.Errors, now)
	switch {
	case ofServer > cost:
		return BenefitOfServer
	case expected > cost:
		return BenefitExpected
	}
	if b.credit += probeShare; b.credit >= 1 {
		b.credit--
		return BenefitProbe
	}
	return BenefitNone
}

// chance returns the learned chance that a retry has another outcome; without evidence,
// one half.
func (b *Benefit) chance(errors int, now time.Time) float64 {
	counts := b.results(errors)
	counts.decay(now, retryHalfLife)
	return (counts.positive + 1) / (counts.total + 2)
}

// chanceOfServer returns the chance that a call that failed at a server would not have
// failed at another one, if the server fails significantly more often than the others of
// its service; otherwise zero.
func (b *Benefit) chanceOfServer(server string, now time.Time) float64 {
	var own, others tally
	for id, counts := range b.servers {
		counts.decay(now, serverHalfLife)
		if id == server {
			own = *counts
			continue
		}
		others.total += counts.total
		others.positive += counts.positive
	}
	if own.positive < minServerFailures || others.total < minServerFailures {
		return 0
	}
	usual := (others.positive + 0.5) / (others.total + 5)
	expected := usual * own.total
	if own.positive < expected+minDeviation*math.Sqrt(expected) {
		return 0
	}
	return 1 - usual*own.total/own.positive
}
