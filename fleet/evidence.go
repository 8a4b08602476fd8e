package fleet

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	msgAvoided = "backend server is avoided: requests of several hosts failed there"

	// failureWindow is how long a host's failure counts. Hosts report failures
	// after 20 ms. A host that has used up its early reports reports them at its
	// report interval, which is 0.2 s in a fleet of up to 64 hosts, 0.7 s with
	// 224 hosts, and longer in larger fleets.
	failureWindow = time.Second
	// failureQuorum is the number of hosts whose requests must have failed at a
	// server, with no request answered since the first failure, before the
	// server is avoided. A single host may be partitioned from the server.
	failureQuorum = 2
	// avoidedFor is how long a server is avoided after failures of failureQuorum
	// hosts: an engine gets no work, a plain server gets calls only if no other
	// server has capacity. A server that crashed and restarted is a new
	// incarnation and is not avoided, so a longer time would not delay it.
	avoidedFor = 3 * time.Second
)

// Evidence counts the outcomes of one entry host's requests to a server over some interval.
type Evidence struct {
	Failed, Answered int
	// GapKept and GapMissed count generations that kept or missed the gap goals of their
	// routes; see Work.GapGoal.
	GapKept, GapMissed int
	Born               int64 // start time of the server's incarnation, Unix ms; zero: not reported
}

// recordOwnOutcome records the outcome of a request of this host. Requires mu.
func (t *Table) recordOwnOutcome(e *entry, failed bool) {
	if failed {
		e.evidence.Failed++
	} else {
		e.evidence.Answered++
	}
	t.evident[e] = struct{}{}
	t.recordHostOutcome(e, t.host, failed)
	if failed || t.isEngine(e) {
		t.notifyOwnChange()
	}
}

// TakeEvidence returns the outcomes of this host's requests to the servers of a
// service since the last call. Servers without outcomes are left out.
func (t *Table) TakeEvidence(service string) map[string]Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeEvidence(func(e *entry) bool { return e.server.Service == service })
}

// takeEvidence requires mu.
func (t *Table) takeEvidence(wanted func(*entry) bool) map[string]Evidence {
	outcomes := map[string]Evidence{}
	for e := range t.evident {
		if t.servers[e.server.ID] != e {
			delete(t.evident, e) // its incarnation has ended
			continue
		}
		if !wanted(e) {
			continue
		}
		e.evidence.Born = e.server.Born
		outcomes[e.server.ID] = e.evidence
		e.evidence = Evidence{}
		delete(t.evident, e)
	}
	return outcomes
}

// TakeCallEvidence returns the outcomes of this host's calls to plain servers
// since the last call, and whether any of them failed.
func (t *Table) TakeCallEvidence() (outcomes map[string]Evidence, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcomes = t.takeEvidence(func(e *entry) bool { return !t.isEngine(e) })
	for _, evidence := range outcomes {
		failed = failed || evidence.Failed > 0
	}
	return outcomes, failed
}

// Shunned returns the plain servers at which calls of several hosts failed, and
// the remaining time during which they get calls only if no other server has
// capacity. A call is a request to a plain server.
func (t *Table) Shunned() map[Incarnation]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	shunned, now := map[Incarnation]time.Duration{}, time.Now()
	for e := range t.restrictedNow(now) {
		if left := e.shunnedUntil.Sub(now); left > 0 && !t.isEngine(e) {
			shunned[e.server.Incarnation()] = left
		}
	}
	return shunned
}

// Shun applies another host's report that a plain server is to be avoided.
func (t *Table) Shun(incarnation Incarnation, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entryOf(incarnation); e != nil && !t.isEngine(e) {
		e.shunnedUntil = time.Now().Add(min(left, avoidedFor))
		t.restrict(e)
	}
}

