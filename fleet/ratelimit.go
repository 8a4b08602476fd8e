package fleet

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/papayasail/papayasail/sharing"
)

const (
	msgRateLimited      = "backend server limits its request rate"
	msgRateLimitRemoved = "backend server no longer limits its request rate"

	rateSourceAnswer = "answer"
	rateSourcePeer   = "peer"

	// minRateLimit is the lowest rate in requests per second that is enforced; at a
	// lower one the end of the limit would not be noticed for minutes.
	minRateLimit = 0.05
	// spareSenders is added to the number of hosts that share a rate limit, so that
	// a low limit does not depend on a single host.
	spareSenders = 3
	// otherSendersShare is the fraction of a rate limit that the hosts which do not
	// share it may use in addition, all together. Their requests show them that the
	// limit has ended if gossip does not reach them.
	otherSendersShare = 1.0 / 8
	// rateBurst is the time over which a host may save up its share.
	rateBurst = 500 * time.Millisecond
	// removedLimitRetention is how long the end of a limit is kept to override older
	// records at other hosts.
	removedLimitRetention = time.Minute
	// absentLimitRetention is how long the limit of a server is kept that is not in
	// the table. An entry that expired during a store outage returns within that time.
	absentLimitRetention = 30 * time.Minute
	// pruneInterval is the minimum time between two checks for limits to drop.
	pruneInterval = time.Second
	// maxRateLimits bounds the limits learned from other hosts.
	maxRateLimits = 4096
	// rateLimitRetransmits is how often a changed limit is gossiped with priority,
	// maxGossipedLimits how many limits a message has, and maxRepeatedLimits how many of
	// them are repeated without a change: a record has some 30 bytes.
	rateLimitRetransmits = 8
	maxGossipedLimits    = 8
	maxRepeatedLimits    = 2
)

// RateLimit is the request rate that a server accepts from all hosts together. Of
// two records of a server, the one with the lower Age takes precedence.
type RateLimit struct {
	Server    string        // ID
	PerSecond float64       // requests per second; zero: the limit has ended
	Age       time.Duration // time since an answer of the server showed this
}

// rateLimit is the state of a server's limit. It is kept by server ID, also while the
// server has no host list entry and after it has restarted: only an answer without a
// limit ends it.
type rateLimit struct {
	perSecond       float64   // zero: the limit has ended
	observed        time.Time // when an answer last showed this
	limiter         *rate.Limiter
	retransmitsLeft int // remaining messages in which the change has priority
}

// Sharers returns the entry hosts among which what a server accepts is divided.
func (t *Table) Sharers() *sharing.Hosts { return t.sharers }

// SetHosts sets the names of the entry hosts that are present, and this host's shares of
// all rate limits.
func (t *Table) SetHosts(present []string) {
	t.sharers.SetPresent(present)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateShares(time.Now())
}

// JoinHosts is SetHosts for a host that has met its peers; gone are the hosts that these
// know to be gone.
func (t *Table) JoinHosts(present, gone []string) {
	t.sharers.Join(present, gone)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateShares(time.Now())
}

// updateShares sets this host's shares of all limits. Requires mu.
func (t *Table) updateShares(now time.Time) {
	for id, l := range t.rateLimits {
		t.updateLimiter(id, l, now)
	}
}

// pruneRateLimits drops limits that have ended or whose servers are gone, and updates the
// shares of the others. Requires mu.
func (t *Table) pruneRateLimits(now time.Time) {
	if now.Sub(t.rateLimitsPruned) < pruneInterval {
		return
	}
	t.rateLimitsPruned = now
	maps.DeleteFunc(t.rateLimits, func(id string, l *rateLimit) bool {
		age := now.Sub(l.observed)
		return l.perSecond == 0 && age > removedLimitRetention || t.servers[id] == nil && age > absentLimitRetention
	})
	t.updateShares(now)
}

// SetRateLimit records the rate limit that a server names in an answer, in requests
// per second; zero: it names none. The request was sent at the given time: an answer
// without a limit may be older than one with a limit that arrived before it.
func (t *Table) SetRateLimit(id string, perSecond float64, sent time.Time) {
	now := time.Now()
	t.mu.Lock()
	known := t.rateLimits[id]
	limited := known != nil && known.perSecond > 0
	changed := false
	switch {
	case perSecond > 0:
		changed = t.setRateLimit(RateLimit{Server: id, PerSecond: perSecond}, now, now, rateSourceAnswer)
	case limited && sent.After(known.observed):
		changed = t.setRateLimit(RateLimit{Server: id}, sent, now, rateSourceAnswer)
	}
	t.mu.Unlock()
	if changed {
		t.announce()
	}
}

// announce calls OnNews. It must be called without mu held.
func (t *Table) announce() {
	if t.OnNews != nil {
		t.OnNews()
	}
}

// MergeRateLimits merges records from another host and reports whether a limit has
// begun or ended for this host.
func (t *Table) MergeRateLimits(records []RateLimit) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, r := range records {
		known, observed := t.rateLimits[r.Server], now.Add(-r.Age)
		switch {
		case !(r.PerSecond >= 0) || math.IsInf(r.PerSecond, 0): // negated so that NaN is rejected too
		case known == nil && (r.PerSecond == 0 || len(t.rateLimits) >= maxRateLimits):
		case known == nil || observed.After(known.observed):
			changed = t.setRateLimit(r, observed, now, rateSourcePeer) || changed
		}
	}
	return changed
}

