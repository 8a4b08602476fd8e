// Package servicetime learns how long a plain server takes for a call, as a function of the
// number of requests that it runs. It does no I/O.
package servicetime

import (
	"math"
	"time"
)

const (
	// bins divides the slots of a server: what is learned is kept by eighths of slots in use.
	bins = 8
	// halfLife is the time in which the weight of a sample halves. A server that was slow and
	// has got no calls since is tried again after a few half-lives at the latest.
	halfLife = 5 * time.Second
	// maxWeight limits the weight of all samples of a bin together, and priorWeight is the
	// weight of what fuller or emptier bins show about it. A change is followed within a few
	// samples.
	maxWeight   = 4
	priorWeight = 1
	// usualWeight is the weight of the newest call in the moving mean of the usual time.
	usualWeight = 0.1
	// maxDeviation bounds one sample relative to what is expected, so that one call that takes
	// very long does not move the mean far.
	maxDeviation = 3.0
	// minFactor and maxFactor bound the service time relative to the usual one.
	minFactor, maxFactor = 0.1, 20.0
)

// Sample is what the answer to a call shows about its server.
type Sample struct {
	Running, Waiting, Slots int
	// Percent is the server's current service time in percent of the usual one; zero: not
	// reported.
	Percent int
	// Took is the time that the call took, including its wait at the server; zero: not known.
	Took time.Duration
}

// bin is the mean service time at one number of running requests, relative to the usual one.
type bin struct {
	factor, weight float64
	at             time.Time
}

func (b *bin) decayed(now time.Time) float64 {
	return b.weight * math.Exp2(-max(0, now.Sub(b.at).Seconds())/halfLife.Seconds())
}

func (b *bin) add(factor float64, now time.Time) {
	weight := min(maxWeight, b.decayed(now)) + 1
	b.factor += (factor - b.factor) / weight
	b.weight, b.at = weight, now
}

// Learner learns the service time of one server. The zero value knows nothing. It is not
// safe for concurrent use.
type Learner struct {
	usual time.Duration // moving mean; zero: not known
	bins  [bins]bin
}

func binOf(running, slots int) int {
	return min(max(1, (running*bins+slots-1)/slots), bins) - 1
}

// Record records a sample. The usual time of the service is the first guess for that of a
// server; zero: not known.
func (l *Learner) Record(s Sample, service time.Duration, now time.Time) {
	if s.Slots <= 0 {
		return
	}
	at := binOf(s.Running, s.Slots)
	if l.usual == 0 {
		l.usual = service
	}
	// A call that found the same queue as it left behind has waited for its turn.
	own := float64(s.Took) / (1 + float64(s.Waiting)/float64(s.Slots))
	if s.Percent > 0 {
		factor := min(max(float64(s.Percent)/100, minFactor), maxFactor)
		l.bins[at].add(factor, now)
		l.recordUsual(own / factor)
		return
	}
	if l.usual == 0 || at < bins/2 && s.Waiting == 0 {
		l.recordUsual(own)
	}
	if at >= bins/2 && own > 0 && l.usual > 0 {
		l.bins[at].add(min(maxDeviation, own/float64(l.usual)), now)
	}
}

func (l *Learner) recordUsual(took float64) {
	switch {
	case took <= 0:
	case l.usual == 0:
		l.usual = time.Duration(took)
	default:
		usual := float64(l.usual)
		took = min(max(took, usual/maxDeviation), usual*maxDeviation)
		l.usual = time.Duration(usual + usualWeight*(took-usual))
	}
}

// Usual returns the usual service time; zero: not known.
func (l *Learner) Usual() time.Duration { return l.usual }

// Estimate returns what is known at a time. The usual time of the service is used while
// nothing is known of the server itself. It returns nil if neither is known.
//
// A server is not expected to serve a call faster because it runs more of them, so bins
// without recent samples take the value of the next emptier one.
func (l *Learner) Estimate(slots int, service time.Duration, now time.Time) *Estimate {
	usual := l.usual
	if usual == 0 {
		usual = service
	}
	if usual == 0 || slots <= 0 {
		return nil
	}
	e := &Estimate{slots: slots, usual: service}
	if service == 0 {
		e.usual = usual
	}
	before := 1.0
	for i := range l.bins {
		b := &l.bins[i]
		weight := b.decayed(now)
		factor := (b.factor*weight + before*priorWeight) / (weight + priorWeight)
		if i > 0 {
			factor = max(factor, before)
		}
		e.times[i] = time.Duration(factor * float64(usual))
		before = factor
	}
	e.best = e.mostThroughput()
	return e
}

// Estimate is the expected service time of a server by its number of running requests.
type Estimate struct {
	slots int
	times [bins]time.Duration
	best  int
	usual time.Duration // of the service
}

// Time returns the expected service time while the server runs the given number of
// requests.
func (e *Estimate) Time(running int) time.Duration { return e.times[binOf(running, e.slots)] }

// Best returns the number of running requests with which the server completes the most
// requests per second.
func (e *Estimate) Best() int { return e.best }

// mostThroughput tries the highest number of running requests of each bin: within a bin the
// service time is the same.
func (e *Estimate) mostThroughput() int {
	best, most := 1, 0.0
	for bin := range bins {
		running := max(1, (bin+1)*e.slots/bins)
		if rate := float64(running) / float64(e.Time(running)); rate > most {
			best, most = running, rate
		}
	}
	return best
}

// End returns the expected time until the end of a call that joins the given number of
// requests at the server: the wait for its turn and its service time.
func (e *Estimate) End(inFlight float64) time.Duration {
	if inFlight < float64(e.slots) {
		return e.Time(int(inFlight) + 1)
	}
	full := e.Time(e.slots)
	return full + time.Duration((inFlight-float64(e.slots)+1)/float64(e.slots)*float64(full))
}

// Usual returns the usual service time of the service.
func (e *Estimate) Usual() time.Duration { return e.usual }
