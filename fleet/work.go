package fleet

import (
	"context"
	"time"

	"github.com/papayasail/papayasail/internal/shortid"
	"github.com/papayasail/papayasail/placement"
)

// Work is one request of this host on a server.
type Work struct {
	table        *Table
	entry        *entry
	ID           string // request ID
	PromptTokens int
	OutputTokens int // expected
	// Copied is set for a reservation at the destination of a move: the run
	// continues on its source until it produces tokens on this server.
	Copied   bool
	began    time.Time // guarded by Table.mu, as are all fields below
	progress time.Time // when it began or last produced tokens
	produced int       // number of tokens
	window   paceWindow
}

// Load is the load of one entry host on a server. Its fields correspond to
// those of placement.Candidate, whose number of requests is named Running.
type Load struct {
	Requests          int
	HeldTokens        int           // memory used or expected to be used, in tokens
	UsedTokens        int           // memory used now, in tokens
	UnreadTokens      int           // prompt tokens not yet read
	BriefUnreadTokens int           // those of brief generations
	Pace              time.Duration // estimated time per token of the server, weighted towards fast measurements; zero: unknown
	Born              int64         // start time of the server's incarnation, Unix ms; zero: not reported
	At                time.Time     // when the load was reported
	FirstEvent        *FirstEvent   // newest one that the host relayed from the server; nil: none lately
}

// LoadOf returns the load of one generation that has produced the given number
// of tokens. With read set, its prompt is already in the engine's memory.
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

// loadLifetime is how long a load reported by another host is valid. The load
// of a failed host expires after it.
const loadLifetime = 2 * time.Second

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.HeldTokens += other.HeldTokens
	l.UsedTokens += other.UsedTokens
	l.UnreadTokens += other.UnreadTokens
	l.BriefUnreadTokens += other.BriefUnreadTokens
}

// loadSum caches the sum of the other hosts' loads on a server until one of
// them changes or expires. Adding them up for every decision takes most of the
// placement time in a large fleet.
type loadSum struct {
	load  Load
	until time.Time // zero: recompute
}

// sumOthers returns the load of the other hosts on a server. Requires mu.
func (t *Table) sumOthers(e *entry, now time.Time) Load {
	if now.Before(e.sum.until) {
		return e.sum.load
	}
	e.sum = loadSum{until: now.Add(loadLifetime)}
	for host, other := range e.others {
		ends := other.At.Add(loadLifetime)
		if !now.Before(ends) {
			t.deleteOthersLoad(host, e)
			continue
		}
		e.sum.load.add(other)
		if ends.Before(e.sum.until) {
			e.sum.until = ends
		}
	}
	return e.sum.load
}

// Begin reserves capacity for a request that is about to be sent to a server.
// It returns nil if the server accepts no new work, requested a backoff from
// this host, is in an evacuated failure domain, is brittle and rejected a request of
// this host, or its rate limit allows none now. With resumed set, the request is a run
// that returns to the server that stopped it; a server that is leaving, in backoff or at
// its rate limit still accepts it.
func (t *Table) Begin(server string, work Work, resumed bool) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[server]
	now := time.Now()
	started := e != nil && e.endReservation(shortid.Of(work.ID)) // the reservation was counted as a start
	if e == nil || e.evacuated || !resumed && (!e.acceptsWork() || t.inBackoff(server, now) || t.rejectionPause(e, now) > 0 || !t.takeRate(server, now) || !t.takeCallShare(e, now)) {
		return nil
	}
	if resumed {
		t.overdrawRate(server, now)
	}
	if !started {
		e.recordStart(now)
	}
	reserved := &work
	reserved.table, reserved.entry, reserved.began, reserved.progress = t, e, now, now
	if !work.Copied && t.isEngine(e) {
		t.placeUnread(e, work.PromptTokens, now)
	}
	e.work[reserved] = struct{}{}
	t.working[e] = struct{}{}
	return reserved
}

// Produced records how many tokens a generation has produced so far.
func (w *Work) Produced(tokens int) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	now := time.Now()
	if w.produced == 0 && tokens > 0 {
		w.recordFirstEvent(now)
		w.table.engineWorkChanged(w.entry)
	}
	w.produced, w.progress = max(w.produced, tokens), now
	w.entry.pace.observe(w.window.next(w.produced, w.progress))
}

// recordFirstEvent records that the server has read the prompt. Requires Table.mu.
func (w *Work) recordFirstEvent(now time.Time) {
	_, reserved := w.entry.work[w]
	took := now.Sub(w.began)
	if w.Copied || !reserved || took <= 0 || !w.table.isEngine(w.entry) {
		return
	}
	w.entry.firstEvent = &FirstEvent{float64(w.PromptTokens) / (float64(took) / float64(time.Millisecond)), now}
	w.table.finishUnread(w.entry, w.PromptTokens, now)
}

// End releases the request's reservation. Further calls have no effect.
func (w *Work) End() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	if _, reserved := w.entry.work[w]; !reserved {
		return
	}
	delete(w.entry.work, w)
	if w.produced == 0 && !w.Copied {
		w.entry.reading.window.drop(w.PromptTokens)
	}
	if len(w.entry.work) == 0 {
		delete(w.table.working, w.entry)
	}
	w.table.forget(w.entry)
	w.table.notifyChanged()
	w.table.engineWorkChanged(w.entry)
}

