package fleet

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	msgBrittle    = "backend server is brittle: it fails if it has to reject too many requests"
	msgNotBrittle = "backend server is no longer brittle"

	// brittleShare is the fraction of the rejections that a brittle server bears that
	// all hosts together may cause.
	brittleShare = 0.5
	// minRejectionPause and maxRejectionPause bound the time for which a host sends
	// nothing to a brittle server after a rejection.
	minRejectionPause = 500 * time.Millisecond
	maxRejectionPause = time.Minute
	// answerLifetime is how long an answer of a plain service shows that its servers are
	// not brittle.
	answerLifetime = 10 * time.Second
)

// Brittleness is what a server says about the requests that it can reject.
type Brittleness struct {
	Brittle bool
	// RejectsPerSecond is the number of requests that a brittle server can reject in a
	// second for want of room, from all hosts together, without failing.
	RejectsPerSecond int
}

// brittleness is what a server, or the newest answer of a service, has said.
type brittleness struct {
	Brittleness
	known    bool
	observed time.Time // when the request was sent whose answer said so
}

// update applies what an answer to a request that was sent at the given time says, and
// reports whether the server has become brittle, or is no longer.
func (b *brittleness) update(said Brittleness, sent time.Time) (changed bool) {
	if b.known && sent.Before(b.observed) {
		return false // overtaken by a later one
	}
	changed = said.Brittle != b.Brittle
	b.Brittleness, b.known, b.observed = said, true, sent
	return changed
}

// SetBrittleness records what an answer of a server says. The request was sent at the
// given time.
func (t *Table) SetBrittleness(id string, said Brittleness, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil {
		return
	}
	s := t.service(e.server.Service)
	s.answered = time.Now()
	s.brittle.update(said, sent)
	if !e.brittle.update(said, sent) {
		return
	}
	message := msgNotBrittle
	if said.Brittle {
		message = msgBrittle
	} else {
		e.pausedUntil, e.callRate = time.Time{}, nil
	}
	t.logger.Info(message, zap.String("server", id), zap.Int("rejects_per_second", said.RejectsPerSecond))
	t.notifyChanged()
}

// brittleOf returns what is known of a server: what it said itself, or, before its first
// answer, what another server of its service said last. Requires mu.
//
// A server that has failed starts again among others that are still brittle.
func (t *Table) brittleOf(e *entry) Brittleness {
	if e.brittle.known {
		return e.brittle.Brittleness
	}
	return t.service(e.server.Service).brittle.Brittleness
}

// RecordRejection records that a server rejected a request of this host for want of
// room. A brittle server then gets no request of this host for a time in which all hosts
// together cause no more rejections than it bears.
func (t *Table) RecordRejection(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil {
		return
	}
	said := t.brittleOf(e)
	if !said.Brittle {
		return
	}
	pause := maxRejectionPause
	if said.RejectsPerSecond > 0 {
		seconds := float64(t.sharers.Count()) / (brittleShare * float64(said.RejectsPerSecond))
		pause = time.Duration(min(maxRejectionPause.Seconds(), seconds) * float64(time.Second))
	}
	if until := time.Now().Add(max(minRejectionPause, pause)); until.After(e.pausedUntil) {
		e.pausedUntil = until
		t.restrict(e)
	}
}

// rejectionPause returns how much longer a brittle server gets no request of this host.
// Requires mu.
func (t *Table) rejectionPause(e *entry, now time.Time) time.Duration {
	if e.pausedUntil.IsZero() || !t.brittleOf(e).Brittle {
		return 0
	}
	return max(0, e.pausedUntil.Sub(now))
}

// queueLimit returns how many requests may be queued on a server, or -1 if that is not
// limited here. The queue of a brittle server may shrink at any time; what it holds
// beyond that is rejected. Requires mu.
//
// A host that has just started, or has sent a plain service nothing for a while, does not
// know whether its servers are brittle; until the first answer, which may take a second,
// it uses them as if they were.
func (t *Table) queueLimit(e *entry, now time.Time) int {
	said := t.brittleOf(e)
	switch s := t.service(e.server.Service); {
	case said.Brittle:
		return int(brittleShare * float64(said.RejectsPerSecond))
	case s.memoryTokens == 0 && now.Sub(s.answered) > answerLifetime:
		return 0
	}
	return -1
}

// MayBeBrittle reports whether the server may fail because it has to reject requests: it
// says so, or this host has had no answer of its service lately.
func (w *Work) MayBeBrittle() bool {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	return w.table.queueLimit(w.entry, time.Now()) >= 0
}

// usedCapacity is the fraction of a brittle plain server's throughput that all hosts
// together use, if they are too many for each to keep a request there.
const usedCapacity = 0.8

// callTimeWeight is the weight of the newest call in the moving mean of the call time.
const callTimeWeight = 0.2

// observeCallTime records how long a call took that the server answered. Requires mu.
func (e *entry) observeCallTime(took time.Duration) {
	if e.callTime == 0 {
		e.callTime = took
		return
	}
	e.callTime += time.Duration(callTimeWeight * float64(took-e.callTime))
}

// atOwnShare reports whether this host has its share of a brittle plain server's places
// in use. Hosts do not know of each other's calls. Requires mu.
//
// If there are more hosts than places, even one call of each would be too many; each
// then gets its share of the calls that the server completes in a second.
func (e *entry) atOwnShare(places, hosts int, now time.Time) bool {
	if places >= hosts || e.callTime <= 0 {
		e.callRate = nil
		return len(e.work) >= max(1, places/hosts)
	}
	share := rate.Limit(usedCapacity * float64(e.server.Slots) / float64(hosts) / e.callTime.Seconds())
	if e.callRate == nil {
		e.callRate = rate.NewLimiter(share, 1)
	}
	e.callRate.SetLimitAt(now, share)
	return e.callRate.TokensAt(now) < 1
}

// takeCallShare counts a call of this host against its share of a brittle server, and
// reports whether that allows it. Requires mu.
func (t *Table) takeCallShare(e *entry, now time.Time) bool {
	return e.callRate == nil || !t.brittleOf(e).Brittle || e.callRate.AllowN(now, 1)
}
