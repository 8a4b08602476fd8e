package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// earlyRunWindow is the time after the first event of a run during which the run
	// still counts as just started. A run without events, as that of a call, always
	// counts as just started.
	earlyRunWindow = time.Second
	// beginWindow is the time after the first event of a run during which it is still in
	// its beginning: a crash is attributed to the parts of its prompt, and it clears none.
	beginWindow = 300 * time.Millisecond
)

// Subject is what identifies a request to the table.
type Subject struct {
	Request uint64 // equal for retries by its caller at any entry host
	// Parts identify the parts of its prompt that other requests may have too, in
	// order; see [PartID]. Only the first MaxParts count.
	Parts []uint64
}

// Admission is a request that the table has admitted. Its methods may not be called
// concurrently.
type Admission struct {
	table   *Table
	subject Subject
	cancel  func()
	trials  []uint64 // parts for which the request is a trial

	sent      Mark      // crash history of the request at the last send
	answering bool      // the server has begun to answer the current run
	wroteAt   time.Time // first event of the current run; zero: none
	passed    bool      // the current run was reported as past its beginning
	broke     bool      // the connection of the current run broke

	server string // of the current run, "" once it broke; guarded by the table's mu, as is begun
	begun  bool   // the current run has written an event
}

// Admit admits a request unless it is quarantined; then left is the time after which
// it may be tried again. If the request is quarantined before End, cancel is called
// and must cancel its run. A run that has written events is not cancelled because of
// a part of its prompt: it may be what clears the part.
func (t *Table) Admit(subject Subject, cancel func()) (admission *Admission, left time.Duration) {
	subject.Parts = subject.Parts[:min(len(subject.Parts), MaxParts)]
	t.mu.Lock()
	quarantined, suspected := t.partsOnTrial(subject.Parts)
	t.mu.Unlock()
	// TrialHost must not be called with mu held: it reads the membership.
	elsewhere := slices.ContainsFunc(slices.Concat(quarantined, suspected), func(part uint64) bool { return t.TrialHost != nil && !t.TrialHost(part) })

	t.mu.Lock()
	defer t.mu.Unlock()
	if left := t.blockedFor(subject); left > 0 {
		return nil, left
	}
	quarantined, suspected = t.partsOnTrial(subject.Parts)
	if len(quarantined)+len(suspected) > 0 && (elsewhere || !t.startTrials(quarantined, suspected)) {
		if len(quarantined) > 0 {
			return nil, partRetry()
		}
		return nil, suspectSpacing + rand.N(suspectSpacing)
	}
	a := &Admission{table: t, subject: subject, cancel: cancel, trials: quarantined}
	t.eachIdentity(subject, func(id uint64) {
		if t.runs[id] == nil {
			t.runs[id] = map[*Admission]struct{}{}
		}
		t.runs[id][a] = struct{}{}
	})
	return a, 0
}

// startedWithin reports whether the run has written no event, or its first one within
// the given time.
func (a *Admission) startedWithin(window time.Duration) bool {
	return a.wroteAt.IsZero() || time.Since(a.wroteAt) < window
}

// End must be called when the request has ended.
func (a *Admission) End() {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eachIdentity(a.subject, func(id uint64) {
		delete(t.runs[id], a)
		if len(t.runs[id]) == 0 {
			delete(t.runs, id)
		}
	})
}

// eachIdentity calls f for the request and each part.
func (t *Table) eachIdentity(subject Subject, f func(id uint64)) {
	f(subject.Request)
	for _, part := range subject.Parts {
		f(part)
	}
}

// Left returns the time after which a quarantined request may be tried again; zero:
// it is not quarantined.
func (a *Admission) Left() time.Duration {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	return a.table.blockedFor(a.subject)
}

// Sending must be called before each send: a new run begins, on the server with the given
// ID of its incarnation.
func (a *Admission) Sending(server string) {
	a.answering, a.wroteAt, a.passed, a.broke = false, time.Time{}, false, false
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.server, a.begun = server, false
	a.sent = a.table.markOf(a.subject.Request)
}

// Answering must be called when the head of a server's answer has arrived.
func (a *Admission) Answering() { a.answering = true }

// Wrote must be called for each event that the run has written.
func (a *Admission) Wrote() {
	now := time.Now()
	switch {
	case a.wroteAt.IsZero():
		a.wroteAt = now
		a.table.mu.Lock()
		defer a.table.mu.Unlock()
		a.begun = true
	case !a.passed && now.Sub(a.wroteAt) >= beginWindow:
		a.passed = true
		a.table.reportPassed(a.subject.Parts, a.wroteAt)
	}
}

// Answered must be called when a server has given a whole answer of any kind.
func (a *Admission) Answered() { a.table.ReportCompleted(a.subject.Request) }

// Completed must be called when a server has given a whole successful answer.
func (a *Admission) Completed() {
	a.Answered()
	if a.passed {
		return
	}
	began := a.wroteAt
	if began.IsZero() {
		began = time.Now()
	}
	a.table.reportPassed(a.subject.Parts, began)
}

// Broken reports that the connection to a server broke before the end of the answer.
// It calls ended, which checks whether the server's process has ended, at once and
// several times later. brittle is set if the server may fail because it has to reject
// requests.
func (a *Admission) Broken(request, server string, brittle bool, ended func(context.Context) bool) {
	now := time.Now()
	a.broke = true
	a.table.ReportBroken(Run{
		Subject: a.subject, Sent: a.sent, Request: request, Server: server, Brittle: brittle, BrokenAt: now, Trials: a.trials,
		Early: a.startedWithin(earlyRunWindow), Beginning: a.startedWithin(beginWindow), Answering: a.answering && a.wroteAt.IsZero(), Begun: !a.wroteAt.IsZero(),
	}, ended)
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.server = ""
}