// setRateLimit stores a record and reports whether a limit has begun or ended.
// Requires mu.
func (t *Table) setRateLimit(r RateLimit, observed, now time.Time, source string) bool {
	t.pruneRateLimits(now)
	l := t.rateLimits[r.Server]
	if l == nil {
		l = &rateLimit{}
		t.rateLimits[r.Server] = l
	}
	before := l.perSecond
	l.perSecond, l.observed = r.PerSecond, observed
	if before == l.perSecond {
		return false
	}
	t.updateLimiter(r.Server, l, now)
	if (before > 0) == (l.perSecond > 0) {
		return false
	}
	l.retransmitsLeft = rateLimitRetransmits
	message := msgRateLimited
	if l.perSecond == 0 {
		message = msgRateLimitRemoved
	}
	t.logger.Info(message, zap.String("server", r.Server), zap.Float64("per_second", l.perSecond), zap.Float64("per_second_before", before),
		zap.String("source", source))
	t.notifyChanged()
	return true
}

// updateLimiter sets this host's share of a limit. Requires mu.
func (t *Table) updateLimiter(id string, l *rateLimit, now time.Time) {
	if l.perSecond == 0 {
		l.limiter = nil
		return
	}
	share, sharing := t.rateShare(id, max(l.perSecond, minRateLimit))
	burst := max(1, int(share*rateBurst.Seconds()))
	if l.limiter != nil {
		l.limiter.SetLimitAt(now, rate.Limit(share))
		l.limiter.SetBurstAt(now, burst)
		return
	}
	l.limiter = rate.NewLimiter(rate.Limit(share), burst)
	if !sharing {
		// Spreads the first requests of these hosts over the time in which each may send one.
		saved := time.Duration(rand.Float64() / share * float64(time.Second))
		l.limiter.AllowN(now.Add(-saved), 1)
	}
}

// rateShare returns how many requests per second of a server's limit this host may
// send, and whether it is one of the hosts that share the limit. Requires mu.
//
// A host with a share below one request in a few seconds may still send one at any
// time. With hundreds of hosts these single requests would exceed a low limit many
// times over, so only about as many hosts share a limit as it allows requests in a
// second.
func (t *Table) rateShare(id string, perSecond float64) (share float64, sharing bool) {
	hosts := t.sharers.Count()
	senders := min(hosts, int(min(perSecond, float64(hosts)))+spareSenders)
	if senders == hosts || t.rankFor(id) < senders {
		return perSecond / float64(senders), true
	}
	return perSecond * otherSendersShare / float64(hosts), false
}

// rankFor returns how many hosts precede this one in the order of hosts that is
// specific to a server. Requires mu.
func (t *Table) rankFor(id string) int {
	own := hashFraction(t.host, id)
	return t.sharers.CountIf(func(host string) bool {
		other := hashFraction(host, id)
		return other < own || other == own && host < t.host
	})
}

// rateLimitWait returns the time until a server's limit allows a request of this
// host. Requires mu.
func (t *Table) rateLimitWait(id string, now time.Time) time.Duration {
	l := t.rateLimits[id]
	if l == nil || l.limiter == nil {
		return 0
	}
	missing := 1 - l.limiter.TokensAt(now)
	return max(0, time.Duration(missing/float64(l.limiter.Limit())*float64(time.Second)))
}

// takeRate counts a request of this host against a server's limit, and reports
// whether the limit allows it. Requires mu.
func (t *Table) takeRate(id string, now time.Time) bool {
	l := t.rateLimits[id]
	return l == nil || l.limiter == nil || l.limiter.AllowN(now, 1)
}

// overdrawRate counts a request that is sent whatever the limit allows. Requires mu.
func (t *Table) overdrawRate(id string, now time.Time) {
	if l := t.rateLimits[id]; l != nil && l.limiter != nil {
		l.limiter.ReserveN(now, 1)
	}
}

// RateLimited returns the IDs of a service's servers that limit their request rate.
func (t *Table) RateLimited(service string) (ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.rateLimits {
		if e := t.servers[id]; e != nil && e.server.Service == service && l.perSecond > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// RateLimits returns all known limits, for a host that joins.
func (t *Table) RateLimits() []RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	records := make([]RateLimit, 0, len(t.rateLimits))
	for id, l := range t.rateLimits {
		records = append(records, RateLimit{id, l.perSecond, now.Sub(l.observed)})
	}
	return records
}

// GossipRateLimits returns the limits for the next gossip message, at most
// maxGossipedLimits: changed ones, and maxRepeatedLimits of all in turn.
func (t *Table) GossipRateLimits() []RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.rateLimits) == 0 {
		return nil
	}
	now := time.Now()
	t.pruneRateLimits(now)
	var records []RateLimit
	gossip := func(id string, l *rateLimit) {
		records = append(records, RateLimit{id, l.perSecond, now.Sub(l.observed)})
	}
	for id, l := range t.rateLimits {
		if l.retransmitsLeft > 0 && len(records) < maxGossipedLimits-maxRepeatedLimits {
			l.retransmitsLeft--
			gossip(id, l)
		}
	}
	if len(t.gossipTurn) == 0 {
		t.gossipTurn = slices.Collect(maps.Keys(t.rateLimits))
	}
	for range min(maxRepeatedLimits, len(t.gossipTurn)) {
		id := t.gossipTurn[0]
		t.gossipTurn = t.gossipTurn[1:]
		if l := t.rateLimits[id]; l != nil {
			gossip(id, l)
		}
	}
	return records
}
