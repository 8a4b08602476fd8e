// Package bench measures routing policies. It runs the production code of entry
// hosts over loopback TCP against simulated engines in the layout of a site,
// sends an open-loop load and reports latency, throughput and outcomes as
// callers see them.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/routing"
)

// AllPolicies selects every policy that is not an ablation.
const AllPolicies = "all"

const (
	defaultWarm     = 12 * time.Second
	defaultMeasured = 20 * time.Second
	quickWarm       = 4 * time.Second
	quickMeasured   = 6 * time.Second
	defaultParallel = 3
	quickParallel   = 5
	// gcPercent is the GC percentage during a run. It is above the default
	// because callers and engines share the process with the hosts, and
	// collecting their garbage must not count as a cost of the hosts.
	gcPercent = 400
)

// Options configures a run. Site is required; the other fields have defaults.
type Options struct {
	Site     string    // one of Sites()
	Policies []string  // default: all
	Loads    []float64 // fractions of the site's peak. Default 0.8 and 0.95.
	Seed     uint64    // seed of arrivals and lengths. Default 1.
	Seeds    int       // number of runs, with Seed, Seed+1, ... Default 1.
	Faults   string    // "none", "all", a script's file, or its lines joined by ";"
	// Quick runs only the first load with short windows, as a smoke test that is
	// meant to end within 60 s. It overrides Measured, Seeds and Parallel.
	Quick    bool
	Out      string    // file for the JSON result; none if empty
	Progress io.Writer // destination of progress and table; none if nil
	// Burst is "AT LENGTH LOAD", such as "10s 10s 2", where AT counts from the
	// start of the measured window; no burst if empty.
	Burst string
	// Measured is the length of the measured window. Default 20 s. Quick overrides
	// it.
	Measured time.Duration
	// Parallel is the number of policies that run concurrently, each on its own
	// site. Default 3.
	Parallel int
	// ReportLag is the age of the engines' load reports, ReportLoss the fraction
	// of them that is lost.
	ReportLag  time.Duration
	ReportLoss float64
	// ChunksPerReport is the number of stream chunks per load report that engines
	// put into a stream; 0 means that streams carry no reports.
	ChunksPerReport int
	// PollsPerSecond is the rate at which a host polls engines for their load;
	// 0: the entry host's default for the size of its fleet.
	PollsPerSecond float64
}

// Report is the result of a run.
type Report struct {
	Site     string    `json:"site"`
	Started  time.Time `json:"started"`
	Cores    int       `json:"cores"`
	Parallel int       `json:"parallel"`
	Faults   string    `json:"faults"`
	Burst    string    `json:"burst,omitempty"`
	LagMs    int64     `json:"report_lag_ms"`
	Loss     float64   `json:"report_loss"`
	WarmS    float64   `json:"warm_s"`
	Cells    []Cell    `json:"cells"`
}

// ViolationCount returns the number of invariant violations in the whole run.
func (r *Report) ViolationCount() int {
	count := 0
	for _, cell := range r.Cells {
		count += cell.Violations
	}
	return count
}

// Run runs every policy at every load with every seed and writes the result. If
// the oracle found violations, it returns an error together with the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	p, err := newPlan(options)
	if err != nil {
		return nil, err
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	report := &Report{
		Site: p.site.name, Started: time.Now().UTC(), Cores: runtime.NumCPU(), Parallel: p.options.Parallel,
		Faults: p.options.Faults, Burst: p.options.Burst, LagMs: p.options.ReportLag.Milliseconds(), Loss: p.options.ReportLoss,
		WarmS: p.warm.Seconds(),
	}
	if err := p.run(ctx, report); err != nil {
		return nil, err
	}
	report.writeTable(p.options.Progress)
	if err := report.save(p.options.Out); err != nil {
		return report, err
	}
	if count := report.ViolationCount(); count > 0 {
		return report, errors.Newf("bench: %d invariant violations", count)
	}
	return report, nil
}

