package cli

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/explain"
)

// addExplain adds the command that reports lost requests.
func (a *App) addExplain(parser *kingpin.Application, commands map[string]command) {
	clause := parser.Command("explain", "Read the logs of entry hosts and report lost requests by route, time and cause.")
	files := clause.Arg("log", "Log of one host, or of several with the host's name before each line.").Required().Strings()
	commands[clause.FullCommand()] = func(context.Context) error { return a.explain(*files) }
}

func (a *App) explain(files []string) error {
	log := explain.NewLog()
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	report := log.Report()
	for _, finding := range report.Findings {
		fmt.Fprintln(a.Err, finding)
	}
	return a.printLosses(report)
}

func readLog(log *explain.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer file.Close()
	return errors.Wrap(log.Read(name, file), name)
}

func (a *App) printLosses(report *explain.Report) error {
	fmt.Fprintf(a.Out, "served in time: %d, %.3f of all; with better decisions at most %.3f\n", report.Served, report.ServedShare(), report.MaxServedShare())
	table := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "lost\tcause\troute\tprompt tokens\tavoidable\tby second")
	for _, loss := range report.Losses {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%t\t%s\n", loss.Requests, loss.Cause, loss.Route, loss.Tokens, loss.Avoidable(), formatSeconds(loss.BySecond))
	}
	return errors.Wrap(table.Flush(), "output")
}

// formatSeconds renders counts as second:count, separated by spaces.
func formatSeconds(counts map[int]int) string {
	var parts []string
	for _, second := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d:%d", second, counts[second]))
	}
	return strings.Join(parts, " ")
}
