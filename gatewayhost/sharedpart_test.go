package gatewayhost

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/gateway"
	"github.com/papayasail/papayasail/store"
)

const (
	crashingPart = "bad"

	crashingInterval = 360 * time.Millisecond // between requests with crashingPart
	soundInterval    = 40 * time.Millisecond  // between other requests
	longEvery        = 8                      // one in so many of the sound generations is long
	shortEvents      = 4
	longEvents       = 200
	eventInterval    = 20 * time.Millisecond
	maxPrefill       = 300 * time.Millisecond

	// Of the requests sent later than partWindow after this many crashes, sendsAllowed may
	// have the part.
	crashesAllowed = 5
	partWindow     = 3 * time.Second
	sendsAllowed   = 3
	// soundShare is the share of the sound requests that have to be served at the first
	// attempt from twice partWindow after the crash.
	soundShare = 0.9
)

// partEngines is a Backend whose servers crash when they begin to write an answer to a
// request with crashingPart.
type partEngines struct {
	*crashing
	repaired atomic.Bool // requests with crashingPart crash no servers any more

	guard     sync.Mutex // guards all below
	random    *rand.Rand
	partSends []time.Time
}

func (e *partEngines) Send(ctx context.Context, call gateway.Call) (*gateway.Reply, error) {
	if e.RefusesConnection(ctx, call.Server) {
		return nil, &backend.CallError{Evidence: backend.NothingSent, Err: errors.New("refused")}
	}
	bad := slices.Contains(call.Request.Prompt.SharedParts, crashingPart)
	crashes := bad && !e.repaired.Load()
	e.guard.Lock()
	if bad {
		e.partSends = append(e.partSends, time.Now())
	}
	e.guard.Unlock()
	prefill := time.Duration(e.draw(int(maxPrefill)))
	ended := e.crashSignal(call.Server.ID)
	select {
	case <-ended:
		return nil, &backend.CallError{Evidence: backend.Broken, Err: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		return nil, &backend.CallError{Evidence: backend.Broken, Err: ctx.Err()}
	case <-time.After(prefill):
	}
	if crashes {
		time.AfterFunc(crashAfter, func() { e.crash(call.Server.ID) })
	}
	reader, writer := io.Pipe()
	go e.write(ctx, call.Request, crashes, ended, writer)
	return &gateway.Reply{Status: http.StatusOK, Header: http.Header{}, Body: reader, Complete: true}, nil
}

// draw returns a random number below n.
func (e *partEngines) draw(n int) int {
	e.guard.Lock()
	defer e.guard.Unlock()
	return e.random.IntN(n)
}

// write writes the events of a generation; the number of events is the request's body.
func (e *partEngines) write(ctx context.Context, request *gateway.Request, crashes bool, ended chan struct{}, writer *io.PipeWriter) {
	for i := range len(request.Body) {
		select {
		case <-ended:
			writer.CloseWithError(io.ErrUnexpectedEOF)
			return
		case <-ctx.Done():
			writer.CloseWithError(ctx.Err())
			return
		case <-time.After(eventInterval):
		}
		if crashes {
			<-ended
			continue
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: x\n\n", i+1); err != nil {
			return
		}
	}
	writer.Close()
}

// sendsAfterCrashes returns how many requests with crashingPart were sent later than
// partWindow after the crash that is the last allowed one.
func (e *partEngines) sendsAfterCrashes() int {
	from := e.lastAllowedCrash()
	e.guard.Lock()
	defer e.guard.Unlock()
	sends := 0
	for _, at := range e.partSends {
		if !from.IsZero() && at.Sub(from) > partWindow {
			sends++
		}
	}
	return sends
}

// partSendCount returns how many requests with crashingPart were sent.
func (e *partEngines) partSendCount() int {
	e.guard.Lock()
	defer e.guard.Unlock()
	return len(e.partSends)
}

// crashCount returns how many servers have crashed.
func (e *partEngines) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashes)
}

// lastAllowedCrash returns the time of that crash, of the last one if there were fewer,
// or zero.
func (e *partEngines) lastAllowedCrash() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[min(len(e.crashes), crashesAllowed)-1]
}

// eventSink is a Sink that discards the events.
type eventSink struct{}

func (eventSink) Begin(int, http.Header) error { return nil }
func (eventSink) Event([]byte) error           { return nil }

// served is the outcome of a sound request.
type served struct {
	at      time.Time
	outcome gateway.Outcome
}

// partFleet is a fleet of hosts in front of partEngines, with callers.
type partFleet struct {
	*crashingFleet
	engines *partEngines

	guard sync.Mutex // guards all below
	sent  int
	sound []served
}

