// Package quarantine detects requests that crash the backend servers that run
// them and blocks further sends. A request is identified by its fingerprint, which
// is equal for retries by its caller at any entry host, and by the parts of its
// prompt, which other requests share.
package quarantine

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	msgSuspected   = "backend server crashed under a request"
	msgQuarantined = "request is quarantined: backend servers crash under it"
	msgCleared     = "request is cleared: it ran to its end"

	msgPartQuarantined = "prompt part is quarantined: backend servers crash under requests with it"
	msgPartCleared     = "prompt part is cleared: a run with it went on"
	msgTrial           = "request with a quarantined prompt part is tried"

	// sourceOwn is the source of records that come from this host's own requests.
	sourceOwn = "own"

	// crashThreshold is the number of consecutive server crashes after which a
	// request is quarantined. The second crash counts only if its run was sent
	// after the first crash was known. A request that is on a server when
	// another request crashes it is rarely on two such servers in succession.
	crashThreshold = 2
	// quarantineWeight is the weight of crashes from which a request is quarantined; see
	// Record.Weak.
	quarantineWeight = 3
	weakWeight       = 1
	strongWeight     = 2
	// quarantineDuration is how long a request is quarantined. Hosts cannot detect
	// when the servers' fault is fixed, and each trial may crash a server.
	quarantineDuration = 30 * time.Minute
	// suspicionDuration is how long a single crash is remembered.
	suspicionDuration = 10 * time.Minute
	// clearedRetention is how long the record of a cleared request is kept to
	// override older records at other hosts.
	clearedRetention = time.Minute
	// maxRequests bounds the table. Records that are not quarantined are evicted first,
	// of these the one that expires first.
	maxRequests = 4096
)

// Record is the crash history of one request, or of one part of prompts. Of two
// records of a request or part, the one with the higher Epoch takes precedence; in the
// same epoch, the one with more Crashes, then the one with fewer Weak.
type Record struct {
	Fingerprint uint64 // of the request, or the part's identity
	Part        bool
	Epoch       uint32 // incremented when the request runs to its end, or the part passes, after a crash
	// Crashes is the number of consecutive server crashes in this epoch. For a part it
	// is how often the part was quarantined: once, and after each trial that crashed a
	// server.
	Crashes uint32
	// Weak is the number of these crashes that have other likely causes: a server that
	// fails if it has to reject requests, or another request that ran there and has
	// crashed as many servers.
	Weak      uint32
	Remaining time.Duration // remaining time until the record expires
}

// Quarantined reports whether the request or the part is quarantined.
func (r Record) Quarantined() bool {
	if r.Part {
		return r.Crashes > 0
	}
	weak := min(r.Weak, r.Crashes)
	return r.Crashes >= crashThreshold && weakWeight*weak+strongWeight*(r.Crashes-weak) >= quarantineWeight
}

func (r Record) newerThan(other Record) bool {
	switch {
	case r.Epoch != other.Epoch:
		return r.Epoch > other.Epoch
	case r.Crashes != other.Crashes:
		return r.Crashes > other.Crashes
	}
	return r.Weak < other.Weak
}

// Mark is the crash history of a request at the time when it was sent.
type Mark struct{ epoch, crashes, weak uint32 }

