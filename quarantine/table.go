// Package quarantine finds requests that crash the backend servers that run
// them, and keeps them from being sent again. A request is known by its
// fingerprint, which is the same when its caller repeats it at any entry host.
package quarantine

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	msgSuspected   = "backend server crashed under a request"
	msgQuarantined = "request is quarantined: backend servers crash under it"
	msgCleared     = "request is cleared: it ran to its end"

	// sourceOwn says that this host knows a record by its own requests.
	sourceOwn = "own"

	// crashesNeeded is how many servers have to crash one after the other: the
	// second one under a run that was sent when the first crash was known. A
	// request that was merely on a server that another one crashed is hardly
	// ever on two in a row.
	crashesNeeded = 2
	// quarantineFor is how long a request is kept from servers. It is not known
	// when a server's fault is mended, and each trial costs a server.
	quarantineFor = 30 * time.Minute
	// suspectFor is how long one crash counts.
	suspectFor = 10 * time.Minute
	// clearedFor is how long news of a cleared request overrides older news.
	clearedFor = time.Minute
	// mostRequests bounds the table; the one that expires first makes room.
	mostRequests = 4096
)

// Record is what is known of one request. Between two of a request the one with
// the higher Epoch holds, and in one epoch the one with more Crashes.
type Record struct {
	Fingerprint uint64
	Epoch       uint32 // rises each time that the request runs to its end
	Crashes     uint32 // servers that crashed one after the other in this epoch
	Left        time.Duration
}

// Quarantined reports whether the request is kept from servers.
func (r Record) Quarantined() bool { return r.Crashes >= crashesNeeded }

func (r Record) newerThan(other Record) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Crashes > other.Crashes
}

// Mark is what was known of a request when it was sent.
type Mark struct{ epoch, crashes uint32 }

// Table holds what one entry host knows. All methods may be called from any
// goroutine.
type Table struct {
	// Changed is called when there is news for other hosts; nil: with none. It
	// must not block.
	Changed func()
	// Kept is called when this host, by what it saw itself, has quarantined a
	// request or ended a quarantine: what is kept of them is to be written anew;
	// nil: nothing is kept. It must not block.
	Kept func()

	logger  *zap.Logger
	changes *prometheus.CounterVec
	watched chan struct{} // holds a token for each broken run that is watched

	mu       sync.Mutex // guards all below
	requests map[uint64]*entry
	runs     map[uint64]map[*func()]struct{} // what ends the runs of a request
	rotation []uint64                        // quarantined requests still to be told in this round
}

type entry struct {
	Record  // without Left
	expires time.Time
	passOn  int // how often it is still to be told as news
}

// NewTable returns an empty table.
func NewTable(logger *zap.Logger, registerer prometheus.Registerer) *Table {
	t := &Table{
		logger: logger, requests: map[uint64]*entry{}, runs: map[uint64]map[*func()]struct{}{},
		watched: make(chan struct{}, mostWatched),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayasail_quarantine_changes_total",
			Help: "Requests that were suspected of crashing backend servers, quarantined or cleared, as known on this host.",
		}, []string{"change"}),
	}
	registerer.MustRegister(t.changes)
	return t
}

// Mark returns what is known of a request that is about to be sent.
func (t *Table) Mark(fingerprint uint64) Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.get(fingerprint); e != nil {
		return Mark{e.Epoch, e.Crashes}
	}
	return Mark{}
}

// Quarantined returns for how much longer a request is kept from servers; zero:
// it is not.
func (t *Table) Quarantined(fingerprint uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantinedFor(fingerprint)
}

// quarantinedFor is called with mu held.
func (t *Table) quarantinedFor(fingerprint uint64) time.Duration {
	if e := t.get(fingerprint); e != nil && e.Quarantined() {
		return time.Until(e.expires)
	}
	return 0
}

// Admit notes a run of a request, which end has to stop if the request is
// quarantined meanwhile; over ends the note. Of a request that is quarantined
// already nothing is noted, and left says for how much longer it is.
func (t *Table) Admit(fingerprint uint64, end func()) (over func(), left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if left := t.quarantinedFor(fingerprint); left > 0 {
		return func() {}, left
	}
	key := &end
	if t.runs[fingerprint] == nil {
		t.runs[fingerprint] = map[*func()]struct{}{}
	}
	t.runs[fingerprint][key] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.runs[fingerprint], key)
		if len(t.runs[fingerprint]) == 0 {
			delete(t.runs, fingerprint)
		}
	}, 0
}

