package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	msgExplained = "request is cleared: other requests explain its crashes"

	// reevaluationPeriod is how long after the start of a quarantine the evidence of other hosts
	// can still end it. Gossip reaches all hosts within half a second.
	reevaluationPeriod = 2 * time.Second
	// maxRecentQuarantines bounds the quarantines that are remembered for that.
	maxRecentQuarantines = 64
	// turnTimeout bounds the wait of a suspected call for others to end; plain calls take
	// some 50 ms.
	turnTimeout = 250 * time.Millisecond
	// brokenTurn is how much longer a turn lasts whose run broke: a crashing server may
	// accept connections for a moment.
	brokenTurn = 100 * time.Millisecond
)

// recentQuarantine is the quarantine of a request under whose runs on this host two servers
// crashed.
type recentQuarantine struct {
	request uint64
	servers [2]uint64 // hashes of their IDs
	at      time.Time
}

// recordServer records the server that crashed under a run of this host, and the quarantine
// if this starts one. Called with mu held.
func (t *Table) recordServer(run Run, updated Record) {
	e := t.requests[run.Subject.Request]
	if updated.Quarantined() && e.lastServer != "" {
		t.recentQuarantines = append(t.recentQuarantines, recentQuarantine{run.Subject.Request, [2]uint64{xxhash.Sum64String(e.lastServer), xxhash.Sum64String(run.Server)}, time.Now()})
		t.recentQuarantines = t.recentQuarantines[max(0, len(t.recentQuarantines)-maxRecentQuarantines):]
	}
	e.lastServer = run.Server
}

// clearExplained ends the quarantine of requests that were quarantined within
// reevaluationPeriod if the evidence of all hosts explains both crashes by other requests, as
// hasCoRunning does for those of this host. A third crash starts it again. Called with mu held.
func (t *Table) clearExplained() {
	now := time.Now()
	t.recentQuarantines = slices.DeleteFunc(t.recentQuarantines, func(q recentQuarantine) bool {
		known := t.get(q.request)
		if now.Sub(q.at) > reevaluationPeriod || known == nil || !known.Quarantined() || known.Crashes > crashThreshold {
			return true
		}
		if !t.parts.explains(q) {
			return false
		}
		t.logger.Info(msgExplained, fingerprintField(q.request), zap.Uint32("in_a_row", known.Crashes))
		t.set(Record{Fingerprint: q.request, Epoch: known.Epoch + 1, Crashes: known.Crashes, Weak: known.Crashes}, suspicionDuration, true, sourceOwn)
		return true
	})
}

// explains reports whether other requests explain both crashes of a recent quarantine: one was
// on the first server, and one on the second that another server had crashed under before.
func (e *partEvidence) explains(q recentQuarantine) bool {
	first, second := e.lastCrashOf(q.servers[0]), e.lastCrashOf(q.servers[1])
	if first == nil || second == nil {
		return false
	}
	other := func(r *crashedRun) bool { return r.Request != q.request }
	return slices.ContainsFunc(first.runs, other) && slices.ContainsFunc(second.runs, func(r *crashedRun) bool { return other(r) && e.crashedBefore(r.Request, second) })
}

// lastCrashOf returns the last known crash of a server, or nil.
func (e *partEvidence) lastCrashOf(server uint64) (last *serverCrash) {
	for _, crash := range e.crashes {
		if crash.server == server && (last == nil || crash.at.After(last.at)) {
			last = crash
		}
	}
	return last
}

// crashedBefore reports whether another server has crashed under a request before a crash.
func (e *partEvidence) crashedBefore(request uint64, crash *serverCrash) bool {
	return slices.ContainsFunc(e.crashes, func(earlier *serverCrash) bool {
		return earlier.server != crash.server && earlier.at.Before(crash.at) &&
			slices.ContainsFunc(earlier.runs, func(r *crashedRun) bool { return r.Request == request })
	})
}

// endTurn lets the next suspected call run.
func (a *Admission) endTurn() {
	if a.broke {
		time.AfterFunc(brokenTurn, func() { <-a.table.turn })
		return
	}
	<-a.table.turn
}

// AwaitTurn waits, for a short time, until no other call that is suspected runs on this
// host: their execution is serialized, so that the next crash is attributed to one request
// only. It must be called before a call is sent; the returned function must be called when it
// has ended, after Broken.
func (a *Admission) AwaitTurn(ctx context.Context) (over func()) {
	t := a.table
	t.mu.Lock()
	suspected := t.markOf(a.subject.Request).crashes > 0
	t.mu.Unlock()
	if !suspected {
		return func() {}
	}
	timeout := time.NewTimer(turnTimeout)
	defer timeout.Stop()
	select {
	case t.turn <- struct{}{}:
		return a.endTurn
	case <-timeout.C:
	case <-ctx.Done():
	}
	return func() {}
}
