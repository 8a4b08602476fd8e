// Package cli implements the commands of the papayasail program as a library, so
// that tests and other programs can run them in their own process.
package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/link"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailed  = 1 // refused, invalid or not found: nothing was changed or run
	ExitUsage   = 2 // invalid command line
	ExitUnknown = 3 // a change or request may have taken effect
)

// App is one execution of the program.
type App struct {
	Out     io.Writer
	Err     io.Writer
	In      io.Reader
	Network link.Network // nil: TCP

	hosts     []string
	token     string
	tokenFile string
	caFile    string
	timeout   time.Duration
}

// command runs one command.
type command func(ctx context.Context) error

// errReported ends a command that has already printed what failed.
var errReported = errors.New("failed")

// usageError reports an invalid command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// unknownError reports a change that may have taken effect.
type unknownError struct{ message string }

func (e *unknownError) Error() string { return e.message }

// Run runs the program with its arguments and returns the exit code.
func (a *App) Run(ctx context.Context, arguments []string) int {
	if a.Network == nil {
		a.Network = link.TCP{}
	}
	commands := map[string]command{}
	parser, stop := a.parser(commands)
	if len(arguments) == 0 {
		parser.Usage(nil)
		return ExitUsage
	}
	name, err := parser.Parse(withStandardInput(arguments))
	if stop.requested {
		return stop.code
	}
	if err != nil {
		fmt.Fprintf(a.Err, "papayasail: %v, try --help\n", err)
		return ExitUsage
	}
	ctx, cancel := a.withTimeout(ctx, name)
	defer cancel()
	return a.exitCode(commands[name](ctx))
}

// standardInput is the file name that represents the standard input. It replaces
// - on the command line, which kingpin would parse as an empty flag.
const standardInput = "(standard input)"

func withStandardInput(arguments []string) []string {
	replaced := slices.Clone(arguments)
	for i, argument := range replaced {
		if argument == "-" {
			replaced[i] = standardInput
		}
	}
	return replaced
}

// withTimeout returns ctx with the --timeout flag as its timeout, except for
// commands that run longer than one request.
func (a *App) withTimeout(ctx context.Context, name string) (context.Context, context.CancelFunc) {
	switch name {
	case "demo", "bench", "soak", "wait", "generate":
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, a.timeout)
}

// termination records that kingpin requested the end of the process, as after
// --help.
type termination struct {
	requested bool
	code      int
}

func (a *App) parser(commands map[string]command) (*kingpin.Application, *termination) {
	stop := &termination{}
	parser := kingpin.New("papayasail", "Serves model generations of unknown length on crowded engines: checks and applies service documents, calls services, shows the state of the entry hosts.")
	parser.UsageWriter(a.Out).ErrorWriter(a.Err)
	parser.Terminate(func(code int) {
		stop.requested, stop.code = true, code
		parser.UsageWriter(io.Discard).ErrorWriter(io.Discard) // kingpin would continue to print
	})
	parser.HelpFlag.Short('h')
	const defaultTimeout = "30s"
	parser.Flag("host", "Entry host, IP:port or URL; may be given several times.").Envar("PAPAYASAIL_HOSTS").StringsVar(&a.hosts)
	parser.Flag("token", "Bearer token; better given by file or environment.").Envar("PAPAYASAIL_TOKEN").StringVar(&a.token)
	parser.Flag("token-file", "File with the bearer token.").StringVar(&a.tokenFile)
	parser.Flag("ca", "PEM file with the certificate of the authority that signed the entry hosts' certificates; default: the system's roots.").Envar("PAPAYASAIL_CA").StringVar(&a.caFile)
	parser.Flag("timeout", "Timeout of commands that make a single request.").Default(defaultTimeout).DurationVar(&a.timeout)
	a.documentCommands(parser, commands)
	a.organisationCommands(parser, commands)
	a.stateCommands(parser, commands)
	a.callerCommands(parser, commands)
	a.trialCommands(parser, commands)
	a.addSoak(parser, commands)
	a.addExplain(parser, commands)
	return parser, stop
}

// exitCode prints the error of a command and returns the exit code.
func (a *App) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, errReported) {
		return ExitFailed
	}
	fmt.Fprintf(a.Err, "papayasail: %s\n", strings.TrimSpace(err.Error()))
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var unknown *unknownError
	if errors.As(err, &unknown) {
		return ExitUnknown
	}
	var refusal *contract.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == contract.OutcomeUnknown {
		return ExitUnknown
	}
	return ExitFailed
}