// Crashed takes in that a server crashed under a run. If the run had not just
// begun, the crash is told to other hosts only if it is not the first one.
//
// A crash adds to those that were known when the run was sent, so that servers
// which fall at the same time count as one.
func (t *Table) Crashed(run Run) {
	t.mu.Lock()
	now := Record{Fingerprint: run.Fingerprint, Epoch: run.Sent.epoch, Crashes: run.Sent.crashes + 1}
	known := t.get(run.Fingerprint)
	if known != nil && known.Epoch > now.Epoch {
		now.Epoch, now.Crashes = known.Epoch, 1
	}
	t.logger.Warn(msgSuspected, zap.String("request", run.Request), fingerprintField(run.Fingerprint), zap.String("server", run.Server),
		zap.Uint32("in_a_row", now.Crashes))
	var ends []*func()
	changed := known == nil || now.newerThan(known.Record)
	if changed {
		ends = t.set(now, lifetime(now), run.Early, sourceOwn)
	}
	t.mu.Unlock()
	t.after(ends, changed, changed && now.Quarantined())
}

// Completed takes in that a request ran to its end: it does not crash servers.
func (t *Table) Completed(fingerprint uint64) {
	t.mu.Lock()
	known := t.get(fingerprint)
	changed := known != nil && known.Crashes > 0
	wasQuarantined := changed && known.Quarantined()
	if changed {
		t.logger.Info(msgCleared, fingerprintField(fingerprint), zap.Uint32("in_a_row", known.Crashes))
		t.set(Record{Fingerprint: fingerprint, Epoch: known.Epoch + 1}, clearedFor, true, sourceOwn)
	}
	t.mu.Unlock()
	t.after(nil, changed, wasQuarantined)
}

// Merge takes in what others know, and reports whether any of it was news.
// Whoever tells what is no more so is told better with the next message.
func (t *Table) Merge(records []Record, source string) bool {
	t.mu.Lock()
	var ends []*func()
	changed := false
	for _, r := range records {
		known := t.get(r.Fingerprint)
		switch {
		case r.Left <= 0 || known == nil && r.Epoch == 0 && r.Crashes == 0:
		case known != nil && known.newerThan(r):
			known.passOn = max(known.passOn, 1)
		case known == nil || r.newerThan(known.Record):
			ends = append(ends, t.set(r, min(r.Left, lifetime(r)), true, source)...)
			changed = true
		}
	}
	t.mu.Unlock()
	t.after(ends, false, false) // who told it is told nothing; the caller passes it on
	return changed
}

// set puts a record in force and returns what ends the runs that it forbids.
// Called with mu held.
func (t *Table) set(r Record, lasts time.Duration, tell bool, source string) (ends []*func()) {
	known := t.get(r.Fingerprint)
	wasQuarantined := known != nil && known.Quarantined()
	if known == nil {
		t.makeRoom()
		known = &entry{}
		t.requests[r.Fingerprint] = known
	}
	known.Record, known.expires = r, time.Now().Add(lasts)
	known.Left = 0
	known.passOn = 0
	if tell {
		known.passOn = suspectRetransmits
	}
	if r.Quarantined() {
		known.passOn = retransmits
	}
	t.changes.WithLabelValues(change(r)).Inc()
	if !r.Quarantined() || wasQuarantined {
		return nil
	}
	t.logger.Warn(msgQuarantined, fingerprintField(r.Fingerprint), zap.Uint32("in_a_row", r.Crashes), zap.Duration("for", lasts),
		zap.String("source", source), zap.Int("own_runs", len(t.runs[r.Fingerprint])))
	for end := range t.runs[r.Fingerprint] {
		ends = append(ends, end)
	}
	return ends
}

// after does what must not be done with mu held.
func (t *Table) after(ends []*func(), changed, kept bool) {
	for _, end := range ends {
		(*end)()
	}
	if changed && t.Changed != nil {
		t.Changed()
	}
	if kept && t.Kept != nil {
		t.Kept()
	}
}

// get returns what is known of a request and has not expired, or nil. Called
// with mu held.
func (t *Table) get(fingerprint uint64) *entry {
	e := t.requests[fingerprint]
	if e != nil && !time.Now().Before(e.expires) {
		delete(t.requests, fingerprint)
		return nil
	}
	return e
}

// makeRoom is called with mu held.
func (t *Table) makeRoom() {
	if len(t.requests) < mostRequests {
		return
	}
	var first *entry
	for _, e := range t.requests {
		if first == nil || e.expires.Before(first.expires) {
			first = e
		}
	}
	delete(t.requests, first.Fingerprint)
}

func lifetime(r Record) time.Duration {
	switch {
	case r.Quarantined():
		return quarantineFor
	case r.Crashes > 0:
		return suspectFor
	}
	return clearedFor
}

func change(r Record) string {
	switch {
	case r.Quarantined():
		return "quarantined"
	case r.Crashes > 0:
		return "suspected"
	}
	return "cleared"
}

func fingerprintField(fingerprint uint64) zap.Field {
	return zap.String("fingerprint", strconv.FormatUint(fingerprint, 16))
}
