package fleet

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	msgSuspected = "backend server may take no new work"
	msgRefuted   = "backend server takes work, contrary to a suspicion"

	// minSuspectInterval is the minimum mean time between two queries of this host to a suspect.
	minSuspectInterval = 500 * time.Millisecond
)

// Suspicion is indirect evidence that a server takes no new work: servers that stay give
// rise to it too. It is not passed to other hosts, and holds until the server proves the
// contrary, announces that it is leaving, or is removed. Hosts query suspects.
type Suspicion string

const (
	// SuspectLeaving arises from a refusal that closes its connection, as leaving servers
	// send. Full servers refuse too, and any answer may close its connection. The server
	// gets requests only if no other server has capacity.
	SuspectLeaving Suspicion = "refuses_and_closes"
	// SuspectReplaced arises from an answer of another server at the address. The server
	// gets no requests.
	SuspectReplaced Suspicion = "another_server_answers"
)

// Refutation is what showed that a suspicion was wrong.
type Refutation string

// Refutations.
const (
	RefutedByAnswer Refutation = "answer"    // it accepted a request
	RefutedByHealth Refutation = "health"    // it reported that it is healthy
	RefutedByEntry  Refutation = "host_list" // it has renewed its host list entry
)

// suspicionState is the suspicion against a server.
type suspicionState struct {
	because   Suspicion // "": there is none
	at        time.Time // of the newest evidence
	nextQuery time.Time // not queried by SuspectsDue before
}

func (s *suspicionState) lastResort() bool { return s.because == SuspectLeaving }

func (s *suspicionState) unusable() bool { return s.because == SuspectReplaced }

// Suspect records an answer that gives rise to a suspicion. It has no effect on a server
// that is leaving.
func (t *Table) Suspect(incarnation Incarnation, because Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(incarnation)
	if e == nil || e.leaving {
		return
	}
	now := time.Now()
	e.suspicion.at = now
	if e.suspicion.because == because || e.suspicion.unusable() {
		return
	}
	if e.suspicion.because == "" {
		e.suspicion.nextQuery = now.Add(rand.N(t.suspectInterval()))
	}
	e.suspicion.because = because
	t.suspects[e] = struct{}{}
	select {
	case t.suspected <- struct{}{}:
	default:
	}
	t.logger.Info(msgSuspected, zap.String("server", e.server.ID), zap.String("address", e.server.Address), zap.String("because", string(because)))
}

// Refute ends the suspicion against a server that has shown that it takes work, if the
// evidence is newer: since is the earliest time at which it can have arisen.
func (t *Table) Refute(incarnation Incarnation, by Refutation, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return
	}
	if e := t.entryOf(incarnation); e != nil && since.After(e.suspicion.at) {
		t.refute(e, by)
	}
}

// refute requires mu.
func (t *Table) refute(e *entry, by Refutation) {
	if e.suspicion.because == "" {
		return
	}
	t.logger.Info(msgRefuted, zap.String("server", e.server.ID), zap.String("address", e.server.Address),
		zap.String("because", string(e.suspicion.because)), zap.String("refuted_by", string(by)), zap.Duration("after", time.Since(e.suspicion.at)))
	t.endSuspicion(e)
	t.notifyChanged()
}

// endSuspicion requires mu.
func (t *Table) endSuspicion(e *entry) {
	e.suspicion = suspicionState{}
	delete(t.suspects, e)
}

// Suspected returns a channel that receives a token when a server has become a suspect.
func (t *Table) Suspected() <-chan struct{} { return t.suspected }

// suspectInterval returns the mean time between two queries of this host to a suspect. It
// grows with the number of hosts, all of which may suspect the server.
func (t *Table) suspectInterval() time.Duration {
	return max(minSuspectInterval, time.Duration(t.sharers.Count())*coldCheckSpacing)
}

// SuspectsDue returns the suspects that this host has to query now whether they take work,
// and records that they are queried. suspects is false if there are none at all.
func (t *Table) SuspectsDue() (due []Server, suspects bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for e := range t.suspects {
		cold := e.cold(now) && t.service(e.server.Service).coldRate > 0
		if now.Before(e.suspicion.nextQuery) || e.invalid || e.evacuated || cold || !t.acceptsQueries(e, now) {
			continue
		}
		interval := t.suspectInterval()
		e.suspicion.nextQuery = now.Add(interval*3/4 + rand.N(interval/2))
		due = append(due, e.server)
	}
	return due, len(t.suspects) > 0
}

// acceptsQueries reports whether a query is unlikely to harm the server: a full server
// rejects queries, too. Requires mu.
func (t *Table) acceptsQueries(e *entry, now time.Time) bool {
	limit := t.rateLimits[e.server.ID]
	limited := limit != nil && limit.perSecond > 0
	return !limited && !t.inBackoff(e.server.ID, now) && t.queueLimit(e, now) < 0
}
