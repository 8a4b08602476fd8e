package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/bench"
	"github.com/papayasail/papayasail/bench/control"
)

// benchFlags are the flags of bench.
type benchFlags struct {
	site       string
	policies   string
	loads      string
	seed       uint64
	seeds      int
	faults     string
	burst      string
	measured   time.Duration
	parallel   int
	reportLag  time.Duration
	reportLoss float64
	streamed   int
	polls      float64
	control    bool
	hosts      string
	workers    string
	quick      bool
	out        string
}

func (a *App) benchCommands(parser *kingpin.Application, commands map[string]command) {
	f := &benchFlags{}
	command := parser.Command("bench", "Measure routing policies against stand-in engines, or with --control the control-plane cost of entry hosts.")
	command.Flag("site", "Shape of the deployment: "+strings.Join(bench.Sites(), ", ")+".").EnumVar(&f.site, bench.Sites()...)
	command.Flag("policy", "Policies, separated by commas, or all.").Default(bench.AllPolicies).StringVar(&f.policies)
	command.Flag("load", "Loads as fractions of the site's peak, separated by commas.").Default("0.8,0.95").StringVar(&f.loads)
	command.Flag("seed", "Seed of arrivals and lengths.").Default("1").Uint64Var(&f.seed)
	command.Flag("seeds", "Runs with this seed, the next, and so on.").Default("1").IntVar(&f.seeds)
	command.Flag("faults", "Fault script: none, all, a file, or script lines joined by ;.").Default("none").StringVar(&f.faults)
	command.Flag("burst", "AT LENGTH LOAD in the measured window, such as \"10s 10s 2\".").StringVar(&f.burst)
	command.Flag("measured", "Length of the measured window; 0: the default.").DurationVar(&f.measured)
	command.Flag("parallel", "Policies that run at once; 0: the default.").IntVar(&f.parallel)
	command.Flag("report-lag", "Age of the engines' load reports.").Default("200ms").DurationVar(&f.reportLag)
	command.Flag("report-loss", "Fraction of load reports that are lost, 0 to 1.").Float64Var(&f.reportLoss)
	command.Flag("stream-reports", "Number of stream chunks per load report; 0: no reports in streams.").IntVar(&f.streamed)
	command.Flag("polls-per-second", "Load polls per second by one entry host; 0: the entry host's default for the size of its fleet.").Float64Var(&f.polls)
	command.Flag("control", "Measure the control plane instead: membership, configuration propagation, platform calls.").BoolVar(&f.control)
	command.Flag("hosts", "With --control: fleet sizes, separated by commas.").StringVar(&f.hosts)
	command.Flag("workers", "With --control: numbers of backend servers, separated by commas.").StringVar(&f.workers)
	command.Flag("quick", "Smoke test that ends within about a minute.").BoolVar(&f.quick)
	command.Flag("out", "Output file for the result in JSON.").StringVar(&f.out)
	commands["bench"] = func(ctx context.Context) error { return a.bench(ctx, f) }

	plot := parser.Command("plot", "Plot a bench result as PNG files in the same directory.")
	file := plot.Arg("file", "Result file written by bench.").Required().String()
	commands["plot"] = func(context.Context) error { return a.plot(*file) }
}

func (a *App) bench(ctx context.Context, f *benchFlags) error {
	if f.control {
		return a.benchControl(ctx, f)
	}
	if f.site == "" {
		return &usageError{"give a --site, or --control"}
	}
	loads, err := parseNumbers(f.loads, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
	if err != nil {
		return err
	}
	_, err = bench.Run(ctx, bench.Options{
		Site: f.site, Policies: bench.ParsePolicies(f.policies), Loads: loads, Seed: f.seed, Seeds: f.seeds,
		Faults: f.faults, Burst: f.burst, Measured: f.measured, Parallel: f.parallel,
		ReportLag: f.reportLag, ReportLoss: f.reportLoss,
		ChunksPerReport: f.streamed, PollsPerSecond: f.polls, Quick: f.quick, Out: f.out, Progress: a.Out,
	})
	return err
}

func (a *App) benchControl(ctx context.Context, f *benchFlags) error {
	hosts, err := parseNumbers(f.hosts, strconv.Atoi)
	if err != nil {
		return err
	}
	workers, err := parseNumbers(f.workers, strconv.Atoi)
	if err != nil {
		return err
	}
	report, err := control.Run(ctx, control.Options{Hosts: hosts, Workers: workers, Quick: f.quick, Progress: a.Err})
	if err != nil {
		return err
	}
	if err := report.WriteTable(a.Out); err != nil {
		return err
	}
	return writeReport(f.out, report)
}

func writeReport(file string, report *control.Report) error {
	if file == "" {
		return nil
	}
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "bench")
	}
	return errors.CombineErrors(report.WriteJSON(out), out.Close())
}

func (a *App) plot(file string) error {
	files, err := bench.Plot(file)
	for _, drawn := range files {
		fmt.Fprintln(a.Out, drawn)
	}
	return err
}

// parseNumbers parses a comma-separated list of numbers.
func parseNumbers[T any](list string, parse func(string) (T, error)) ([]T, error) {
	var values []T
	for _, text := range strings.FieldsFunc(list, func(c rune) bool { return c == ',' }) {
		value, err := parse(strings.TrimSpace(text))
		if err != nil {
			return nil, &usageError{fmt.Sprintf("%q is not a number", text)}
		}
		values = append(values, value)
	}
	return values, nil
}
