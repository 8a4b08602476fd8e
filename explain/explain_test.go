package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const log = `
built in 3 s
  1.00 edge-1 {"level":"info","ts":"2026-07-04T11:33:01Z","msg":"entry host starts","host":"edge-1"}
  2.00 edge-1 {"level":"info","ts":"2026-07-04T11:33:02Z","msg":"request","request":"r1","status":200,"reason":"","route":"letters","prompt_tokens":900,"complete":true}
  2.10 edge-2 {"level":"info","ts":"2026-07-04T11:33:02.1Z","msg":"request","request":"r2","status":200,"reason":"","route":"letters","late":true}
  3.00 edge-2 {"level":"info","ts":"2026-07-04T11:33:03Z","msg":"no server has a place","request":"r3","for":"edge-1","lack_reading":2,"lack_memory":5}
  3.10 edge-1 {"level":"warn","ts":"2026-07-04T11:33:03.1Z","msg":"request","request":"r3","status":503,"reason":"full","not_run":true,"route":"letters","fingerprint":"f"}
  3.90 edge-1 {"level":"warn","ts":"2026-07-04T11:33:03.9Z","msg":"request","request":"r4","status":503,"reason":"full","not_run":true,"route":"letters","fingerprint":"g"}
  4.00 edge-1 {"level":"info","ts":"2026-07-04T11:33:04Z","msg":"request","request":"r5","status":200,"reason":"","route":"letters","fingerprint":"g"}
  4.10 edge-2 {"level":"info","ts":"2026-07-04T11:33:04.1Z","msg":"generation placed","request":"r6","for":"edge-1"}
  4.20 edge-2 {"level":"info","ts":"2026-07-04T11:33:04.2Z","msg":"generation placed","request":"r7","for":"edge-2"}
  4.30 edge-2 {"level":"info","ts":"2026-07-04T11:33:04.3Z","msg":"request","request":"r8","status":404,"reason":"no_route","not_run":true}
  4.40 edge-2 {"level":"info","ts":"2026-07-04T11:33:04.4Z","msg":"request","request":"r9","status":500,"reason":"","route":"reads"}
  4.50 edge-2 {"level":"info","ts":"2026-07-04T11:33:04.5Z","msg":"entry host stops"}
  4.60 edge-2 {"level":"info","ts":"2026-07-04T11:33:04.6Z","msg":"request","request":"r1
  9.00 edge-1 {"level":"info","ts":"2026-07-04T11:33:09Z","msg":"entry host starts","host":"edge-1"}
  9.10 edge-2 {"level":"info","ts":"2026-07-04T11:33:09.1Z","msg":"entry host starts","host":"edge-2"}
`

func TestLossesByCause(t *testing.T) {
	// Guards against losses without a final log line that are not counted: a
	// generation that was placed and never ended was lost with its host.
	is := is.New(t)
	l := NewLog()
	is.NoErr(l.Read("day.log", strings.NewReader(log)))
	report := l.Report()
	byCause := map[Cause]*Loss{}
	for _, loss := range report.Losses {
		byCause[loss.Cause] = loss
	}
	is.Equal(report.Served, 2) // r1, and r5, the retry of r4
	is.Equal(len(report.Losses), 5)
	for _, cause := range []Cause{CauseLate, CauseMemory, CauseHostKilled, CauseHostStopped, CauseServerFailed} {
		is.True(byCause[cause] != nil)
		is.Equal(byCause[cause].Requests, 1)
	}
	is.Equal(byCause[CauseHostKilled].BySecond, map[int]int{8: 1})
	is.Equal(byCause[CauseMemory].Route, "letters")
	is.Equal(report.ServedShare(), 2.0/7)
	is.Equal(report.MaxServedShare(), 5.0/7) // a killed host and a server failure are unavoidable
}

func TestUnreadableLinesAreFindings(t *testing.T) {
	// Guards against a truncated line that stops the reading of a log or is not
	// reported with its position.
	is := is.New(t)
	l := NewLog()
	is.NoErr(l.Read("day.log", strings.NewReader(log)))
	found := l.Report().Findings
	is.Equal(len(found), 1)
	is.Equal(found[0].Line, 15)
	is.Equal(found[0].File, "day.log")
}

// Guards against identical calls from several callers that are counted as one.
func TestEqualCallsCountEach(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	is.NoErr(l.Read("day.log", strings.NewReader(`
  1.00 edge-1 {"level":"warn","ts":"2026-07-04T11:33:01Z","msg":"request","request":"r1","status":503,"reason":"quarantined","not_run":true,"route":"reads","fingerprint":"f"}
  1.10 edge-1 {"level":"info","ts":"2026-07-04T11:33:01.1Z","msg":"request","request":"r2","status":200,"reason":"","route":"reads","fingerprint":"f"}
  1.20 edge-1 {"level":"info","ts":"2026-07-04T11:33:01.2Z","msg":"request","request":"r3","status":200,"reason":"","route":"reads","fingerprint":"f"}
`)))
	report := l.Report()
	is.Equal(report.Served, 2)
	is.Equal(len(report.Losses), 1)
	is.Equal(report.Losses[0].Cause, CauseQuarantined)
	is.Equal(report.MaxServedShare(), 2.0/3)
}
