package bench

import (
	"bufio"
	"context"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/store"
)

// attemptsWithFaults is the maximum number of attempts per request in runs with
// faults; without faults it is 1.
const attemptsWithFaults = 5

// script is a list of faults. Each line has the form
// "AFTER FAULT ARGUMENT [ARGUMENT...]", where AFTER is a duration that counts from
// the start of the measured window. Durations have a unit, "@" stands for the
// site's first failure domain, and lines that begin with "#" are ignored:
//
//	5s engine_kill 0
//	5s engine_reclaim 1 3s
//	5s link_stall ankara 2s
//	5s silent_connection 2
//	5s host_kill 3
//	5s store_outage 5s
type script struct{ steps []step }

type step struct {
	at        time.Duration
	fault     string
	arguments []string
}

// noFaultsName is the name of the script without faults.
const noFaultsName = "none"

// allFaultsName is the name of the script with one fault of each kind.
const allFaultsName = "all"

var allFaultsScript = `
2s store_outage 10s
4s engine_kill 0
6s link_stall @ 2s
8s silent_connection 2
10s host_kill 3
12s engine_reclaim 1 3s
`

// parseScript returns the script with the given name: "none" or "all", the lines
// of a script joined by ";" if the name contains a space, or else a file.
func parseScript(s site, name string) (script, error) {
	switch {
	case name == "" || name == noFaultsName:
		return script{}, nil
	case name == allFaultsName:
		return parseLines(s, allFaultsScript)
	case strings.Contains(name, " "):
		return parseLines(s, strings.ReplaceAll(name, ";", "\n"))
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return script{}, errors.Wrap(err, "bench: fault script")
	}
	return parseLines(s, string(content))
}

func parseLines(s site, text string) (script, error) {
	var result script
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		fields := strings.Fields(strings.ReplaceAll(lines.Text(), "@", s.domains[0]))
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) < 3 {
			return script{}, errors.Newf("bench: fault script: %q: AFTER FAULT ARGUMENT expected", lines.Text())
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			return script{}, errors.Wrapf(err, "bench: fault script: %q", lines.Text())
		}
		next := step{at: at, fault: fields[1], arguments: fields[2:]}
		if err := next.check(s); err != nil {
			return script{}, errors.Wrapf(err, "bench: fault script: %q", lines.Text())
		}
		result.steps = append(result.steps, next)
	}
	return result, nil
}

// check validates the step before the run starts.
func (s step) check(site site) error {
	injected := injections[s.fault]
	if injected.apply == nil {
		return errors.Newf("unknown fault %q", s.fault)
	}
	if len(s.arguments) != len(injected.arguments) {
		return errors.Newf("%s takes %s", s.fault, strings.Join(injected.arguments, " "))
	}
	for i, kind := range injected.arguments {
		if err := checkArgument(site, kind, s.arguments[i]); err != nil {
			return err
		}
	}
	return nil
}

const (
	argEngine   = "ENGINE"
	argHost     = "HOST"
	argDomain   = "FAILURE_DOMAIN"
	argDuration = "DURATION"
)

func checkArgument(s site, kind, value string) error {
	switch kind {
	case argDuration:
		_, err := time.ParseDuration(value)
		return err
	case argDomain:
		for _, domain := range s.domains {
			if domain == value {
				return nil
			}
		}
		return errors.Newf("no failure domain %q", value)
	}
	count := map[string]int{argEngine: s.workers, argHost: s.entryHosts}[kind]
	if n, err := strconv.Atoi(value); err != nil || n < 0 || n >= count {
		return errors.Newf("%s is 0 to %d, not %q", kind, count-1, value)
	}
	return nil
}

// injection is one kind of fault.
type injection struct {
	arguments []string
	apply     func(*deployment, []string)
}

var injections = map[string]injection{
	"engine_kill":       {[]string{argEngine}, func(d *deployment, a []string) { _ = d.engines[number(a[0])].Close() }},
	"engine_reclaim":    {[]string{argEngine, argDuration}, func(d *deployment, a []string) { d.engines[number(a[0])].Reclaim(duration(a[1])) }},
	"link_stall":        {[]string{argDomain, argDuration}, func(d *deployment, a []string) { d.topology.stall(a[0], duration(a[1])) }},
	"silent_connection": {[]string{argEngine}, func(d *deployment, a []string) { d.topology.silence(d.engines[number(a[0])].address) }},
	"host_kill":         {[]string{argHost}, func(d *deployment, a []string) { d.hosts[number(a[0])].kill() }},
	"store_outage":      {[]string{argDuration}, storeOutage},
}

func storeOutage(d *deployment, a []string) {
	d.store.SetFaults(store.Faults{Outage: true})
	time.Sleep(duration(a[0]))
	d.store.SetFaults(store.Faults{})
}

// number and duration parse arguments that check has validated.
func number(s string) int { n, _ := strconv.Atoi(s); return n }

func duration(s string) time.Duration { d, _ := time.ParseDuration(s); return d }

// start schedules the steps and returns a function that waits until all have
// run.
func (s script) start(ctx context.Context, c *cellRun) (wait func()) {
	var running sync.WaitGroup
	for _, next := range s.steps {
		running.Go(func() {
			select {
			case <-time.After(time.Until(c.meter.start.Add(c.warm + next.at))):
				injections[next.fault].apply(c.deployment, next.arguments)
			case <-ctx.Done():
			}
		})
	}
	return running.Wait
}