// ApplyOutcomes applies the outcomes of another entry host's requests to a server.
func (t *Table) ApplyOutcomes(host, server string, evidence Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(Incarnation{server, evidence.Born})
	if e == nil {
		return
	}
	for i := range evidence.Failed + evidence.Answered {
		t.recordOutcome(e, i < evidence.Failed)
	}
	if evidence.Failed > 0 || evidence.Answered > 0 {
		t.recordHostOutcome(e, host, evidence.Answered == 0)
	}
	t.recordGaps(e, evidence)
}

// recordHostOutcome records that a host's request failed or was answered. A
// server is avoided once requests of two hosts have failed there with no
// request answered in between. Requires mu.
//
// When an engine crashes, all its generations end at once. To an allocator it
// then looks like the emptiest engine, and gets one generation after another
// until its host list entry expires seconds later.
func (t *Table) recordHostOutcome(e *entry, host string, failed bool) {
	now := time.Now()
	if !failed {
		clear(e.failedHosts)
		e.lastAnswer = now
		return
	}
	e.failedHosts[host] = now
	for other, at := range e.failedHosts {
		if now.Sub(at) > failureWindow {
			delete(e.failedHosts, other)
		}
	}
	until := e.avoidedUntil(t.isEngine(e))
	if len(e.failedHosts) < failureQuorum || now.Before(*until) {
		return
	}
	*until = now.Add(avoidedFor)
	t.restrict(e)
	t.logger.Warn(msgAvoided, zap.String("server", e.server.ID), zap.String("address", e.server.Address),
		zap.Strings("witnesses", slices.Sorted(maps.Keys(e.failedHosts))), zap.Duration("for", avoidedFor))
}

// avoidedUntil returns a pointer to the time until which a server is avoided
// after failures of several hosts. For an engine that is unavailableUntil: it
// gets no work. For a plain server it is shunnedUntil: plain servers are few, so
// it still gets calls if no other server has capacity.
func (e *entry) avoidedUntil(engine bool) *time.Time {
	if engine {
		return &e.unavailableUntil
	}
	return &e.shunnedUntil
}

// Avoided returns the IDs of a service's servers that currently get no work
// from this host for reasons that other hosts may not have observed: the server
// is unreachable, is an engine at which requests of several hosts failed,
// requested a backoff from this host, is brittle and rejected a request of this host,
// limits its request rate and gets no request
// of this host now, may have been replaced, or reported to it that it is leaving.
func (t *Table) Avoided(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	avoided := map[string]bool{}
	now := time.Now()
	for e := range t.restrictedNow(now) {
		avoided[e.server.ID] = now.Before(e.unavailableUntil) || t.rejectionPause(e, now) > 0
	}
	for id, until := range t.backoffs {
		avoided[id] = avoided[id] || now.Before(until)
	}
	for id := range t.rateLimits {
		avoided[id] = avoided[id] || t.rateLimitWait(id, now) > 0
	}
	for id, report := range t.leavingReports {
		avoided[id] = avoided[id] || t.entryOf(report.incarnation) != nil
	}
	for e := range t.suspects {
		avoided[e.server.ID] = avoided[e.server.ID] || e.suspicion.unusable()
	}
	maps.DeleteFunc(avoided, func(id string, avoid bool) bool {
		return !avoid || t.servers[id] == nil || t.servers[id].server.Service != service
	})
	return slices.Sorted(maps.Keys(avoided))
}

// restrict adds a server to those that are unavailable, shunned or paused. Requires mu.
func (t *Table) restrict(e *entry) { t.restricted[e] = struct{}{} }

// restrictedNow returns the servers that are unavailable, shunned or paused, and forgets
// those that no longer are. Requires mu.
func (t *Table) restrictedNow(now time.Time) map[*entry]struct{} {
	maps.DeleteFunc(t.restricted, func(e *entry, _ struct{}) bool {
		ended := !now.Before(e.unavailableUntil) && !now.Before(e.shunnedUntil) && !now.Before(e.pausedUntil)
		return ended || t.servers[e.server.ID] != e
	})
	return t.restricted
}
