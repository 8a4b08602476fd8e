package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

const (
	firstRisk       = 0.05
	changedRisk     = 0.02
	narrativeTokens = 60
	longTokens      = 200
	loadStreams     = 12
	eventTokens     = 20 // index of the token at which a fault or stop hits a stream
)

func (d *demonstration) applyDocuments(ctx context.Context) error {
	if err := eventually(ctx, "membership of the entry hosts is complete", d.membershipComplete(ctx)); err != nil {
		return err
	}
	documents := d.site.Documents(firstRisk)
	for _, service := range []string{Narratives, Letters, Gauges} {
		if _, err := d.apply(ctx, service, documents[service], 0); err != nil {
			return err
		}
	}
	return eventually(ctx, "backend servers are ready", d.backendServersReady(ctx))
}

// apply submits a document to the first running host, waits until it is in force on
// all running hosts, and returns its version.
func (d *demonstration) apply(ctx context.Context, service, document string, expect uint64) (uint64, error) {
	begin := time.Now()
	accepted, err := d.put(ctx, service, document, expect)
	if err != nil {
		return 0, errors.Wrapf(err, "apply %s", service)
	}
	if err := eventually(ctx, "in force everywhere", d.inForce(ctx, service, accepted.Version)); err != nil {
		return 0, err
	}
	d.logf("%s version %d accepted, and in force everywhere after %d ms", service, accepted.Version, time.Since(begin).Milliseconds())
	return accepted.Version, nil
}

func (d *demonstration) put(ctx context.Context, service, document string, expect uint64) (*operator.Accepted, error) {
	return d.runningHosts()[0].Operator.Put(ctx, &operator.PutPayload{
		Token: operatorToken(), Service: service, Document: document, ExpectVersion: expect, ChangeID: uuid.NewString(),
	})
}

func operatorToken() *string {
	token := OperatorToken
	return &token
}

// runningHosts returns the hosts that have not stopped.
func (d *demonstration) runningHosts() []*EntryHost {
	var living []*EntryHost
	for _, host := range d.site.Hosts {
		select {
		case <-host.done:
		default:
			living = append(living, host)
		}
	}
	return living
}

func (d *demonstration) status(ctx context.Context, host *EntryHost) *operator.HostStatus {
	status, err := host.Operator.Status(ctx, &operator.StatusPayload{Token: operatorToken()})
	if err != nil {
		return &operator.HostStatus{}
	}
	return status
}

// onAllHosts returns a function that reports whether the status of every running host
// satisfies a condition.
func (d *demonstration) onAllHosts(ctx context.Context, condition func(*operator.HostStatus) bool) func() bool {
	return func() bool {
		for _, host := range d.runningHosts() {
			if !condition(d.status(ctx, host)) {
				return false
			}
		}
		return true
	}
}

func (d *demonstration) membershipComplete(ctx context.Context) func() bool {
	return d.onAllHosts(ctx, func(status *operator.HostStatus) bool { return len(status.Members) == entryHosts })
}

func (d *demonstration) inForce(ctx context.Context, service string, version uint64) func() bool {
	return d.onAllHosts(ctx, func(status *operator.HostStatus) bool {
		return slices.ContainsFunc(status.Services, func(s *operator.ServiceInfo) bool { return s.Service == service && s.Version >= version })
	})
}

func (d *demonstration) backendServersReady(ctx context.Context) func() bool {
	return d.onAllHosts(ctx, func(status *operator.HostStatus) bool {
		notReady := func(s *operator.BackendServerStatus) bool { return s.State != "ready" }
		return len(status.BackendServers) > 0 && !slices.ContainsFunc(status.BackendServers, notReady)
	})
}

func (d *demonstration) streamNarrative(ctx context.Context) error {
	request := caller.Request{Prompt: "seasonal outlook of the upper basin", StopAfter: narrativeTokens}
	r := read(ctx, d.client, Narratives, request, nil)
	if err := d.verifyResult(r); err != nil {
		return err
	}
	d.logf("received %d tokens of generation %s from %s, then the end event", r.tokens, r.generation, r.lastHost)
	return nil
}

func (d *demonstration) exactCalls(ctx context.Context) error {
	if err := d.call(ctx, http.MethodPost, plain.PathVerdicts, "gate 7"); err != nil {
		return err
	}
	if err := d.call(ctx, http.MethodGet, plain.PathReadings, ""); err != nil {
		return err
	}
	return d.lostAnswer(ctx)
}

