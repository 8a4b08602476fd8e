package order

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/store"
)

// step is one action of a fuzzed script.
type step struct {
	action string
	n      int // index of a host, engine or service, modulo their number
	d      time.Duration
}

// actions lists each action as often as its weight in the random choice.
var actions = slices.Concat(
	slices.Repeat([]string{"run"}, 8), slices.Repeat([]string{"apply"}, 5), slices.Repeat([]string{"race"}, 2),
	[]string{"pause", "pause holder", "pause after intent", "pause after intent", "resume", "resume", "replace", "replace holder", "stop holder", "die", "start", "start", "carry", "drain", "settle"},
	[]string{"outage", "store ok", "store ok", "slow", "lose answers", "lose answers", "lose requests", "order answer lost", "order lost"},
)

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		action: rapid.SampledFrom(actions).Draw(t, "do"),
		n:      rapid.IntRange(0, 11).Draw(t, "n"),
		d:      time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second,
	}
})

// fuzzer runs scripts against a world and records the data for the final check.
type fuzzer struct {
	*world
	started  int // number of hosts started so far
	results  chan changeResult
	pending  int
	unknown  map[string]string // change id to service
	refused  map[string]string
	reached  map[string]int
	services []contract.Document
}

type changeResult struct {
	id, service string
	result      configuration.Result
}

func TestFuzzOrders(t *testing.T) {
	// Guards against violated invariants after arbitrary sequences of platform, host
	// and engine failures during document changes; checked after recovery.
	reached := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(steps, 20, 60).Draw(rt, "script")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			f := newFuzzer(reached)
			defer f.close()
			for _, s := range script {
				f.execute(s)
			}
			f.heal()
			violations = f.verify()
		})
		if len(violations) > 0 {
			rt.Fatalf("%d invariants violated: %q", len(violations), violations)
		}
	})
	for _, key := range slices.Sorted(maps.Keys(reached)) {
		t.Logf("executed %-22s %d", key, reached[key])
	}
	for _, action := range actions {
		if reached[action] == 0 {
			t.Errorf("action %q was never executed", action)
		}
	}
}

func newFuzzer(reached map[string]int) *fuzzer {
	f := &fuzzer{
		world: newWorld(), results: make(chan changeResult, 100),
		unknown: map[string]string{}, refused: map[string]string{}, reached: reached,
	}
	for i := range 4 {
		f.addEngine(fmt.Sprintf("w%d", i), i < 2)
	}
	f.services = []contract.Document{fuzzDocument("letters", "m", 2, 0, 1, 2, 3), fuzzDocument("outlook", "n", 1, 1, 2, 3)}
	for range 3 {
		f.newHost()
	}
	f.advance(time.Second)
	return f
}

func fuzzDocument(service, model string, minWorkers int, workers ...int) contract.Document {
	document := contract.Document{Service: service, Kind: contract.KindModel, Model: &contract.ModelSpec{Name: model, MinWorkers: minWorkers}}
	for _, i := range workers {
		name := fmt.Sprintf("w%d", i)
		document.BackendServers = append(document.BackendServers, contract.BackendServer{Name: name, Address: name, ChecksOrders: true})
	}
	return document
}

func (f *fuzzer) newHost() {
	f.started++
	f.addHost(fmt.Sprintf("h%d", f.started), "north", true)
}

func (f *fuzzer) host(n int) *host {
	names := slices.Sorted(maps.Keys(f.hosts))
	return f.hosts[names[n%len(names)]]
}

// holder returns a host that believes it holds the lease, otherwise host n.
func (f *fuzzer) holder(n int) *host {
	for _, h := range f.hosts {
		if h.duty.Holding() {
			return h
		}
	}
	return f.host(n)
}

func (f *fuzzer) execute(s step) {
	f.reached[s.action]++
	host := f.host(s.n)
	if strings.HasSuffix(s.action, "holder") || s.action == "pause after intent" {
		host = f.holder(s.n)
	}
	engine := f.engineSet.engines[fmt.Sprintf("w%d", s.n%len(f.engineSet.engines))]
	faults := f.memory.Faults()
	switch s.action {
	case "run":
		f.advance(s.d)
	case "apply":
		f.change(host, s.n)
	case "race":
		f.change(host, s.n)
		f.change(f.host(s.n+1), s.n)
	case "pause", "pause holder":
		host.gate.pause()
	case "pause after intent":
		host.gate.pauseAfterIntent()
	case "resume":
		host.gate.resume()
	case "replace", "replace holder":
		f.killHost(host.name)
		f.newHost()
	case "stop holder":
		f.stopHost(host.name)
		f.newHost()
	case "die":
		engine.die()
	case "start":
		engine.start()
	case "carry":
		engine.set(func() { engine.executionTime = min(s.d, testMaxExecutionTime-time.Second) })
	case "order answer lost":
		engine.set(func() { engine.loseAnswers++ })
	case "order lost":
		engine.set(func() { engine.loseRequests++ })
	case "drain":
		f.drain(host, s.n)
	case "settle":
		f.collect(0)
		f.settle()
	case "outage":
		faults.Outage = true
	case "slow":
		faults.Slow = s.d / 20
	case "lose answers":
		faults.LoseAnswers += 1 + s.n%3
	case "lose requests":
		faults.LoseRequests += 1 + s.n%2
	case "store ok":
		faults = store.Faults{}
	}
	f.memory.SetFaults(faults)
	synctest.Wait()
}

