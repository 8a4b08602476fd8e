package explain

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/findings"
	"github.com/papayasail/papayasail/gateway"
	"github.com/papayasail/papayasail/gatewayhost"
)

// Cause says why a request was lost.
type Cause string

// Causes that no line names by itself; the others are the reasons of the
// request's own line.
const (
	CauseHostKilled   Cause = "host_killed"   // its host ended without a stop
	CauseHostStopped  Cause = "host_stopped"  // its host was stopped before it was done
	CauseServerFailed Cause = "server_failed" // a server's own failure, passed on
	CauseLate         Cause = "late"          // served after its goal, or with too long a pause
	CauseReading      Cause = "full_reading"  // refused: too many prompts to read before it
	CauseMemory       Cause = "full_memory"   // refused: engines' memory
	CauseSlots        Cause = "full_slots"
	CauseQuarantined  Cause = "quarantined" // the request crashes the servers that run it
)

// unavoidable are the causes that no decision of an entry host could have
// kept away: what runs on a host that dies is lost with it.
var unavoidable = map[Cause]bool{CauseHostKilled: true, CauseServerFailed: true, CauseQuarantined: true}

// Loss is requests of one route that were lost for one cause.
type Loss struct {
	Cause    Cause
	Route    string
	Requests int
	// Tokens are those of their prompts, where they are known.
	Tokens int
	// BySecond counts them by the second, from the first line, in which they
	// were lost.
	BySecond map[int]int
}

// Avoidable reports whether another decision could have served them.
func (l *Loss) Avoidable() bool { return !unavoidable[l.Cause] }

// Report says what became of the requests of a log.
type Report struct {
	Served int
	Losses []*Loss // most requests first
	// Findings are lines that could not be read.
	Findings findings.List
}

// Ceiling is the share of requests that better decisions could have served.
func (r *Report) Ceiling() float64 { return r.share(false) }

// ServedShare is the share that was served.
func (r *Report) ServedShare() float64 { return r.share(true) }

func (r *Report) share(lost bool) float64 {
	served, all := r.Served, r.Served
	for _, loss := range r.Losses {
		all += loss.Requests
		if !lost && loss.Avoidable() {
			served += loss.Requests
		}
	}
	return float64(served) / float64(max(1, all))
}

// Log gathers the lines of one or several hosts.
type Log struct {
	first    time.Time
	ended    map[string]*record   // the line that ended each request
	placed   map[string]*record   // generations that were sent somewhere
	short    map[string]*record   // the last refusal of a place
	starts   map[string][]*record // by host
	stops    map[string][]*record
	findings findings.List
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		ended: map[string]*record{}, placed: map[string]*record{}, short: map[string]*record{},
		starts: map[string][]*record{}, stops: map[string][]*record{},
	}
}

// maxLine bounds one line; those with a stack are some 10 KB.
const maxLine = 1 << 20

// Read takes in a file. Lines that cannot be read become findings with their
// place, and the rest is read.
func (l *Log) Read(name string, from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for n := 1; scanner.Scan(); n++ {
		r, err := parse(scanner.Bytes(), name)
		if err != nil {
			l.findings.Add(findings.Finding{File: name, Line: n, Message: err.Error()})
		}
		if r != nil {
			l.take(r)
		}
	}
	return scanner.Err()
}

func (l *Log) take(r *record) {
	if l.first.IsZero() || r.At.Before(l.first) {
		l.first = r.At
	}
	switch r.Message {
	case gateway.MsgRequest:
		l.ended[r.Request] = r
	case allocation.MsgPlaced:
		l.placed[r.Request] = r
	case allocation.MsgNoPlace:
		l.short[r.Request] = r
	case gatewayhost.MsgStart:
		l.starts[r.Host] = append(l.starts[r.Host], r)
	case gatewayhost.MsgStopping:
		l.stops[r.Host] = append(l.stops[r.Host], r)
	}
}

// Report says what became of the requests. One that was refused and came back
// counts once, by how it ended.
func (l *Log) Report() *Report {
	report := &Report{Findings: l.findings}
	losses := map[[2]string]*Loss{}
	lose := func(cause Cause, at time.Time, r *record) {
		key := [2]string{string(cause), r.Route}
		loss := losses[key]
		if loss == nil {
			loss = &Loss{Cause: cause, Route: r.Route, BySecond: map[int]int{}}
			losses[key] = loss
		}
		loss.Requests++
		loss.Tokens += r.PromptTokens
		loss.BySecond[int(at.Sub(l.first).Seconds())]++
	}
	for _, r := range l.last() {
		if cause := l.cause(r); cause != "" {
			lose(cause, r.At, r)
		} else if !denied(r) {
			report.Served++
		}
	}
	for id, r := range l.placed {
		if l.ended[id] == nil {
			cause, at := l.hostEnd(r)
			lose(cause, at, r)
		}
	}
	report.Losses = slices.SortedFunc(maps.Values(losses), func(a, b *Loss) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Route, b.Route))
	})
	return report
}

// last returns the ends of requests, without generations that came back. Calls
// with one fingerprint may be those of several callers.
func (l *Log) last() []*record {
	newest := map[string]*record{}
	generations := l.generationRoutes()
	var all []*record
	for _, r := range l.ended {
		if r.Fingerprint == "" || !generations[r.Route] {
			all = append(all, r)
			continue
		}
		if known := newest[r.Fingerprint]; known == nil || r.At.After(known.At) {
			newest[r.Fingerprint] = r
		}
	}
	return slices.AppendSeq(all, maps.Values(newest))
}

// generationRoutes returns the routes on which generations came.
func (l *Log) generationRoutes() map[string]bool {
	routes := map[string]bool{}
	for id, r := range l.ended {
		if r.PromptTokens > 0 || l.placed[id] != nil || l.short[id] != nil {
			routes[r.Route] = true
		}
	}
	return routes
}

// denied reports whether the configuration does not allow the request.
func denied(r *record) bool { return r.NotRun && r.Status/100 == 4 }

// cause returns why a request was lost, or "".
func (l *Log) cause(r *record) Cause {
	switch {
	case denied(r):
		return ""
	case r.Reason == reasonFull:
		return l.shortage(r.Request)
	case r.Reason != "":
		return Cause(r.Reason)
	case r.Status/100 == 5:
		return CauseServerFailed
	case r.Late:
		return CauseLate
	}
	return ""
}

const reasonFull = "full"

// shortage returns what most engines lacked when a request was refused.
func (l *Log) shortage(request string) Cause {
	short := l.short[request]
	switch {
	case short == nil:
		return reasonFull
	case short.LackReading >= short.LackMemory && short.LackReading >= short.LackSlots:
		return CauseReading
	case short.LackMemory >= short.LackSlots:
		return CauseMemory
	}
	return CauseSlots
}

// hostEnd returns how and when the host of a placed generation ended, whose
// end nobody wrote down: it was killed, or killed while it stopped.
func (l *Log) hostEnd(placed *record) (Cause, time.Time) {
	host, at := placed.For, placed.At
	for _, start := range l.starts[host] {
		if start.At.After(placed.At) {
			at = start.At
			break
		}
	}
	for _, stop := range l.stops[host] {
		if stop.At.Before(at) && at.Sub(stop.At) < longestStop {
			return CauseHostStopped, at
		}
	}
	return CauseHostKilled, at
}

// longestStop bounds the time from the wish to stop until the next start.
const longestStop = 15 * time.Second
