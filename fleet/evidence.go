package fleet

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	msgAvoided = "backend server is avoided: requests of several hosts failed there"

	// witnessWindow is how long a host's failure counts; hosts report
	// failures at once, and every 0.7 s at the latest.
	witnessWindow = time.Second
	// witnessesNeeded is how many hosts must have failed at a server, without
	// an answer to anybody since. One may be cut off from it itself.
	witnessesNeeded = 2
	// avoidedFor is how long such a server gets no work. A crashed one comes
	// back as another life, so that a longer time costs it nothing.
	avoidedFor = 3 * time.Second
)

// Evidence is how requests of one entry host to a server ended in some time.
type Evidence struct {
	Failed, Answered int
	Born             int64 // of the server's life; zero: not said
}

// noteOwn takes in the outcome of a request of this host. Called with mu held.
func (t *Table) noteOwn(e *entry, failed bool) {
	if failed {
		e.evidence.Failed++
	} else {
		e.evidence.Answered++
	}
	t.witness(e, t.host, failed)
	if failed || t.isEngine(e) {
		t.tellOwn()
	}
}

// TakeEvidence returns how this host's requests to the servers of a service
// ended since it was called last, without those that had none.
func (t *Table) TakeEvidence(service string) map[string]Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return takeEvidence(t.service(service))
}

// takeEvidence is called with the table's mu held.
func takeEvidence(s *service) map[string]Evidence {
	taken := map[string]Evidence{}
	for _, e := range s.members {
		if e.evidence == (Evidence{}) {
			continue
		}
		e.evidence.Born = e.server.Born
		taken[e.server.ID] = e.evidence
		e.evidence = Evidence{}
	}
	return taken
}

// TakeCallEvidence returns how this host's calls to plain servers ended since it
// was called last, and whether any of them failed.
func (t *Table) TakeCallEvidence() (taken map[string]Evidence, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken = map[string]Evidence{}
	for _, s := range t.services {
		if s.memoryTokens > 0 {
			continue
		}
		for id, evidence := range takeEvidence(s) {
			taken[id] = evidence
			failed = failed || evidence.Failed > 0
		}
	}
	return taken, failed
}

// Shunned returns the plain servers at which calls of several hosts failed, and
// for how much longer they get calls only where no other server has a place.
func (t *Table) Shunned() map[Life]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	shunned, now := map[Life]time.Duration{}, time.Now()
	for _, e := range t.servers {
		if left := e.shunnedUntil.Sub(now); left > 0 && !t.isEngine(e) {
			shunned[e.server.Life()] = left
		}
	}
	return shunned
}

// Shun takes in another host's word that a plain server is shunned.
func (t *Table) Shun(life Life, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entryOf(life); e != nil && !t.isEngine(e) {
		e.shunnedUntil = time.Now().Add(min(left, avoidedFor))
	}
}

// Witness takes in what another entry host's requests to a server came to.
func (t *Table) Witness(host, server string, evidence Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(Life{server, evidence.Born})
	if e == nil {
		return
	}
	for i := range evidence.Failed + evidence.Answered {
		t.judge(e, i < evidence.Failed)
	}
	if evidence.Failed > 0 || evidence.Answered > 0 {
		t.witness(e, host, evidence.Answered == 0)
	}
}

// witness notes that a host's request failed or was answered. Called with mu
// held.
//
// Failure: an engine crashes and all its generations end at once. To an
// allocator it looks like the emptiest of all, and the next generations go
// there one after the other until its entry is gone seconds later. A server is
// avoided once requests of two hosts failed there without an answer to anybody
// between.
func (t *Table) witness(e *entry, host string, failed bool) {
	now := time.Now()
	if !failed {
		clear(e.witnesses)
		e.answered = now
		return
	}
	e.witnesses[host] = now
	for other, at := range e.witnesses {
		if now.Sub(at) > witnessWindow {
			delete(e.witnesses, other)
		}
	}
	rest := e.restOf(t.isEngine(e))
	if len(e.witnesses) < witnessesNeeded || now.Before(*rest) {
		return
	}
	*rest = now.Add(avoidedFor)
	t.logger.Warn(msgAvoided, zap.String("server", e.server.ID), zap.String("address", e.server.Address),
		zap.Strings("witnesses", slices.Sorted(maps.Keys(e.witnesses))), zap.Duration("for", avoidedFor))
}

// restOf returns until when the server rests after failures of several hosts. An
// engine gets nothing then; plain servers are few, and one that rests still
// gets calls where no other has a place.
func (e *entry) restOf(engine bool) *time.Time {
	if engine {
		return &e.unreachable
	}
	return &e.shunnedUntil
}

// Avoided returns the IDs of the servers of a service that get no work of this
// host now for reasons that other hosts may not know: they took no connection
// of it, failed, or told it that they leave or want nothing from it now.
func (t *Table) Avoided(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	now := time.Now()
	for _, e := range t.service(service).members {
		if now.Before(e.unreachable) || t.resting(e.server.ID, now) || t.saysLeaving(e.server.Life()) {
			ids = append(ids, e.server.ID)
		}
	}
	return ids
}
