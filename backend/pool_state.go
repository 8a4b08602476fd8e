package backend

import (
	"slices"
	"time"
)

// State is the state of a backend server. Only StateReady allows new work.
type State string

const (
	StateReady       State = "ready"
	StateLeaving     State = "leaving"     // finishes its work and accepts no new work
	StateEjected     State = "ejected"     // too many consecutive failures
	StateUnreachable State = "unreachable" // connections to it failed recently
	StateUnloaded    State = "unloaded"    // has no version of the service's model loaded
)

// LeavingSource identifies who reported that a backend server is leaving. A
// mark from any source is sufficient, even if other sources have none.
type LeavingSource string

const (
	SourceHostList LeavingSource = "host_list" // the platform's list of hosts
	SourceReport   LeavingSource = "report"    // the server's own load report
	SourceOperator LeavingSource = "operator"  // an operator's drain
	SourceRefused  LeavingSource = "refused"   // the server refused work because it is leaving; not set yet
	SourcePeer     LeavingSource = "peer"      // another entry host
)

// LeavingMark reports that a server is leaving; the mark expires at Until.
type LeavingMark struct {
	Address string
	Until   time.Time
}

// FailureKind is the kind of a backend server's failure.
type FailureKind string

const (
	FailureRefusedConnection FailureKind = "refused_connection" // no byte of a request was sent
	FailureReset             FailureKind = "reset"
	FailureSilence           FailureKind = "silence"
	FailureStatus            FailureKind = "status"
	FailureMismatch          FailureKind = "mismatch"
)

// poolServer is the state of one backend server. The pool's mutex guards it.
type poolServer struct {
	address      string
	load         LoadReport
	reportedAt   time.Time // zero if never
	lateSequence uint64    // sequence number of the last report that was dropped as late
	lastWasLate  bool      // the last report was dropped as late; lateSequence is valid

	leaving          map[LeavingSource]time.Time // expiry of each mark; zero if none
	failures         int                         // consecutive, since the last ejection
	ejections        int                         // reset by a success if a failure was recorded since the last ejection
	ejectedUntil     time.Time
	refusals         int // consecutive failed connections
	unreachableUntil time.Time
	readySince       time.Time // start of the slow start; zero if none

	view      *Server // immutable; nil if it must be rebuilt
	lastState State   // last state that was logged
}

// acceptSequence reports whether a report with this sequence number must be
// applied: it is not older than the last one, or the server has restarted. It
// records a late report to detect the restart with the next one.
func (s *poolServer) acceptSequence(sequence uint64) bool {
	if s.reportedAt.IsZero() || sequence >= s.load.Sequence {
		s.lastWasLate = false
		return true
	}
	// A restarted server that is idle repeats one sequence number, so a second
	// report with an equal or higher number is accepted.
	if s.lastWasLate && sequence >= s.lateSequence {
		s.lastWasLate = false
		return true
	}
	s.lastWasLate, s.lateSequence = true, sequence
	return false
}

// isNewer reports whether a report with this sequence number is newer than the
// last one.
func (s *poolServer) isNewer(sequence uint64) bool {
	return s.reportedAt.IsZero() || sequence > s.load.Sequence
}

// recordRefusal records a failed connection. The first time without work is
// the parameter first; each consecutive failure doubles it, at most
// maxRefusalDoublings times.
func (s *poolServer) recordRefusal(now time.Time, first time.Duration) {
	wait := first << min(s.refusals, maxRefusalDoublings)
	s.refusals++
	s.unreachableUntil = now.Add(wait)
	s.readySince = s.unreachableUntil
}

// markReachable records that the server answered and reports whether it was
// unreachable before.
func (s *poolServer) markReachable(now time.Time) bool {
	if s.refusals == 0 {
		return false
	}
	s.refusals = 0
	s.unreachableUntil = time.Time{}
	s.readySince = now
	return true
}

// eject excludes the server from new work. The duration is the parameter first,
// doubled once for each earlier ejection that ejections counts, up to longest.
func (s *poolServer) eject(now time.Time, first, longest time.Duration) {
	wait := first
	for range s.ejections {
		wait = min(2*wait, longest)
	}
	s.ejections++
	s.failures = 0
	s.ejectedUntil = now.Add(wait)
	s.readySince = s.ejectedUntil
}

// leavingUntil returns the latest expiry of the marks that are in effect,
// ignoring the sources in without. A zero time means that a mark does not
// expire.
func (s *poolServer) leavingUntil(now time.Time, without ...LeavingSource) (until time.Time, leaving bool) {
	for source, end := range s.leaving {
		if slices.Contains(without, source) {
			continue
		}
		if end.IsZero() {
			return time.Time{}, true
		}
		if end.After(now) && end.After(until) {
			until, leaving = end, true
		}
	}
	return until, leaving
}

// state returns the state at time now and when it may next change with time
// (zero if it does not).
func (s *poolServer) state(now time.Time) (State, time.Time) {
	if until, leaving := s.leavingUntil(now); leaving {
		return StateLeaving, until
	}
	if s.unreachableUntil.After(now) {
		return StateUnreachable, s.unreachableUntil
	}
	if s.ejectedUntil.After(now) {
		return StateEjected, s.ejectedUntil
	}
	return StateReady, time.Time{}
}