// plan is a run with validated options.
type plan struct {
	options  Options
	site     site
	script   script
	burst    burst
	warm     time.Duration
	measured time.Duration
}

func newPlan(options Options) (*plan, error) {
	p := &plan{options: options, warm: defaultWarm, measured: defaultMeasured}
	var err error
	if p.site, err = siteNamed(options.Site); err != nil {
		return nil, err
	}
	p.site.engine.ReportLag, p.site.engine.ReportLoss = options.ReportLag, options.ReportLoss
	p.site.engine.ChunksPerReport, p.site.pollsPerSecond = options.ChunksPerReport, options.PollsPerSecond
	if p.script, err = parseScript(p.site, options.Faults); err != nil {
		return nil, err
	}
	if p.burst, err = parseBurst(options.Burst); err != nil {
		return nil, err
	}
	if options.Measured > 0 {
		p.measured = options.Measured
	}
	p.defaults()
	return p, p.checkPolicies()
}

func (p *plan) defaults() {
	o := &p.options
	if len(o.Policies) == 0 || slices.Equal(o.Policies, []string{AllPolicies}) {
		o.Policies = routing.Policies()
	}
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.8, 0.95}
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	o.Seeds = max(1, o.Seeds)
	if o.Faults == "" {
		o.Faults = noFaultsName
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Parallel <= 0 {
		o.Parallel = defaultParallel
	}
	if o.Quick {
		p.warm, p.measured, o.Seeds, o.Parallel = quickWarm, quickMeasured, 1, quickParallel
		o.Loads = o.Loads[:1]
	}
}

func (p *plan) checkPolicies() error {
	known := slices.Concat(routing.Policies(), routing.Ablations())
	for _, name := range p.options.Policies {
		if !slices.Contains(known, name) {
			return errors.Newf("bench: unknown policy %q, known are %v", name, known)
		}
	}
	for _, load := range p.options.Loads {
		if load <= 0 || load > 10 {
			return errors.Newf("bench: load %v is not between 0 and 10", load)
		}
	}
	return nil
}

func parseBurst(text string) (burst, error) {
	if text == "" {
		return burst{}, nil
	}
	var at, length string
	var b burst
	if _, err := fmt.Sscan(text, &at, &length, &b.load); err != nil {
		return burst{}, errors.Wrapf(err, "bench: burst %q: AT LENGTH LOAD expected", text)
	}
	var err1, err2 error
	b.at, err1 = time.ParseDuration(at)
	b.length, err2 = time.ParseDuration(length)
	return b, errors.CombineErrors(err1, err2)
}

// run fills in the cells. Policies at the same load and seed run concurrently,
// so that other work on the machine affects all of them equally.
func (p *plan) run(ctx context.Context, report *Report) error {
	for _, load := range p.options.Loads {
		for i := range p.options.Seeds {
			cells := make([]Cell, len(p.options.Policies))
			group, ctx := errgroup.WithContext(ctx)
			group.SetLimit(p.options.Parallel)
			for j, policy := range p.options.Policies {
				group.Go(func() error {
					c := &cellRun{
						site: p.site, policy: policy, load: load, seed: p.options.Seed + uint64(i), script: p.script,
						burst: p.burst, warm: p.warm, measured: p.measured,
					}
					cell, err := c.run(ctx)
					cells[j] = cell
					fmt.Fprintf(p.options.Progress, "%s load %.2f seed %d %s done\n", p.site.name, load, c.seed, policy)
					return err
				})
			}
			if err := group.Wait(); err != nil {
				return err
			}
			report.Cells = append(report.Cells, cells...)
		}
	}
	return nil
}

func (r *Report) save(file string) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "bench")
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), 0o644), "bench")
}

// ReadReport reads a result file written by Run.
func ReadReport(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "bench")
	}
	var report Report
	if err := json.Unmarshal(data, &report); err != nil {
		return nil, errors.Wrapf(err, "bench: %s", file)
	}
	return &report, nil
}

// ParsePolicies splits a comma-separated list of policies.
func ParsePolicies(list string) []string { return strings.Split(list, ",") }
