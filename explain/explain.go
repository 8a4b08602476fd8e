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

// Cause is the reason why a request was lost.
type Cause string

// Causes that are derived from several log lines or fields. Other causes are the
// value of "reason" in the line that ends the request.
const (
	CauseHostKilled     Cause = "host_killed"   // the entry host ended without a graceful stop
	CauseHostStopped    Cause = "host_stopped"  // the entry host was stopped before the request ended
	CauseServerFailed   Cause = "server_failed" // error response of a backend server, passed through
	CauseLate           Cause = "late"          // served after its latency goal, or with a gap between tokens above its goal
	CausePrefillBacklog Cause = "full_reading"  // refused: prefill backlog of the engines too long
	CauseMemory         Cause = "full_memory"   // refused: not enough engine memory
	CauseSlots          Cause = "full_slots"    // refused: no free engine slots
	CauseQuarantined    Cause = "quarantined"   // the request crashes the backend servers that run it
)

// unavoidable has the causes that no decision of an entry host could have
// prevented. For example, requests in flight on a killed host are lost with it.
var unavoidable = map[Cause]bool{CauseHostKilled: true, CauseServerFailed: true, CauseQuarantined: true}

// Loss counts the requests of one route that were lost for one cause.
type Loss struct {
	Cause    Cause
	Route    string
	Requests int
	// Tokens is the sum of the prompt lengths, in tokens. Prompts without a logged
	// length count as 0.
	Tokens int
	// BySecond counts lost requests by the second of the loss, counted from the
	// earliest line of the log.
	BySecond map[int]int
}

// Avoidable reports whether another decision could have served the requests.
func (l *Loss) Avoidable() bool { return !unavoidable[l.Cause] }

// Report summarises the outcomes of the requests in a log.
type Report struct {
	Served int     // number of requests served in time
	Losses []*Loss // most requests first
	// Findings are lines that could not be parsed.
	Findings findings.List
}

// MaxServedShare returns the share of requests that could have been served at most,
// that is, all but the unavoidable losses.
func (r *Report) MaxServedShare() float64 { return r.share(false) }

// ServedShare returns the share of requests that were served in time.
func (r *Report) ServedShare() float64 { return r.share(true) }

func (r *Report) share(avoidableLost bool) float64 {
	served, all := r.Served, r.Served
	for _, loss := range r.Losses {
		all += loss.Requests
		if !avoidableLost && loss.Avoidable() {
			served += loss.Requests
		}
	}
	return float64(served) / float64(max(1, all))
}

// Log collects the log lines of one or several hosts.
type Log struct {
	first    time.Time            // time of the earliest line
	ended    map[string]*record   // line that ended a request, by request
	placed   map[string]*record   // generations placed on a server, by request
	refused  map[string]*record   // last refused placement, by request
	starts   map[string][]*record // by host
	stops    map[string][]*record // by host
	findings findings.List
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		ended: map[string]*record{}, placed: map[string]*record{}, refused: map[string]*record{},
		starts: map[string][]*record{}, stops: map[string][]*record{},
	}
}

// maxLine is the maximum length of a line, bytes. Lines with a stack trace have
// some 10 KB.
const maxLine = 1 << 20

// Read adds the lines of a log file. Lines that cannot be parsed become findings
// with their position; reading continues after them.
func (l *Log) Read(name string, from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for n := 1; scanner.Scan(); n++ {
		r, err := parse(scanner.Bytes(), name)
		if err != nil {
			l.findings.Add(findings.Finding{File: name, Line: n, Message: err.Error()})
		}
		if r != nil {
			l.add(r)
		}
	}
	return scanner.Err()
}

func (l *Log) add(r *record) {
	if l.first.IsZero() || r.At.Before(l.first) {
		l.first = r.At
	}
	switch r.Message {
	case gateway.MsgRequest:
		l.ended[r.Request] = r
	case allocation.MsgPlaced:
		l.placed[r.Request] = r
	case allocation.MsgNoPlace:
		l.refused[r.Request] = r
	case gatewayhost.MsgStart:
		l.starts[r.Host] = append(l.starts[r.Host], r)
	case gatewayhost.MsgStopping:
		l.stops[r.Host] = append(l.stops[r.Host], r)
	}
}

// Report returns the outcomes of the requests. A generation that was refused and
// retried counts once, by its last outcome.
func (l *Log) Report() *Report {
	report := &Report{Findings: l.findings}
	losses := map[[2]string]*Loss{}
	addLoss := func(cause Cause, at time.Time, r *record) {
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
	for _, r := range l.finalRecords() {
		if cause := l.cause(r); cause != "" {
			addLoss(cause, r.At, r)
		} else if !rejected(r) {
			report.Served++
		}
	}
	for id, r := range l.placed {
		if l.ended[id] == nil {
			cause, at := l.hostEnd(r)
			addLoss(cause, at, r)
		}
	}
	report.Losses = slices.SortedFunc(maps.Values(losses), func(a, b *Loss) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Route, b.Route))
	})
	return report
}

// finalRecords returns the lines that ended requests. Of the attempts of a generation,
// which have one fingerprint, only the last one is included. Exact calls are all
// included, as those with one fingerprint may come from several callers.
func (l *Log) finalRecords() []*record {
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

// generationRoutes returns the routes that served generations.
func (l *Log) generationRoutes() map[string]bool {
	routes := map[string]bool{}
	for id, r := range l.ended {
		if r.PromptTokens > 0 || l.placed[id] != nil || l.refused[id] != nil {
			routes[r.Route] = true
		}
	}
	return routes
}

// rejected reports whether the request was refused as invalid or not allowed (4xx,
// not run). Such requests count neither as served nor as lost.
func rejected(r *record) bool { return r.NotRun && r.Status/100 == 4 }

// cause returns the cause of a lost request, or "" if it was not lost.
func (l *Log) cause(r *record) Cause {
	switch {
	case rejected(r):
		return ""
	case r.Reason == reasonFull:
		return l.lackingResource(r.Request)
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

// lackingResource returns the resource that most engines lacked when a request was
// refused.
func (l *Log) lackingResource(request string) Cause {
	refused := l.refused[request]
	switch {
	case refused == nil:
		return reasonFull
	case refused.LackReading >= refused.LackMemory && refused.LackReading >= refused.LackSlots:
		return CausePrefillBacklog
	case refused.LackMemory >= refused.LackSlots:
		return CauseMemory
	}
	return CauseSlots
}

// hostEnd returns how and when the entry host of a placed generation ended. It is
// called for generations without a final line, which means that the host was
// killed, either while running or during a graceful stop. The time is that of
// the host's next start, or of the placement if there is none. The cause is
// CauseHostStopped if a stop of the host was logged less than maxStopTime before
// that time, otherwise CauseHostKilled. Without a next start, a stop after the
// placement is therefore not considered.
func (l *Log) hostEnd(placed *record) (Cause, time.Time) {
	host, at := placed.RequestedBy, placed.At
	for _, start := range l.starts[host] {
		if start.At.After(placed.At) {
			at = start.At
			break
		}
	}
	for _, stop := range l.stops[host] {
		if stop.At.Before(at) && at.Sub(stop.At) < maxStopTime {
			return CauseHostStopped, at
		}
	}
	return CauseHostKilled, at
}

// maxStopTime is the time within which the next start has to follow a stop for the
// loss to be attributed to the stop.
const maxStopTime = 15 * time.Second