func (d *demonstration) call(ctx context.Context, method, path, body string) error {
	answer, err := d.client.Call(ctx, Gauges, method, path, []byte(body), nil)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	if want := plain.AnswerText(method, path, body); string(answer.Body) != want {
		return errors.Newf("%s %s answered %q instead of %q", method, path, answer.Body, want)
	}
	if err := d.ranOnce(method, path, body); err != nil {
		return err
	}
	d.calls++
	d.logf("%s %s: %q, ran once", method, path, answer.Body)
	return nil
}

func (d *demonstration) ranOnce(method, path, body string) error {
	runs := 0
	for _, run := range d.site.Plain.Runs() {
		if run.Method == method && run.Path == path && run.Body == body {
			runs++
		}
	}
	if runs != 1 {
		return errors.Newf("%s %s ran %d times", method, path, runs)
	}
	return nil
}

// lostAnswer breaks the connection to the plain service after the call ran. The
// caller has to receive the outcome unknown, and its retries must not run the call
// again.
func (d *demonstration) lostAnswer(ctx context.Context) error {
	const path = plain.PathAlarms + "/7/ack"
	d.site.Plain.QueueModes(plain.DropAfter)
	_, err := d.client.Call(ctx, Gauges, http.MethodPost, path, []byte("seen"), nil)
	var refusal *contract.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != contract.OutcomeUnknown {
		return errors.Newf("a call whose answer was lost returned %v", err)
	}
	if err := d.ranOnce(http.MethodPost, path, "seen"); err != nil {
		return err
	}
	d.logf("POST %s, answer lost between plain service and entry host: outcome %q, ran once", path, refusal.Outcome)
	return nil
}

func (d *demonstration) changeDocument(ctx context.Context) error {
	current, err := d.site.Hosts[0].Operator.Get(ctx, &operator.GetPayload{Token: operatorToken(), Service: Narratives})
	if err != nil {
		return err
	}
	version, err := d.apply(ctx, Narratives, d.site.Documents(changedRisk)[Narratives], current.Version)
	if err != nil {
		return err
	}
	_, err = d.put(ctx, Narratives, d.site.Documents(firstRisk)[Narratives], current.Version)
	var problem *operator.Problem
	if !errors.As(err, &problem) || problem.Status != http.StatusConflict {
		return errors.Newf("a change that expected the old version returned %v", err)
	}
	d.logf("a second change that expects version %d is refused, version %d stays in force: %s", current.Version, version, *problem.Detail)
	return nil
}

// load is a closed loop of loadStreams concurrent callers, each of which reads one
// generation after another until stop is closed.
type load struct {
	stop    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex // guards results
	results []result
}

