package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	msgNotWatched = "broken connection not watched for a crash: too many are"

	// checkTimeout bounds one check whether a server has ended; the request's
	// caller waits for the first one.
	checkTimeout = 100 * time.Millisecond
	// maxWatched is the maximum number of runs whose connection broke and whose
	// server is still checked. Above it, the server of a run is checked only once.
	maxWatched = 256
	// brokenTogether is the maximum time between the ends of connections that one crash
	// of a server broke.
	brokenTogether = time.Second
)

// checkDelays are the delays before each further check whether a server has ended.
var checkDelays = []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// Run is one run of a request on a backend server.
type Run struct {
	Subject Subject
	Sent    Mark // crash history of the request when it was sent
	Early   bool // the run had just started, or has had no event
	// Beginning is set if the run was still in its beginning, Answering if the server had
	// begun to answer it and there was no event yet.
	Beginning, Answering bool
	Begun                bool      // the run had written an event
	Brittle              bool      // the server may fail because it has to reject requests
	Request              string    // request ID, for logs; empty: none
	Server               string    // ID of its incarnation
	BrokenAt             time.Time // when the connection to the server broke
	Trials               []uint64  // quarantined parts of the prompt for which the run is a trial
}

// ReportBroken records that the connection to the server of a run broke before the
// end of the answer. It calls ended, which checks whether the server's process has
// ended, and calls ReportCrash if so. A crashing server may close its connections
// before its port, so the check is repeated for about one second.
func (t *Table) ReportBroken(run Run, ended func(context.Context) bool) {
	t.recordBroken(run)
	if checkEnded(ended) {
		t.ReportCrash(run)
		return
	}
	select {
	case t.watched <- struct{}{}:
	default:
		t.logger.Warn(msgNotWatched, zap.String("request", run.Request), fingerprintField(run.Subject.Request), zap.String("server", run.Server))
		return
	}
	t.watch(run, ended, checkDelays)
}

// brokenRun is a run that had just started when the connection to its server broke.
type brokenRun struct {
	server  string
	request uint64
	crashes uint32 // of the request, when it was sent
	at      time.Time
}

// recordBroken records a run as co-running with others that broke at the same server.
func (t *Table) recordBroken(run Run) {
	if !run.Early {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.broken) > 0 && run.BrokenAt.Sub(t.broken[0].at) > brokenTogether {
		t.broken = t.broken[1:]
	}
	t.broken = append(t.broken, brokenRun{run.Server, run.Subject.Request, run.Sent.crashes, run.BrokenAt})
}

// hasCoRunning reports whether another request of this host, which has crashed at least as
// many servers, had just started on the server of a run when that crashed. Called with mu
// held.
func (t *Table) hasCoRunning(run Run) bool {
	for _, other := range t.broken {
		if other.server == run.Server && other.request != run.Subject.Request && other.crashes >= run.Sent.crashes &&
			run.BrokenAt.Sub(other.at).Abs() <= brokenTogether {
			return true
		}
	}
	for _, runs := range t.runs {
		for a := range runs {
			if a.server == run.Server && a.subject.Request != run.Subject.Request && a.sent.crashes >= run.Sent.crashes && !a.begun {
				return true
			}
		}
	}
	return false
}

// watch checks the server after each of the delays until it has ended.
func (t *Table) watch(run Run, ended func(context.Context) bool, delays []time.Duration) {
	if len(delays) == 0 {
		<-t.watched
		return
	}
	time.AfterFunc(delays[0], func() {
		if checkEnded(ended) {
			<-t.watched
			t.ReportCrash(run)
			return
		}
		t.watch(run, ended, delays[1:])
	})
}

// checkEnded calls ended with a timeout of checkTimeout.
func checkEnded(ended func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return ended(ctx)
}
