package engine

import (
	"time"

	"github.com/papayasail/papayasail/backend"
)

// maxReports bounds how many past reports are kept to serve stale ones.
const maxReports = 4096

// reportLog contains the engine's past load reports, oldest first.
type reportLog struct {
	entries  []timedReport
	sequence uint64
}

type timedReport struct {
	at     time.Time
	report backend.LoadReport
}

// record adds a report with its time.
func (l *reportLog) record(at time.Time, report backend.LoadReport) {
	l.sequence++
	report.Sequence = l.sequence
	l.entries = append(l.entries, timedReport{at, report})
	if len(l.entries) > maxReports {
		l.entries = append(l.entries[:0], l.entries[len(l.entries)/2:]...)
	}
}

// at returns the report that was current at a time, or the oldest one kept.
func (l *reportLog) at(t time.Time) backend.LoadReport {
	for i := len(l.entries) - 1; i > 0; i-- {
		if !l.entries[i].at.After(t) {
			return l.entries[i].report
		}
	}
	return l.entries[0].report
}

// publishedReport returns the report that a client receives: stale by ReportLag,
// altered by AlterReport, and lost with probability ReportLoss.
func (e *Engine) publishedReport() (report backend.LoadReport, lost bool) {
	e.mu.Lock()
	lost = e.random.Float64() < e.config.ReportLoss
	report = e.reports.at(time.Now().Add(-e.config.ReportLag))
	e.mu.Unlock()
	if e.config.AlterReport != nil {
		e.config.AlterReport(&report)
	}
	return report, lost
}

// reportLocked returns the current load.
func (e *Engine) reportLocked() backend.LoadReport {
	report := backend.LoadReport{
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		TokensHeld:    e.memoryTokensLocked(),
		TokenCapacity: e.config.TokenCapacity,
		Preemptions:   e.journal.preemptions,
		Leaving:       e.leaving,
		Models:        e.orders.loaded(),
	}
	if !e.leaveAt.IsZero() {
		report.LeaveInMillis = time.Until(e.leaveAt).Milliseconds()
	}
	return report
}