// Table is an entry host's table of suspected, quarantined and cleared requests.
// All methods may be called from any goroutine.
type Table struct {
	// OnGossipRecords is called when a run of this host has changed a record or the
	// evidence, so that it can be gossiped early; nil: no call. It must not block. It is
	// also called for a first crash that is not gossiped.
	OnGossipRecords func()
	// QuarantineChanged is called when this host's own requests have started or ended a
	// quarantine, so that the stored quarantined requests must be rewritten; nil:
	// no call. It must not block.
	QuarantineChanged func()
	// CrashDetected is called with the server of each crashed run of this host; nil: no
	// call. It must not block.
	CrashDetected func(server string)
	// TrialHost reports whether this host is the one that tries requests with a
	// quarantined part; nil: always. It may be called from any goroutine.
	TrialHost func(part uint64) bool

	logger  *zap.Logger
	changes *prometheus.CounterVec
	watched chan struct{} // contains one token per watched broken run

	mu       sync.Mutex // guards all below
	requests map[uint64]*entry
	parts    *partEvidence
	// reviewsLeft is the number of reviews of the evidence that follow; one of them is
	// scheduled.
	reviewsLeft       int
	broken            []brokenRun        // within brokenTogether, in order
	recentQuarantines []recentQuarantine // within reevaluationPeriod, in order
	// turn has a token while a call that is suspected runs.
	turn     chan struct{}
	runs     map[uint64]map[*Admission]struct{} // admitted requests, by fingerprint and by part
	rotation []uint64                           // quarantined requests and parts not yet repeated in this round
}

type entry struct {
	Record          // Remaining is unused (zero); snapshot computes it from expires
	expires         time.Time
	retransmitsLeft int       // remaining retransmits of the changed record
	nextTrial       time.Time // of a part, at this host
	lastServer      string    // that crashed last under a run of this host
}

// trialFrom returns when a quarantined part may be tried.
func (e *entry) trialFrom() time.Time { return e.expires.Add(-trialPeriod) }

// since returns when a part was quarantined.
func (e *entry) since() time.Time { return e.expires.Add(-lifetime(e.Record)) }

// NewTable returns an empty table.
func NewTable(logger *zap.Logger, registerer prometheus.Registerer) *Table {
	t := &Table{
		logger: logger, requests: map[uint64]*entry{}, parts: newPartEvidence(), runs: map[uint64]map[*Admission]struct{}{},
		watched: make(chan struct{}, maxWatched), turn: make(chan struct{}, 1),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_quarantine_changes_total",
			Help: "Changes of the records of requests and prompt parts, own and received: suspected of crashing backend servers, quarantined, or cleared.",
		}, []string{"change"}),
	}
	registerer.MustRegister(t.changes)
	return t
}

// Mark returns the crash history of a request that is about to be sent.
func (t *Table) Mark(fingerprint uint64) Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.markOf(fingerprint)
}

// markOf is Mark with mu held.
func (t *Table) markOf(fingerprint uint64) Mark {
	if e := t.get(fingerprint); e != nil {
		return Mark{e.Epoch, e.Crashes, e.Weak}
	}
	return Mark{}
}

// Quarantined returns the remaining time of a request's quarantine, or of a part's
// before its trial; zero: it is not quarantined.
func (t *Table) Quarantined(fingerprint uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remainingQuarantine(fingerprint)
}

// remainingQuarantine returns the remaining time of a quarantine, or zero. Called
// with mu held.
func (t *Table) remainingQuarantine(fingerprint uint64) time.Duration {
	e := t.get(fingerprint)
	switch {
	case e == nil || !e.Quarantined():
		return 0
	case e.Part:
		return max(0, time.Until(e.trialFrom()))
	}
	return time.Until(e.expires)
}

// blockedFor returns the time after which a quarantined request may be tried again,
// or zero. Called with mu held.
func (t *Table) blockedFor(subject Subject) time.Duration {
	left := t.remainingQuarantine(subject.Request)
	for _, part := range subject.Parts {
		if t.remainingQuarantine(part) > 0 {
			left = max(left, partRetry())
		}
	}
	return left
}

