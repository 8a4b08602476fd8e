package fleet

import "time"

// leavingReportTTL is the minimum time for which a server's own report of
// leaving is kept. A host list entry that expired during a store outage returns
// within that time.
const leavingReportTTL = 30 * time.Minute

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
