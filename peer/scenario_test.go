package peer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/papayasail/papayasail/store"
)

// TestScenarios runs the failure scenarios in testdata. Each file begins with a
// description. Commands:
//
//	start HOST...            wait DURATION          put HOST name=N version=V
//	kill HOST...             end HOST...            leave HOST successor=S
//	silence A... from=(B...) lose A... to=(B...)    stall A... from=(B...)
//	heal                     states [HOST...]       versions
//
// silence drops bytes in both directions, lose in one; stall delays them until
// heal. Without from or to, the fault applies to all other hosts.
func TestScenarios(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "a1", "b1", "c1")
			defer f.stop()
			datadriven.RunTestAny(t, path, func(t testing.TB, d *datadriven.TestData) string {
				return runCommand(t, f, d)
			})
		})
	})
}

func runCommand(t testing.TB, f *testFleet, d *datadriven.TestData) string {
	hosts := hostArgs(d)
	each := func(do func(string)) {
		for _, host := range hosts {
			do(host)
		}
	}
	switch d.Cmd {
	case "start":
		f.start(hosts...)
	case "kill":
		each(f.kill)
	case "end":
		each(f.end)
	case "wait":
		time.Sleep(duration(t, hosts[0]))
	case "leave":
		f.hosts[hosts[0]].Leave(option(d, "successor")[0])
	case "put":
		version, err := strconv.ParseUint(option(d, "version")[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		f.hosts[hosts[0]].table.put(option(d, "name")[0], store.Version(version))
		f.hosts[hosts[0]].Announce()
	case "silence":
		f.pairs(hosts, option(d, "from"), f.fabric.Silence)
	case "lose":
		f.pairs(hosts, option(d, "to"), f.fabric.SilenceOneWay)
	case "heal":
		f.fabric.HealAll()
	case "stall":
		f.pairs(hosts, option(d, "from"), f.fabric.Stall)
	case "states":
		if len(hosts) == 0 {
			hosts = f.names()
		}
		return f.describeStates(hosts)
	case "versions":
		return f.describeVersions()
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

func hostArgs(d *datadriven.TestData) (hosts []string) {
	for _, arg := range d.CmdArgs {
		if len(arg.Vals) == 0 {
			hosts = append(hosts, arg.Key)
		}
	}
	return hosts
}

func option(d *datadriven.TestData, key string) []string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key {
			return arg.Vals
		}
	}
	return nil
}

func duration(t testing.TB, text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// pairs applies a fault to every pair of a host in some and one in others; nil
// means all hosts that are not in some.
func (f *testFleet) pairs(some, others []string, fault func(a, b string)) {
	if others == nil {
		for _, host := range f.names() {
			if !slices.Contains(some, host) {
				others = append(others, host)
			}
		}
	}
	for _, a := range some {
		for _, b := range others {
			fault(f.ip(a), f.ip(b))
		}
	}
}

// describeStates groups hosts that have the same view of the membership.
func (f *testFleet) describeStates(hosts []string) string {
	var lines []string
	byView := make(map[string][]string)
	for _, host := range hosts {
		view := f.view(host)
		if byView[view] == nil {
			lines = append(lines, view)
		}
		byView[view] = append(byView[view], host)
	}
	for i, view := range lines {
		lines[i] = strings.Join(byView[view], " ") + ": " + view
	}
	return strings.Join(lines, "\n") + "\n"
}

func (f *testFleet) view(host string) string {
	var parts []string
	for _, state := range []State{StateAlive, StateLeaving, StateSuspect, StateGone} {
		var names []string
		for _, m := range f.hosts[host].Members() {
			name := m.Host
			if m.Successor != "" {
				name += ">" + m.Successor
			}
			if m.State == state {
				names = append(names, name)
			}
		}
		if names != nil {
			parts = append(parts, fmt.Sprintf("%s(%s)", state, strings.Join(names, " ")))
		}
	}
	return strings.Join(parts, " ")
}

func (f *testFleet) describeVersions() string {
	var lines []string
	byTable := make(map[string][]string)
	for _, host := range f.names() {
		held := f.hosts[host].table.String()
		if byTable[held] == nil {
			lines = append(lines, held)
		}
		byTable[held] = append(byTable[held], host)
	}
	for i, held := range lines {
		lines[i] = strings.Join(byTable[held], " ") + ": " + held
	}
	return strings.Join(lines, "\n") + "\n"
}