// ReportCrash records that a server crashed while it ran a run. If the run had not
// just started, a first crash is not gossiped to other hosts. The crash is
// attributed to the parts of its prompt only if it was still in its beginning.
//
// The crash is added to those that were known when the run was sent, so that
// servers that crash at the same time count once.
func (t *Table) ReportCrash(run Run) {
	t.mu.Lock()
	weak := uint32(0)
	if run.Brittle || t.hasCoRunning(run) {
		weak = 1
	}
	updated := Record{Fingerprint: run.Subject.Request, Epoch: run.Sent.epoch, Crashes: run.Sent.crashes + 1, Weak: run.Sent.weak + weak}
	known := t.get(run.Subject.Request)
	if known != nil && known.Epoch > updated.Epoch {
		updated.Epoch, updated.Crashes, updated.Weak = known.Epoch, 1, weak
	}
	// Each crash is logged, also one that does not change the record because
	// another run that was sent at the same time has reported one.
	t.logger.Warn(msgSuspected, zap.String("request", run.Request), fingerprintField(run.Subject.Request), zap.String("server", run.Server),
		zap.Uint32("in_a_row", updated.Crashes), zap.Uint32("weak", updated.Weak), zap.Bool("brittle", run.Brittle), zap.Bool("early", run.Early), zap.Bool("answering", run.Answering),
		zap.Duration("detected_after", time.Since(run.BrokenAt)), zap.Strings("parts", partNames(run.Subject.Parts)))
	var cancels []func()
	changed := known == nil || updated.newerThan(known.Record)
	quarantined := changed && updated.Quarantined()
	if changed {
		cancels = t.set(updated, lifetime(updated), run.Early, sourceOwn)
		t.recordServer(run, updated)
	}
	if run.Beginning {
		crash := Crash{Server: xxhash.Sum64String(run.Server), Request: run.Subject.Request, Parts: run.Subject.Parts, Answering: run.Answering, Begun: run.Begun}
		changed = t.addCrash(crash, run.BrokenAt, true) || changed
		t.clearExplained()
		for _, part := range run.Trials {
			cancels, quarantined = append(cancels, t.quarantinePart(part)...), true
		}
	}
	t.mu.Unlock()
	t.notify(cancels, changed, quarantined)
	if t.CrashDetected != nil {
		t.CrashDetected(run.Server)
	}
}

// isQuarantined reports whether a request or a part is quarantined. Called with mu held.
func (t *Table) isQuarantined(id uint64) bool {
	e := t.get(id)
	return e != nil && e.Quarantined()
}

// ReportCompleted records that a request ran to its end and clears it of earlier
// crashes.
func (t *Table) ReportCompleted(fingerprint uint64) {
	t.mu.Lock()
	known := t.get(fingerprint)
	changed := known != nil && known.Crashes > 0
	wasQuarantined := changed && known.Quarantined()
	if changed {
		t.logger.Info(msgCleared, fingerprintField(fingerprint), zap.Uint32("in_a_row", known.Crashes))
		t.set(Record{Fingerprint: fingerprint, Epoch: known.Epoch + 1}, clearedRetention, true, sourceOwn)
	}
	t.mu.Unlock()
	t.notify(nil, changed, wasQuarantined)
}

// Merge merges records from other hosts or the store and reports whether any of
// them was new. If a received record is older than this host's, this host's
// record is queued for gossip.
func (t *Table) Merge(records []Record, source string) bool {
	t.mu.Lock()
	var cancels []func()
	changed, cleared := false, false
	for _, r := range records {
		known := t.get(r.Fingerprint)
		switch {
		case r.Remaining <= 0 || known == nil && r.Epoch == 0 && r.Crashes == 0:
		case known != nil && known.newerThan(r):
			known.retransmitsLeft = max(known.retransmitsLeft, 1)
		case known == nil || r.newerThan(known.Record):
			cancels = append(cancels, t.set(r, min(r.Remaining, lifetime(r)), true, source)...)
			changed = true
			cleared = t.clearPassedPart(r.Fingerprint) || cleared
		}
	}
	t.mu.Unlock()
	t.notify(cancels, false, cleared) // OnGossipRecords is not called: the caller of Merge forwards new records
	return changed
}