func startPartFleet(ctx context.Context, hosts int) *partFleet {
	f := &partFleet{crashingFleet: &crashingFleet{
		memory: store.NewMemory(), fabric: network.New(network.Options{}), hosts: make([]*Host, hosts), cancels: make([]context.CancelFunc, hosts),
	}}
	f.servers = newCrashing(f.memory)
	f.engines = &partEngines{crashing: f.servers, random: rand.New(rand.NewPCG(1, 2))}
	f.backend = f.engines
	f.kind = gateway.Generation
	for i := range f.hosts {
		f.startHost(ctx, i)
	}
	time.Sleep(5 * time.Second)
	return f
}

// serve sends a generation with parts in its prompt to a random host. No two are alike.
func (f *partFleet) serve(ctx context.Context, events int, parts ...string) gateway.Outcome {
	f.guard.Lock()
	f.sent++
	id, host := fmt.Sprint("g", f.sent), f.hosts[f.engines.draw(len(f.hosts))]
	f.guard.Unlock()
	now := time.Now()
	return host.gateway.Serve(ctx, &gateway.Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/write/" + id, Header: http.Header{}, Key: "key", Body: make([]byte, events),
		Arrived: now, Deadline: now.Add(20 * time.Second), Prompt: gateway.Prompt{Tokens: 1000, SharedParts: parts},
	}, eventSink{})
}

// sendFor sends requests with the part lists in turn, for the duration d, and records
// the outcomes of the sound ones.
func (f *partFleet) sendFor(ctx context.Context, d, interval time.Duration, lists ...[]string) {
	for began, i := time.Now(), 0; time.Since(began) < d; time.Sleep(interval) {
		events, parts := shortEvents, lists[i%len(lists)]
		if i++; i%longEvery == 0 {
			events = longEvents
		}
		go func() {
			at, outcome := time.Now(), f.serve(ctx, events, parts...)
			if slices.Contains(parts, crashingPart) {
				return
			}
			f.guard.Lock()
			defer f.guard.Unlock()
			f.sound = append(f.sound, served{at, outcome})
		}()
	}
}

// soundServed returns the share of the sound requests that were served, of those sent
// since the given time.
func (f *partFleet) soundServed(since time.Time) float64 {
	f.guard.Lock()
	defer f.guard.Unlock()
	sent, whole := 0, 0
	for _, s := range f.sound {
		if s.at.Before(since) {
			continue
		}
		sent++
		if s.outcome.Complete {
			whole++
		}
	}
	return float64(whole) / float64(max(1, sent))
}