func (d *demonstration) startLoad(ctx context.Context, name string) *load {
	l := &load{stop: make(chan struct{})}
	for i := range loadStreams {
		l.running.Go(func() {
			for n := 0; !l.stopped(); n++ {
				prompt := fmt.Sprintf("%s, caller %d, narrative %d", name, i, n)
				l.add(read(ctx, d.client, Narratives, caller.Request{Prompt: prompt, StopAfter: narrativeTokens}, nil))
			}
		})
	}
	return l
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// finish stops the load, waits for its callers and verifies all generations.
func (d *demonstration) finish(l *load) error {
	close(l.stop)
	l.running.Wait()
	for _, r := range l.results {
		if err := d.verifyResult(r); err != nil {
			return err
		}
	}
	d.logf("%d narratives ran meanwhile, each complete, in order, exactly once", len(l.results))
	return nil
}

func (d *demonstration) drainUnderLoad(ctx context.Context) error {
	l := d.startLoad(ctx, "load around the drain")
	drained := d.site.Engines[0]
	if err := eventually(ctx, "load on "+drained.Name, func() bool { return drained.Load().Running > 0 }); err != nil {
		return err
	}
	d.logf("%d callers stream; %s runs %d generations and is drained", loadStreams, drained.Name, drained.Load().Running)
	if err := d.drain(ctx, drained, false); err != nil {
		return err
	}
	if err := eventually(ctx, "drain is known on all entry hosts", d.leaving(ctx, drained)); err != nil {
		return err
	}
	if err := eventually(ctx, drained.Name+" is idle", func() bool { return drained.Load().Running == 0 }); err != nil {
		return err
	}
	before := drained.Counters().Started
	const watch = time.Second
	if err := sleep.For(ctx, watch); err != nil {
		return err
	}
	if after := drained.Counters().Started; after != before {
		return errors.Newf("%s received %d new generations while drained", drained.Name, after-before)
	}
	d.logf("%s finished its generations and received no new ones for %s", drained.Name, watch)
	if err := d.finish(l); err != nil {
		return err
	}
	// The gossiped information that the server is leaving expires later; the demo
	// does not wait for that.
	return d.drain(ctx, drained, true)
}

func (d *demonstration) drain(ctx context.Context, e *Engine, end bool) error {
	_, err := d.runningHosts()[0].Operator.Drain(ctx, &operator.DrainPayload{Token: operatorToken(), Address: e.Address, End: end, ChangeID: uuid.NewString()})
	if err != nil {
		return errors.Wrapf(err, "drain %s", e.Name)
	}
	return nil
}

func (d *demonstration) leaving(ctx context.Context, e *Engine) func() bool {
	return d.onAllHosts(ctx, func(status *operator.HostStatus) bool {
		return slices.ContainsFunc(status.BackendServers, func(s *operator.BackendServerStatus) bool {
			return s.Address == e.Address && s.State == "leaving"
		})
	})
}

func (d *demonstration) storeOutage(ctx context.Context) error {
	d.site.Store.SetFaults(store.Faults{Outage: true})
	defer d.site.Store.SetFaults(store.Faults{})
	d.logf("the store refuses every call")
	r := read(ctx, d.client, Narratives, caller.Request{Prompt: "outlook during the outage", StopAfter: narrativeTokens}, nil)
	if err := d.verifyResult(r); err != nil {
		return err
	}
	if err := d.call(ctx, http.MethodPost, plain.PathVerdicts, "gate 8, store away"); err != nil {
		return err
	}
	current, err := d.site.Hosts[0].Operator.Get(ctx, &operator.GetPayload{Token: operatorToken(), Service: Narratives})
	if err != nil {
		return err
	}
	changed := d.site.Documents(firstRisk)[Narratives]
	_, err = d.put(ctx, Narratives, changed, current.Version)
	var problem *operator.Problem
	if !errors.As(err, &problem) || problem.Status != http.StatusServiceUnavailable {
		return errors.Newf("a change during the outage returned %v", err)
	}
	d.logf("narratives and calls are still served; a change is refused: %s", *problem.Detail)
	d.site.Store.SetFaults(store.Faults{})
	_, err = d.apply(ctx, Narratives, changed, current.Version)
	return err
}

// killEntryHost kills the host that serves a stream. The caller's client resumes the
// stream at another host, after the last token that it received.
func (d *demonstration) killEntryHost(ctx context.Context) error {
	var killed atomic.Pointer[EntryHost]
	kill := func(stream *caller.Stream, token caller.Token) {
		if token.Index == eventTokens {
			host := d.host(stream.Host())
			d.logf("%s is killed after token %d", host.Name, token.Index)
			killed.Store(host)
			host.Kill()
		}
	}
	r := read(ctx, d.client, Narratives, caller.Request{Prompt: "outlook that outlives its entry host", StopAfter: longTokens}, kill)
	if err := d.verifyResult(r); err != nil {
		return err
	}
	if r.resumes == 0 || r.lastHost == killed.Load().Name {
		return errors.New("the stream was not resumed at another entry host")
	}
	d.logf("%s resumed with the next token of the same generation: %d tokens, none lost, none duplicated", r.lastHost, r.tokens)
	return nil
}

// stopEntryHost gracefully stops the host that serves a letter. The host has to finish
// the stream before it stops. Letters are not idempotent: none may run twice.
func (d *demonstration) stopEntryHost(ctx context.Context) error {
	stopped := make(chan error, 1)
	stop := func(stream *caller.Stream, token caller.Token) {
		if token.Index == eventTokens {
			host := d.host(stream.Host())
			d.logf("%s is told to stop after token %d", host.Name, token.Index)
			go func() { stopped <- host.Stop(ctx) }()
		}
	}
	r := read(ctx, d.client, Letters, caller.Request{Prompt: "reminder letter to the dealer in Zhongli", StopAfter: longTokens}, stop)
	if err := d.verifyResult(r); err != nil {
		return err
	}
	if r.resumes != 0 {
		return errors.New("the letter was resumed during the graceful stop")
	}
	select {
	case err := <-stopped:
		if err != nil {
			return errors.Wrap(err, "stop")
		}
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stop")
	}
	d.logf("the letter finished on the same host, %d tokens, and the host stopped after that", r.tokens)
	return d.call(ctx, http.MethodPost, plain.PathVerdicts, "gate 9, one entry host left")
}

// host returns the entry host with this name, or the first one if there is none.
func (d *demonstration) host(name string) *EntryHost {
	for _, host := range d.site.Hosts {
		if host.Name == name {
			return host
		}
	}
	return d.site.Hosts[0]
}
