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
	t.ownChanged(e)
}

// TakeEvidence returns how this host's requests to the servers of a service
// ended since it was called last, without those that had none.
func (t *Table) TakeEvidence(service string) map[string]Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := map[string]Evidence{}
	for _, e := range t.service(service).members {
		if e.evidence == (Evidence{}) {
			continue
		}
		e.evidence.Born = e.server.Born
		taken[e.server.ID] = e.evidence
		e.evidence = Evidence{}
	}
	return taken
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
// there one after the other until its entry is gone seconds later: of 875 long
// ones on a day with crashes 49 were lost, and 17 where the allocator heard late
// that the crashed engine's had ended. A server is avoided once requests of two hosts
// failed there without an answer to anybody between.
func (t *Table) witness(e *entry, host string, failed bool) {
	if !failed {
		clear(e.witnesses)
		return
	}
	now := time.Now()
	e.witnesses[host] = now
	for other, at := range e.witnesses {
		if now.Sub(at) > witnessWindow {
			delete(e.witnesses, other)
		}
	}
	if len(e.witnesses) < witnessesNeeded || now.Before(e.unreachable) {
		return
	}
	e.unreachable = now.Add(avoidedFor)
	t.logger.Warn(msgAvoided, zap.String("server", e.server.ID), zap.String("address", e.server.Address),
		zap.Strings("witnesses", slices.Sorted(maps.Keys(e.witnesses))), zap.Duration("for", avoidedFor))
}

// Avoided returns the IDs of the servers of a service that get no work of this
// host now, as they took no connection of it or failed.
func (t *Table) Avoided(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	now := time.Now()
	for _, e := range t.service(service).members {
		if now.Before(e.unreachable) {
			ids = append(ids, e.server.ID)
		}
	}
	return ids
}
