package fleet

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"
)

// leavingReportTTL is the minimum time for which a server's own report of
// leaving is kept. A host list entry that expired during a store outage returns
// within that time.
const leavingReportTTL = 30 * time.Minute

// PeerReportTTL is how long another host's report that a server is leaving counts against
// the server's host list entry. After it, such reports do not count for the same time, in
// which all hosts revise theirs: hosts would otherwise keep each other's reports up.
const PeerReportTTL = 10 * time.Second

const msgPeerReportRevised = "backend server stays, contrary to the reports of other hosts"

// leavingReport records that a server reported itself as leaving.
type leavingReport struct {
	incarnation Incarnation
	at          time.Time
}

// recordLeavingReport records that a server reported itself as leaving. The
// report is kept while the server is in the table, and for at least
// leavingReportTTL. It holds for that incarnation, whatever the host list
// contains. Requires mu.
func (t *Table) recordLeavingReport(incarnation Incarnation) {
	for id, report := range t.leavingReports {
		if time.Since(report.at) >= leavingReportTTL && t.servers[id] == nil {
			delete(t.leavingReports, id)
		}
	}
	t.leavingReports[incarnation.ID] = leavingReport{incarnation, time.Now()}
}

// reportedLeaving reports whether a server has reported itself as leaving in
// this incarnation. Requires mu.
func (t *Table) reportedLeaving(incarnation Incarnation) bool {
	report, known := t.leavingReports[incarnation.ID]
	return known && report.incarnation.Is(incarnation)
}

// endLeaving makes a leaving server usable again. Requires mu.
func (t *Table) endLeaving(e *entry) {
	e.removed, e.leaving, e.leavingCh = false, false, make(chan struct{})
	t.service(e.server.Service).setLeaving(e, false)
}

// RevisePeerReports makes servers usable again that only other hosts reported as leaving,
// before PeerReportTTL. The caller must have had a current view of the host list since
// then: a server that leaves is marked or missing there by now.
//
// Another host may report a removal that it saw before the entry returned, to a host that
// has already seen the return.
func (t *Table) RevisePeerReports() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		for e := range s.leaving {
			if e.leavingBecause != SourcePeer || time.Since(e.peerReport) < PeerReportTTL {
				continue
			}
			t.logger.Info(msgPeerReportRevised, zap.String("server", e.server.ID), zap.String("address", e.server.Address))
			t.endLeaving(e)
			e.noPeerReports = time.Now().Add(PeerReportTTL)
			t.notifyChanged()
		}
	}
}

// setLeaving records that a member starts or no longer counts as leaving.
func (s *service) setLeaving(e *entry, leaving bool) {
	s.leavingList = nil
	if leaving {
		s.leaving[e] = struct{}{}
	} else {
		delete(s.leaving, e)
	}
}

// returned records that the table has an incarnation again.
func (s *service) returned(incarnation Incarnation) {
	if _, departed := s.departed[incarnation]; departed {
		delete(s.departed, incarnation)
		s.leavingList = nil
	}
}

// Leaving returns, in order, the incarnations of a service's servers that are
// leaving or were dropped within departedTTL. The caller must not modify the
// slice, which is the same until the result changes: allocators send it with
// every report.
func (t *Table) Leaving(name string) []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if now := time.Now(); s.leavingList == nil || !now.Before(s.listExpires) {
		s.listLeaving(now)
	}
	return s.leavingList
}

// listLeaving recomputes leavingList.
func (s *service) listLeaving(now time.Time) {
	s.leavingList, s.listExpires = make([]Incarnation, 0, len(s.leaving)+len(s.departed)), now.Add(departedTTL)
	for e := range s.leaving {
		s.leavingList = append(s.leavingList, e.server.Incarnation())
	}
	for incarnation, at := range s.departed {
		expires := at.Add(departedTTL)
		if !now.Before(expires) {
			delete(s.departed, incarnation)
			continue
		}
		s.leavingList = append(s.leavingList, incarnation)
		if expires.Before(s.listExpires) {
			s.listExpires = expires
		}
	}
	slices.SortFunc(s.leavingList, func(a, b Incarnation) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born)) })
}
