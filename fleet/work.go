package fleet

import (
	"context"
	"time"

	"github.com/papayasail/papayasail/placement"
)

// Work is one request of this host on a server.
type Work struct {
	table        *Table
	entry        *entry
	ID           string // of the request
	PromptTokens int
	OutputTokens int       // expected
	Copied       bool      // its memory is copied there; until it makes tokens there it runs elsewhere
	began        time.Time // guarded by Table.mu, as all below
	progress     time.Time // when it began or made tokens last
	produced     int       // tokens
	window       paceWindow
}

// Load is what one entry host has on a server; its fields are those of
// placement.Candidate.
type Load struct {
	Requests          int
	HeldTokens        int
	UsedTokens        int
	UnreadTokens      int
	BriefUnreadTokens int
	Pace              time.Duration // of the server, as the host has seen it; zero: not known
	Born              int64         // of the server's life that it is on; zero: not said
	At                time.Time     // when it was heard
}

// LoadOf returns the load of one generation that has made so many tokens. With
// read its prompt is in memory already.
func LoadOf(need placement.Need, produced int, read bool) Load {
	load := Load{
		Requests: 1, HeldTokens: placement.Held(need.PromptTokens, produced, need.OutputTokens), UsedTokens: need.PromptTokens + produced,
	}
	if read {
		return load
	}
	load.UnreadTokens = need.PromptTokens
	if need.Brief() {
		load.BriefUnreadTokens = need.PromptTokens
	}
	return load
}

// loadLifetime is how long another host's word on its load counts; a host
// that died is forgotten after it.
const loadLifetime = 2 * time.Second

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.HeldTokens += other.HeldTokens
	l.UsedTokens += other.UsedTokens
	l.UnreadTokens += other.UnreadTokens
	l.BriefUnreadTokens += other.BriefUnreadTokens
}

// loadSum is the sum of what other hosts have on a server, kept until one of
// them says something else or is forgotten. Added up for each decision it is
// most of the time that a placement takes in a large fleet.
type loadSum struct {
	load  Load
	until time.Time // zero: add up again
}

// othersLoad is called with the table's mu held.
func (e *entry) othersLoad(now time.Time) Load {
	if now.Before(e.sum.until) {
		return e.sum.load
	}
	e.sum = loadSum{until: now.Add(loadLifetime)}
	for host, other := range e.others {
		ends := other.At.Add(loadLifetime)
		if !now.Before(ends) {
			delete(e.others, host)
			continue
		}
		e.sum.load.add(other)
		if ends.Before(e.sum.until) {
			e.sum.until = ends
		}
	}
	return e.sum.load
}

// Begin books a request that is about to be sent to a server. It returns nil if
// the server takes no new work, wants none from this host now, or its failure
// domain is evacuated; resumed says that the request is a run that goes back to
// the server that stopped it, which a leaving one may still be given.
func (t *Table) Begin(server string, work Work, resumed bool) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[server]
	now := time.Now()
	if e == nil || e.evacuated || !resumed && (!e.takesWork() || t.resting(server, now)) {
		return nil
	}
	e.noteStart(now)
	booked := &work
	booked.table, booked.entry, booked.began, booked.progress = t, e, now, now
	e.work[booked] = struct{}{}
	return booked
}

// Produced notes how many tokens a generation has made so far.
func (w *Work) Produced(tokens int) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	if w.produced == 0 && tokens > 0 {
		w.table.ownChanged(w.entry)
	}
	w.produced, w.progress = max(w.produced, tokens), time.Now()
	w.entry.pace.observe(w.window.next(w.produced, w.progress))
}

// End takes the request off its server. It may be called again.
func (w *Work) End() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	if _, booked := w.entry.work[w]; !booked {
		return
	}
	delete(w.entry.work, w)
	w.table.forget(w.entry)
	w.table.wake()
	w.table.ownChanged(w.entry)
}

// Gone is closed when the work's server is known to be leaving.
func (w *Work) Gone() <-chan struct{} {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	return w.entry.gone
}

// Server returns the server that the work is on.
func (w *Work) Server() Server {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	return w.entry.server
}

// Life ends with the life of the server that the work is on: what ran there is
// lost then.
func (w *Work) Life() context.Context { return w.entry.life }

// Unreachable notes that the work's server took no connection.
func (w *Work) Unreachable() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.entry.unreachable = time.Now().Add(unreachableFor)
}

// Outcome takes in how a request went, for the health of its server.
func (w *Work) Outcome(failed bool) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.table.judge(w.entry, failed)
	w.table.noteOwn(w.entry, failed)
}

// TimedOut takes in that the time of a request was over before its answer came.
// Where the server has answered others meanwhile that says nothing of it but
// for its health.
//
// Failure: connections to an engine have gone silent. Their generations end at
// their deadlines, seconds later, and all hosts avoid an engine that is well.
func (w *Work) TimedOut() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.table.judge(w.entry, true)
	if !w.entry.answered.After(w.began) {
		w.table.noteOwn(w.entry, true)
	}
}

// AnsweredBadly takes in that the server answered a request with a failure of
// its own. Its health is the worse for it, but the server is there.
func (w *Work) AnsweredBadly() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.table.judge(w.entry, true)
	w.table.noteOwn(w.entry, false)
}

// ownLoad is called with the table's mu held.
func (e *entry) ownLoad() Load {
	var load Load
	load.Pace, load.Born = e.pace.least, e.server.Born
	for w := range e.work {
		load.add(LoadOf(placement.Need{PromptTokens: w.PromptTokens, OutputTokens: w.OutputTokens}, w.produced, w.produced > 0))
	}
	return load
}

// OwnGenerations returns, by service of engines, what this host has on each
// server, without idle ones.
func (t *Table) OwnGenerations() map[string]map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]map[string]Load{}
	for name, s := range t.services {
		if s.memoryTokens == 0 {
			continue
		}
		loads := map[string]Load{}
		for _, e := range s.members {
			if len(e.work) > 0 {
				loads[e.server.ID] = e.ownLoad()
			}
		}
		services[name] = loads
	}
	return services
}

// SetOthers takes in what another entry host has on the servers of a service
// of which it reports; it replaces all that was heard of or booked for that
// host there before.
func (t *Table) SetOthers(host, service string, loads map[string]Load, reported func(Server) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, e := range t.service(service).members {
		if !reported(e.server) {
			continue
		}
		load, has := loads[e.server.ID]
		has = has && e.server.Life().Is(Life{e.server.ID, load.Born}) // of an earlier life it says nothing
		if _, had := e.others[host]; !has && !had {
			continue
		}
		e.sum.until = time.Time{}
		if !has {
			delete(e.others, host)
			continue
		}
		load.At = now
		e.others[host] = load
		e.pace.observe(load.Pace)
	}
	t.wake()
}

// BookFor adds a load to what is known of another host, until its next report.
func (t *Table) BookFor(host, server string, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[server]
	if e == nil || host == t.host {
		return // this host's own work is booked when it begins
	}
	e.noteStart(time.Now())
	known := e.others[host]
	if time.Since(known.At) >= loadLifetime {
		known = Load{}
	}
	known.add(load)
	known.At = time.Now()
	e.others[host] = known
	e.sum.until = time.Time{}
}
