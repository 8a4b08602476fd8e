package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayasail/papayasail/platform/soak"
)

// soakCommand runs the fault soak test with consecutive seeds.
type soakCommand struct {
	app     *App
	program string
	logs    string
	seed    uint64
	seeds   uint64
	hosts   int
	subnet  int
	length  time.Duration
}

func (a *App) addSoak(parser *kingpin.Application, commands map[string]command) {
	c := &soakCommand{app: a}
	clause := parser.Command("soak", "Run entry hosts as processes on this machine, inject faults from outside, check what callers and backend servers observe.")
	clause.Flag("program", "Path of the daemon, papayasaild.").Required().ExistingFileVar(&c.program)
	clause.Flag("logs", "Directory for settings and logs; default: a temporary directory.").StringVar(&c.logs)
	clause.Flag("seed", "First seed.").Default("1").Uint64Var(&c.seed)
	clause.Flag("seeds", "Number of seeds, run one after another.").Default("1").Uint64Var(&c.seeds)
	clause.Flag("hosts", "Number of entry hosts.").Default("4").IntVar(&c.hosts)
	clause.Flag("subnet", "Third number of the hosts' loopback addresses, so that several soak tests can run concurrently.").Default("4").IntVar(&c.subnet)
	clause.Flag("for", "Duration of fault injection per seed.").Default("10s").DurationVar(&c.length)
	commands[clause.FullCommand()] = c.run
}

func (c *soakCommand) run(ctx context.Context) error {
	if c.logs == "" {
		directory, err := os.MkdirTemp("", "papayasail-soak-")
		if err != nil {
			return err
		}
		c.logs = directory
	}
	failed := false
	for seed := c.seed; seed < c.seed+c.seeds && ctx.Err() == nil; seed++ {
		found, err := c.runSeed(ctx, seed)
		if err != nil {
			return err
		}
		failed = failed || found
	}
	if failed {
		return errReported
	}
	return nil
}

func (c *soakCommand) runSeed(ctx context.Context, seed uint64) (found bool, err error) {
	directory := filepath.Join(c.logs, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return false, err
	}
	injected, err := os.Create(filepath.Join(directory, "faults"))
	if err != nil {
		return false, err
	}
	defer injected.Close()
	report, err := soak.Run(ctx, soak.Options{
		Program: c.program, Directory: directory, Seed: seed, Hosts: c.hosts, Subnet: c.subnet, FaultDuration: c.length, Output: injected,
	})
	if err != nil {
		return false, err
	}
	fmt.Fprintf(c.app.Out, "seed %d: %d attempts, %d whole, %d not run, %d other, %.3f served after the last fault\n",
		seed, report.Attempts, report.Complete, report.NotRun, report.Other, report.ServedRatio)
	for _, finding := range report.Findings {
		fmt.Fprintf(c.app.Out, "  finding: %s\n", finding)
	}
	if len(report.Findings) > 0 {
		fmt.Fprintf(c.app.Out, "  logs: %s\n", directory)
	}
	return len(report.Findings) > 0, nil
}