// change submits the next version of a service's model to a host, on condition
// of the version that is in force there.
func (f *fuzzer) change(h *host, n int) {
	document := f.services[n%len(f.services)]
	spec := *document.Model
	f.changes++
	spec.Version = fmt.Sprint(f.changes)
	document.Model = &spec
	id := fmt.Sprintf("c%d", f.changes)
	_, expect, _ := h.table.Document(document.Service)
	f.pending++
	go func() {
		result, _ := h.acceptor.Put(f.ctx, changeOf(document, expect, id, h.name))
		f.results <- changeResult{id, document.Service, result}
	}()
}

// drain starts (n odd) or ends (n even) the drain of a backend server.
func (f *fuzzer) drain(h *host, n int) {
	f.changes++
	id, address := fmt.Sprintf("d%d", f.changes), fmt.Sprintf("10.0.0.%d:80", n)
	f.pending++
	go func() {
		result, _ := h.acceptor.Drain(f.ctx, address, n%2 == 0, id, h.name)
		f.results <- changeResult{id, "", result}
	}()
}

// collect receives the available results of changes, at least atLeast of them.
func (f *fuzzer) collect(atLeast int) {
	for f.pending > 0 && (atLeast > 0 || len(f.results) > 0) {
		r := <-f.results
		f.pending--
		atLeast--
		f.reached["change "+string(r.result.Outcome)]++
		if r.service == "" {
			continue
		}
		switch r.result.Outcome {
		case configuration.Accepted:
			f.accepted[r.id] = acceptedChange{r.service, r.result.Version}
		case configuration.NotAccepted:
			f.refused[r.id] = r.service
		default:
			f.unknown[r.id] = r.service
		}
	}
}

// settle settles the changes with an unknown outcome, as an operator does.
func (f *fuzzer) settle() {
	for _, id := range slices.Sorted(maps.Keys(f.unknown)) {
		service := f.unknown[id]
		acceptor := configuration.NewAcceptor(f.memory, parseJSON)
		result, _ := acceptor.Settle(f.ctx, service, id)
		f.reached["settled "+string(result.Outcome)]++
		switch result.Outcome {
		case configuration.Accepted:
			f.accepted[id] = acceptedChange{service, result.Version}
		case configuration.NotAccepted:
			f.refused[id] = service
		default:
			continue
		}
		delete(f.unknown, id)
	}
}

// heal ends all failures and lets the system converge.
func (f *fuzzer) heal() {
	f.memory.SetFaults(store.Faults{})
	f.resumeAll()
	for _, e := range f.engineSet.engines {
		e.start()
		e.set(func() { e.executionTime, e.loseAnswers, e.loseRequests = time.Second, 0, 0 })
	}
	f.collect(f.pending)
	f.settle()
	f.advance(8 * time.Minute)
}

// verify checks all invariants and returns the violations.
func (f *fuzzer) verify() []string {
	f.checkEffects(testTerm + prepareTimeout)
	f.reached["order effects"] += len(f.engineSet.effects)
	fences := map[uint64]bool{}
	for _, e := range f.engineSet.effects {
		fences[e.order.Fence] = true
	}
	f.reached["fences with effects"] += len(fences)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unknown) > 0 {
		f.recordViolation("unsettled changes: %v", f.unknown)
	}
	for _, document := range f.services {
		f.verifyChanges(document.Service)
		f.verifyEngines(document.Service)
	}
	return f.violations
}

// verifyChanges compares the results reported to operators with the store.
func (f *fuzzer) verifyChanges(service string) {
	entries, err := configuration.NewAcceptor(f.memory, parseJSON).History(context.Background(), service)
	if err != nil && len(f.acceptedOf(service)) > 0 {
		f.recordViolation("history of %s: %v", service, err)
		return
	}
	found := map[string]store.Version{}
	for _, entry := range entries {
		if entry.What == audit.WhatDocument {
			found[entry.ChangeID] = entry.To
		}
	}
	for id, change := range f.acceptedOf(service) {
		if found[id] != change.version {
			f.recordViolation("change %s was accepted as %d, the store has %d", id, change.version, found[id])
		}
		delete(found, id)
	}
	for id := range found {
		f.recordViolation("change %s took effect but was reported as not accepted or unknown (refused: %t)", id, f.refused[id] != "")
	}
}

func (f *fuzzer) acceptedOf(service string) map[string]acceptedChange {
	changes := maps.Clone(f.accepted)
	maps.DeleteFunc(changes, func(_ string, c acceptedChange) bool { return c.service != service })
	return changes
}

// verifyEngines compares each table and engine with the last accepted document.
func (f *fuzzer) verifyEngines(service string) {
	source, version, ok := f.storedSource(service)
	if !ok {
		return
	}
	for name, h := range f.hosts {
		if _, served, _ := h.table.Document(service); served != version {
			f.recordViolation("host %s serves %s at %d, the store has %d", name, service, served, version)
		}
	}
	have := 0
	for _, server := range source.BackendServers {
		state, _ := f.engineSet.ReadState(f.ctx, server.Address)
		for _, model := range state.Models {
			if model == source.Model.Target() {
				have++
			} else if source.Model.Matches(model) {
				f.recordViolation("%s has %s, the document requires %s", server.Address, model, source.Model.Target())
			}
		}
	}
	if have < source.Model.MinWorkers {
		f.recordViolation("%d workers have %s, the document requires %d", have, source.Model.Target(), source.Model.MinWorkers)
	}
}

func (f *fuzzer) storedSource(service string) (*contract.Document, store.Version, bool) {
	object, err := f.memory.Get(f.ctx, configuration.Kind, configuration.ServiceName(service))
	if err != nil {
		return nil, 0, false
	}
	envelope, err := configuration.ParseEnvelope(object.Value)
	if err != nil || envelope.Document == "" {
		return nil, 0, false
	}
	document, err := parseJSON(service, []byte(envelope.Document))
	return document, object.Version, err == nil
}