// Gone returns a channel that is closed when the server starts leaving.
func (w *Work) Gone() <-chan struct{} {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	return w.entry.leavingCh
}

// Server returns the server on which the request runs.
func (w *Work) Server() Server {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	return w.entry.server
}

// Context returns a context that is cancelled when the server's incarnation ends.
// Work on that incarnation is lost then.
func (w *Work) Context() context.Context { return w.entry.incarnationContext }

// Unreachable records that the server did not accept a connection.
func (w *Work) Unreachable() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.entry.unavailableUntil = time.Now().Add(unreachableFor)
	w.table.restrict(w.entry)
}

// Outcome records whether a request failed, for the health of its server.
func (w *Work) Outcome(failed bool) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	if !failed {
		w.entry.observeCallTime(time.Since(w.began))
		w.table.service(w.entry.server.Service).answered = time.Now()
	}
	w.table.recordOutcome(w.entry, failed)
	w.table.recordOwnOutcome(w.entry, failed)
}

// TimedOut records that a request reached its deadline before its answer
// arrived. If the server has answered other requests since this one began, the
// timeout counts only against its health.
//
// When connections to a healthy engine go silent, their generations end at
// their deadlines seconds later. Counting those as evidence would make all
// hosts avoid the engine.
func (w *Work) TimedOut() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.table.recordOutcome(w.entry, true)
	if !w.entry.lastAnswer.After(w.began) {
		w.table.recordOwnOutcome(w.entry, true)
	}
}

// AnsweredWithError records that the server answered a request with an error of its
// own. This counts against its health, but shows that the server is reachable.
func (w *Work) AnsweredWithError() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.table.recordOutcome(w.entry, true)
	w.table.recordOwnOutcome(w.entry, false)
}

// ownLoad requires Table.mu.
func (e *entry) ownLoad() Load {
	var load Load
	load.Pace, load.Born = e.pace.estimate, e.server.Born
	for w := range e.work {
		load.add(LoadOf(placement.Need{PromptTokens: w.PromptTokens, OutputTokens: w.OutputTokens}, w.produced, w.produced > 0))
	}
	return load
}

// OwnGenerations returns this host's load on each engine, by service and server
// ID. Idle engines are left out.
func (t *Table) OwnGenerations() map[string]map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]map[string]Load{}
	for name, s := range t.services {
		if s.memoryTokens == 0 {
			continue
		}
		services[name] = map[string]Load{}
	}
	for e := range t.working {
		if loads := services[e.server.Service]; loads != nil {
			load := e.ownLoad()
			load.FirstEvent = e.firstEvent
			loads[e.server.ID] = load
		}
	}
	return services
}

// SetOthers applies another entry host's report of its load on the servers of a
// service in a share. The report replaces all earlier reports and reservations of
// that host on those servers. Its cost grows with the servers that the host loads.
func (t *Table) SetOthers(host, service string, loads map[string]Load, share Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for e := range t.othersLoads[host] {
		if e.server.Service != service || !share.includes(e) {
			continue
		}
		if load, listed := loads[e.server.ID]; !listed || t.entryOf(Incarnation{e.server.ID, load.Born}) != e {
			t.deleteOthersLoad(host, e)
			e.sum.until = time.Time{}
		}
	}
	for id, load := range loads {
		e := t.entryOf(Incarnation{id, load.Born}) // a load of another incarnation does not count
		if e == nil || e.server.Service != service || !share.includes(e) {
			continue
		}
		load.At = now
		t.setOthersLoad(host, e, load)
		e.pace.observe(load.Pace)
	}
	t.notifyChanged()
}

// setOthersLoad requires mu.
func (t *Table) setOthersLoad(host string, e *entry, load Load) {
	t.changeOthersUnread(e, e.others[host], load, load.At)
	e.others[host] = load
	e.sum.until = time.Time{}
	if t.othersLoads[host] == nil {
		t.othersLoads[host] = map[*entry]struct{}{}
	}
	t.othersLoads[host][e] = struct{}{}
}

// deleteOthersLoad requires mu.
func (t *Table) deleteOthersLoad(host string, e *entry) {
	if unread := e.others[host].UnreadTokens; unread > 0 {
		e.reading.window.drop(unread)
	}
	delete(e.others, host)
	delete(t.othersLoads[host], e)
	if len(t.othersLoads[host]) == 0 {
		delete(t.othersLoads, host)
	}
}

// ReserveFor adds a reservation to another host's load on a server. The
// reservation lasts until that host's next report on the server, and expires
// loadLifetime after the last reservation.
func (t *Table) ReserveFor(host, server string, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[server]
	if e == nil || host == t.host {
		return // this host's own work is reserved by Begin
	}
	e.recordStart(time.Now())
	known := e.others[host]
	if time.Since(known.At) >= loadLifetime {
		known = Load{}
	}
	known.add(load)
	known.At = time.Now()
	t.setOthersLoad(host, e, known)
}