func withPartFleet(t *testing.T, hosts int, test func(ctx context.Context, is *is.I, f *partFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		test(ctx, is.New(t), startPartFleet(ctx, hosts))
		stop()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// promptParts are the part lists of the requests of a scenario.
type promptParts struct {
	crashing []string
	sound    [][]string // share the caller and all other parts
}

var promptPartCases = map[string]promptParts{
	"first":  {crashing: []string{crashingPart, "session"}, sound: [][]string{{"system", "session"}, {"system", "other"}}},
	"middle": {crashing: []string{"system", crashingPart}, sound: [][]string{{"system", "session"}, {"system", "other"}}},
	"only":   {crashing: []string{crashingPart}, sound: [][]string{{"system"}, {"system", "other"}}},
}

// Guards against requests that share one part of their prompts, no two alike, and crash
// one server after another.
func TestPromptPartThatCrashesServersIsQuarantined(t *testing.T) {
	for name, parts := range promptPartCases {
		for _, hosts := range []int{7, 40} {
			t.Run(fmt.Sprintf("%s/%d", name, hosts), func(t *testing.T) {
				withPartFleet(t, hosts, func(ctx context.Context, is *is.I, f *partFleet) {
					go f.sendFor(ctx, 40*time.Second, crashingInterval, parts.crashing)
					f.sendFor(ctx, 40*time.Second, soundInterval, parts.sound...)
					time.Sleep(10 * time.Second)
					t.Logf("%d crashes, %d sends after the fifth, %.3f of the sound ones served", f.engines.crashCount(),
						f.engines.sendsAfterCrashes(), f.soundServed(f.engines.lastAllowedCrash().Add(2*partWindow)))
					is.True(f.engines.sendsAfterCrashes() <= sendsAllowed)
					is.True(f.soundServed(f.engines.lastAllowedCrash().Add(2*partWindow)) >= soundShare)
				})
			})
		}
	}
}

// Guards against hosts that are cut off from their peers, not from the servers or the
// store, and send what the others have quarantined.
func TestQuarantinedPartReachesHostsCutOffFromPeers(t *testing.T) {
	withPartFleet(t, 7, func(ctx context.Context, is *is.I, f *partFleet) {
		for i := range 3 {
			f.cutOff(i)
		}
		go f.sendFor(ctx, 30*time.Second, crashingInterval, []string{"system", crashingPart})
		f.sendFor(ctx, 30*time.Second, soundInterval, []string{"system", "session"})
		time.Sleep(10 * time.Second)
		t.Logf("%d crashes, %d sends after the fifth", f.engines.crashCount(), f.engines.sendsAfterCrashes())
		is.True(f.engines.sendsAfterCrashes() <= sendsAllowed)
	})
}

// cutOff cuts a host off from all others.
func (f *partFleet) cutOff(host int) {
	for i := range f.hosts {
		if i != host {
			f.fabric.Cut(hostAddress(host), hostAddress(i))
		}
	}
}

// Guards against a quarantined part that is sent again after all hosts were killed at once.
func TestQuarantinedPartSurvivesRestartOfAllHosts(t *testing.T) {
	withPartFleet(t, 7, func(ctx context.Context, is *is.I, f *partFleet) {
		for range 3 {
			go f.sendFor(ctx, 10*time.Second, soundInterval, []string{"system", "session"})
			f.sendFor(ctx, 10*time.Second, crashingInterval, []string{"system", crashingPart})
			f.restartAll(ctx)
		}
		f.sendFor(ctx, 10*time.Second, crashingInterval, []string{"system", crashingPart})
		is.True(f.engines.sendsAfterCrashes() <= sendsAllowed)
		is.True(f.serve(ctx, shortEvents, "system", "session").Complete)
	})
}

// Guards against a fleet in which each host tries a quarantined part, and against one that
// never tries it again.
func TestQuarantinedPartIsTriedOnceInTheFleet(t *testing.T) {
	withPartFleet(t, 7, func(ctx context.Context, is *is.I, f *partFleet) {
		parts := []string{"system", crashingPart}
		go f.sendFor(ctx, 10*time.Second, soundInterval, []string{"system", "session"})
		f.sendFor(ctx, 10*time.Second, crashingInterval, parts)
		sent := f.engines.partSendCount()
		f.sendFor(ctx, 5*time.Minute, crashingInterval/10, parts)
		is.Equal(f.engines.partSendCount()-sent, 1)
		f.engines.repaired.Store(true)
		f.sendFor(ctx, 20*time.Minute, time.Second, parts)
		is.True(f.serve(ctx, shortEvents, parts...).Complete)
	})
}

// Guards against a quarantine that comes too late when requests with the part are rare,
// many at once, or the only ones.
func TestQuarantineOfPartAtAnyRate(t *testing.T) {
	for _, interval := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		for _, sound := range []time.Duration{soundInterval, time.Second} {
			t.Run(fmt.Sprintf("%s/%s", interval, sound), func(t *testing.T) {
				withPartFleet(t, 7, func(ctx context.Context, is *is.I, f *partFleet) {
					lasts := max(20*time.Second, 20*interval)
					go f.sendFor(ctx, lasts, sound, []string{"system", "session"}, []string{"system", "other"})
					f.sendFor(ctx, lasts, interval, []string{"system", crashingPart})
					t.Logf("%d crashes, %d sends after the fifth, %.3f of the sound ones served", f.engines.crashCount(),
						f.engines.sendsAfterCrashes(), f.soundServed(f.engines.lastAllowedCrash().Add(2*partWindow)))
					is.True(f.engines.sendsAfterCrashes() <= sendsAllowed)
				})
			})
		}
	}
}

// Guards against a quarantine of a part that most requests share when servers fail for
// other reasons: together, one after the other, and all of them.
func TestFailingServersQuarantineNoSharedPart(t *testing.T) {
	for name, count := range map[string]int{"rack": 4, "single": 1, "all": serverCount} {
		t.Run(name, func(t *testing.T) {
			withPartFleet(t, 7, func(ctx context.Context, is *is.I, f *partFleet) {
				go f.sendFor(ctx, 40*time.Second, soundInterval/2, []string{"system", "session"}, []string{"system", "other"}, []string{"system"})
				for range 10 {
					f.failServers(count)
					time.Sleep(3500 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				is.True(f.serve(ctx, shortEvents, "system", "session").Complete)
				is.True(f.serve(ctx, shortEvents, "system", "other").Complete)
				for _, h := range f.hosts {
					is.Equal(len(h.quarantine.All()), 0)
				}
			})
		})
	}
}

// failServers ends servers at once; their replacements start later.
func (f *partFleet) failServers(count int) {
	f.engines.mu.Lock()
	var running []string
	for id, ended := range f.engines.crashSignals {
		select {
		case <-ended:
		default:
			running = append(running, id)
		}
	}
	f.engines.mu.Unlock()
	slices.Sort(running)
	for _, id := range running[:min(count, len(running))] {
		f.engines.crash(id)
	}
}
