package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/platform/soak"
)

// soakCommand runs the fault soak test with consecutive seeds.
type soakCommand struct {
	app        *App
	program    string
	logs       string
	seed       uint64
	seeds      uint64
	plays      int
	faultKinds int
	jobs       int
	hosts      int
	subnet     int
	length     time.Duration
}

// A play tries to claim its subnet maxClaims times, claimInterval apart.
const (
	maxClaims     = 10
	claimInterval = 100 * time.Millisecond
)

// soakPlay is one run of a seed.
type soakPlay struct {
	seed   uint64
	number int // among the plays of the seed, from 1
}

func (a *App) addSoak(parser *kingpin.Application, commands map[string]command) {
	c := &soakCommand{app: a}
	clause := parser.Command("soak", "Run entry hosts as processes on this machine, inject faults from outside, check what callers and backend servers observe.")
	clause.Flag("program", "Path of the daemon, papayasaild.").Required().ExistingFileVar(&c.program)
	clause.Flag("logs", "Directory for settings and logs; default: a temporary directory.").StringVar(&c.logs)
	clause.Flag("seed", "First seed.").Default("1").Uint64Var(&c.seed)
	clause.Flag("seeds", "Number of seeds.").Default("1").Uint64Var(&c.seeds)
	clause.Flag("plays", "How often each seed is run.").Default("1").IntVar(&c.plays)
	clause.Flag("fault-kinds", "Draw only from the first so many fault kinds, as a seed was recorded with; 0: all.").Default("0").IntVar(&c.faultKinds)
	clause.Flag("jobs", "Number of runs at the same time, each in a subnet of its own.").Default("1").IntVar(&c.jobs)
	clause.Flag("hosts", "Number of entry hosts.").Default("4").IntVar(&c.hosts)
	clause.Flag("subnet", "Third number of the hosts' loopback addresses; further jobs use the next numbers.").Default("4").IntVar(&c.subnet)
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
	if c.plays < 1 || c.jobs < 1 || c.faultKinds < 0 {
		return errors.Newf("soak: %d plays, %d jobs, %d fault kinds", c.plays, c.jobs, c.faultKinds)
	}
	plays := make(chan soakPlay)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer close(plays)
		return c.listPlays(ctx, plays)
	})
	var failed atomic.Bool
	for job := range c.jobs {
		group.Go(func() error {
			for play := range plays {
				found, err := c.runPlay(ctx, play, c.subnet+job)
				if err != nil {
					return err
				}
				if found {
					failed.Store(true)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if failed.Load() {
		return errReported
	}
	return nil
}

// listPlays sends all plays, and ends early without an error if the command is stopped.
func (c *soakCommand) listPlays(ctx context.Context, plays chan<- soakPlay) error {
	for number := 1; number <= c.plays; number++ {
		for seed := c.seed; seed < c.seed+c.seeds; seed++ {
			select {
			case plays <- soakPlay{seed, number}:
			case <-ctx.Done():
				return nil
			}
		}
	}
	return nil
}

func (c *soakCommand) runPlay(ctx context.Context, play soakPlay, subnet int) (found bool, err error) {
	directory := filepath.Join(c.logs, fmt.Sprintf("seed-%d-play-%d", play.seed, play.number))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return false, err
	}
	injected, err := os.Create(filepath.Join(directory, "faults"))
	if err != nil {
		return false, err
	}
	defer injected.Close()
	options := soak.Options{
		Program: c.program, Directory: directory, Seed: play.seed, Faults: c.faultKinds, Hosts: c.hosts, Subnet: subnet, FaultDuration: c.length, Output: injected,
	}
	report, err := soak.Run(ctx, options)
	// A process that another job is just starting may still hold the last play's claim.
	for attempt := 0; errors.Is(err, soak.ErrSubnetInUse) && attempt < maxClaims; attempt++ {
		time.Sleep(claimInterval)
		report, err = soak.Run(ctx, options)
	}
	if err != nil {
		return false, err
	}
	var lines strings.Builder
	fmt.Fprintf(&lines, "seed %d play %d: %d attempts, %d whole, %d not run, %d other, %.3f served after the last fault\n",
		play.seed, play.number, report.Attempts, report.Complete, report.NotRun, report.Other, report.ServedRatio)
	for _, finding := range report.Findings {
		fmt.Fprintf(&lines, "  finding: %s\n", finding)
	}
	if len(report.Findings) > 0 {
		fmt.Fprintf(&lines, "  logs: %s\n", directory)
	}
	_, err = io.WriteString(c.app.Out, lines.String())
	return len(report.Findings) > 0, err
}
