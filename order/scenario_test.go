package order

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/store"
)

// TestScenarios runs the scenarios in testdata, one failure each. Commands:
//
//	host NAME [domain=D] [unwatching]           start an entry host
//	engine NAME... [honours]                    start engines; with honours they check fencing numbers
//	document SERVICE model=M version=V min=N workers=(W,...) [via=HOST] [expect=current] [links=(D,...)] [unchecked] [role=R]
//	race SERVICE ... via=(A,B)                  two hosts apply, both expecting the current version
//	run DURATION                                advance virtual time
//	store ok | outage | slow=D | lose-answers=N | lose-requests=N
//	pause | resume | kill | stop HOST
//	pause-after-intent HOST                     pause the host between its next intent and the order
//	engine-fault NAME die | start | lose-answers=N | lose-requests=N | carry=D
//	show                                        print engines, lease holder, violated invariants
//	count MODEL                                 print the number of engines that have a version of the model
//	trail                                       print audit entries of orders by server, oldest first
//	check [min=N]                               check all orders so far; each unload left at least N engines with the model
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			defer w.close()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				return w.exec(t, d)
			})
		})
	})
}

func (w *world) exec(t *testing.T, d *datadriven.TestData) string {
	first := ""
	if len(d.CmdArgs) > 0 {
		first = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "host":
		w.addHost(first, text(d, "domain", "north"), !d.HasArg("unwatching"))
	case "engine":
		for _, arg := range d.CmdArgs {
			if arg.Key != "honours" {
				w.addEngine(arg.Key, d.HasArg("honours"))
			}
		}
	case "document":
		return outcome(w.apply(w.via(d), documentOf(d, first), w.stored(first)))
	case "race":
		return w.race(d, first)
	case "run":
		w.advance(duration(t, first))
	case "store":
		w.memory.SetFaults(faultsOf(t, d))
	case "pause":
		w.hosts[first].gate.pause()
	case "resume":
		w.hosts[first].gate.resume()
	case "pause-after-intent":
		w.hosts[first].gate.pauseAfterIntent()
	case "stop":
		w.stopHost(first)
	case "count":
		return fmt.Sprintf("%d engines\n", w.engineSet.countHaving(first))
	case "trail":
		return w.trail(t)
	case "kill":
		w.killHost(first)
	case "engine-fault":
		w.engineFault(t, d, w.engineSet.engines[first])
	case "show":
		return w.show()
	case "check":
		w.checkEffects(0)
		w.checkRemaining(d)
		return w.summary()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	synctest.Wait()
	return ""
}

func (w *world) via(d *datadriven.TestData) *host { return w.hosts[text(d, "via", "a")] }

// race submits one document per host concurrently, all for the same expected
// version.
func (w *world) race(d *datadriven.TestData, service string) string {
	expect, results := w.stored(service), make(chan string)
	names := values(d, "via")
	for i, name := range names {
		document := documentOf(d, service)
		document.Owner = name
		id := fmt.Sprintf("race%d", i)
		go func() {
			result, err := w.hosts[name].acceptor.Put(w.ctx, changeOf(document, expect, id, name))
			line := strings.TrimSpace(outcome(result, err))
			if result.Winner != nil {
				line += ", won by another: " + fmt.Sprint(result.Winner.Who != name)
			}
			results <- line
		}()
	}
	lines := map[string]int{}
	for range names {
		lines[<-results]++
	}
	return strings.ReplaceAll(strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(lines), "map["), "]"), ":1", "") + "\n"
}

func (w *world) engineFault(t *testing.T, d *datadriven.TestData, e *testEngine) {
	for _, arg := range d.CmdArgs[1:] {
		switch arg.Key {
		case "die":
			e.die()
		case "start":
			e.start()
		case "lose-answers":
			e.set(func() { arg.Scan(t, 0, &e.loseAnswers) })
		case "lose-requests":
			e.set(func() { arg.Scan(t, 0, &e.loseRequests) })
		case "carry":
			e.set(func() { e.executionTime = duration(t, arg.Vals[0]) })
		}
	}
}

// trail renders the audit entries of orders.
func (w *world) trail(t *testing.T) string {
	entries, err := configuration.NewAcceptor(w.memory, parseJSON).Trail(w.ctx)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	slices.Reverse(entries)
	slices.SortStableFunc(entries, func(a, b audit.Entry) int { return strings.Compare(a.Name, b.Name) })
	for _, entry := range entries {
		if entry.What == audit.WhatOrder {
			fmt.Fprintf(&b, "%s by %s: %s\n", entry.Name, entry.Who, entry.Detail)
		}
	}
	return b.String()
}

// checkRemaining checks that each unload left at least min engines with the model.
func (w *world) checkRemaining(d *datadriven.TestData) {
	least, _ := strconv.Atoi(text(d, "min", "0"))
	for _, e := range w.engineSet.effects {
		if e.order.Kind == backend.OrderUnload && e.remaining < least {
			w.recordViolation("%s left %d workers", orderOf(e.order), e.remaining)
		}
	}
}

func orderOf(r backend.OrderRequest) Order { return Order{Kind: r.Kind, Model: r.Model, Role: r.Role} }

// summary returns the violated invariants, or the number of orders that took
// effect.
func (w *world) summary() string {
	if len(w.violations) > 0 {
		return strings.Join(w.violations, "\n") + "\n"
	}
	return fmt.Sprintf("promises kept, %d orders took effect\n", len(w.engineSet.effects))
}

func outcome(result configuration.Result, err error) string {
	if err != nil {
		return fmt.Sprintf("%s: %v\n", result.Outcome, err)
	}
	return string(result.Outcome) + "\n"
}

func documentOf(d *datadriven.TestData, service string) contract.Document {
	document := contract.Document{
		Service: service, Kind: contract.KindModel,
		Model: &contract.ModelSpec{Name: text(d, "model", "m"), Version: text(d, "version", "1")},
	}
	document.Model.MinWorkers, _ = strconv.Atoi(text(d, "min", "1"))
	workers, links := values(d, "workers"), values(d, "links")
	for _, address := range workers {
		document.BackendServers = append(document.BackendServers, contract.BackendServer{
			Name: address, Address: address, ChecksOrders: !d.HasArg("unchecked"), Role: text(d, "role", ""),
		})
	}
	for _, from := range links {
		document.OrderLinks = append(document.OrderLinks, contract.OrderLink{From: from, BackendServers: workers})
	}
	return document
}

func faultsOf(t *testing.T, d *datadriven.TestData) store.Faults {
	var faults store.Faults
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "outage":
			faults.Outage = true
		case "slow":
			faults.Slow = duration(t, arg.Vals[0])
		case "lose-answers":
			arg.Scan(t, 0, &faults.LoseAnswers)
		case "lose-requests":
			arg.Scan(t, 0, &faults.LoseRequests)
		}
	}
	return faults
}

// values returns the values of an argument.
func values(d *datadriven.TestData, key string) []string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key {
			return arg.Vals
		}
	}
	return nil
}

func text(d *datadriven.TestData, key, otherwise string) string {
	if all := values(d, key); len(all) > 0 {
		return all[0]
	}
	return otherwise
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