// set stores a record and returns the functions that cancel the runs of a newly
// quarantined request, and those that have not begun of requests with a newly
// quarantined part. The record is gossiped if gossip is set or it is quarantined.
// Called with mu held.
func (t *Table) set(r Record, lasts time.Duration, gossip bool, source string) (cancels []func()) {
	known := t.get(r.Fingerprint)
	wasQuarantined := known != nil && known.Quarantined()
	if known == nil {
		t.evictIfFull()
		known = &entry{}
		t.requests[r.Fingerprint] = known
	}
	known.Record, known.expires = r, time.Now().Add(lasts)
	known.Remaining = 0
	known.retransmitsLeft = 0
	if gossip {
		known.retransmitsLeft = suspectRetransmits
	}
	if r.Quarantined() {
		known.retransmitsLeft = retransmits
	}
	t.changes.WithLabelValues(changeLabel(r)).Inc()
	if !r.Quarantined() || wasQuarantined && !r.Part {
		return nil
	}
	for run := range t.runs[r.Fingerprint] {
		if !r.Part || !run.begun {
			cancels = append(cancels, run.cancel)
		}
	}
	message, field := msgQuarantined, fingerprintField(r.Fingerprint)
	if r.Part {
		message, field, lasts = msgPartQuarantined, partField(r.Fingerprint), time.Until(known.trialFrom())
	}
	t.logger.Warn(message, field, zap.Uint32("in_a_row", r.Crashes), zap.Uint32("weak", r.Weak), zap.Duration("for", lasts),
		zap.String("source", source), zap.Int("own_runs", len(cancels)))
	return cancels
}

// notify cancels runs and calls the callbacks, which must not happen with mu held.
func (t *Table) notify(cancels []func(), changed, quarantineChanged bool) {
	for _, cancel := range cancels {
		cancel()
	}
	if changed && t.OnGossipRecords != nil {
		t.OnGossipRecords()
	}
	if quarantineChanged && t.QuarantineChanged != nil {
		t.QuarantineChanged()
	}
}

// get returns the unexpired entry of a request, or nil. Called with mu held.
func (t *Table) get(fingerprint uint64) *entry {
	e := t.requests[fingerprint]
	if e != nil && !time.Now().Before(e.expires) {
		delete(t.requests, fingerprint)
		return nil
	}
	return e
}

// evictIfFull evicts an entry if the table is full: one that is not quarantined if there
// is one, of these the one that expires first. Called with mu held.
func (t *Table) evictIfFull() {
	if len(t.requests) < maxRequests {
		return
	}
	var first *entry
	for _, e := range t.requests {
		if first == nil || evictedBefore(e, first) {
			first = e
		}
	}
	delete(t.requests, first.Fingerprint)
}

func evictedBefore(e, other *entry) bool {
	if e.Quarantined() != other.Quarantined() {
		return !e.Quarantined()
	}
	return e.expires.Before(other.expires)
}

// lifetime returns the time until a new record expires.
func lifetime(r Record) time.Duration {
	switch {
	case r.Part && r.Crashes > 0:
		return partQuarantineDurations[min(int(r.Crashes), len(partQuarantineDurations))-1] + trialPeriod
	case r.Quarantined():
		return quarantineDuration
	case r.Crashes > 0:
		return suspicionDuration
	}
	return clearedRetention
}

// changeLabel returns the metric label of a change to the record.
func changeLabel(r Record) string {
	switch {
	case r.Quarantined():
		return "quarantined"
	case r.Crashes > 0:
		return "suspected"
	}
	return "cleared"
}

func fingerprintField(fingerprint uint64) zap.Field {
	return zap.String("fingerprint", hexadecimal(fingerprint))
}

func partField(part uint64) zap.Field { return zap.String("part", hexadecimal(part)) }

func partNames(parts []uint64) []string {
	var names []string
	for _, part := range parts {
		names = append(names, hexadecimal(part))
	}
	return names
}

func hexadecimal(id uint64) string { return strconv.FormatUint(id, 16) }
