package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/findings"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/internal/operatorclient"
	"github.com/papayasail/papayasail/settings"
)

// Outcomes of a change, as in the API.
const (
	outcomeAccepted = "accepted"
	outcomeUnknown  = "unknown"
)

// noVersion means that no expected version was given.
const noVersion = -1

func (a *App) documentCommands(parser *kingpin.Application, commands map[string]command) {
	a.checkCommand(parser, commands)
	a.applyCommand(parser, commands)

	get := parser.Command("get", "Print the service document in force.")
	service := get.Arg("service", "Name of the service.").Required().String()
	commands["get"] = func(ctx context.Context) error { return a.get(ctx, *service) }

	list := parser.Command("list", "List the services in force.")
	commands[list.FullCommand()] = a.list

	history := parser.Command("history", "Print the changes of a service, newest first.")
	changed := history.Arg("service", "Name of the service.").Required().String()
	commands["history"] = func(ctx context.Context) error { return a.history(ctx, *changed) }

	audit := parser.Command("audit", "Print the audit trail, newest first.")
	commands[audit.FullCommand()] = a.audit

	settle := parser.Command("settle", "Say whether a change with an unknown outcome was accepted.")
	settled := settle.Arg("service", "Name of the service.").Required().String()
	change := settle.Arg("change-id", "Id of the change, as printed by apply.").Required().String()
	commands["settle"] = func(ctx context.Context) error { return a.settle(ctx, *settled, *change) }
}

func (a *App) checkCommand(parser *kingpin.Application, commands map[string]command) {
	check := parser.Command("check", "Validate service documents offline and print all mistakes.")
	files := check.Arg("file", "Service document; - reads the standard input.").Strings()
	settingsFile := check.Flag("settings", "Settings of an entry host to validate as well; references in the documents are checked against them.").String()
	commands["check"] = func(context.Context) error { return a.check(*files, *settingsFile) }
}

func (a *App) check(files []string, settingsFile string) error {
	if len(files) == 0 && settingsFile == "" {
		return &usageError{"give a service document or --settings"}
	}
	failed := false
	references := contract.References{}
	if settingsFile != "" {
		s, err := settings.Load(settingsFile)
		failed = a.printResult(settingsFile, err)
		if err == nil {
			references = contract.References{FailureDomains: s.FailureDomains(), Organisations: s.OrganisationNames()}
		}
	}
	for _, file := range files {
		data, err := a.read(file)
		if err == nil {
			_, err = contract.ParseDocumentFor(file, data, references)
		}
		failed = a.printResult(file, err) || failed
	}
	if failed {
		return errReported
	}
	return nil
}

// printResult prints the result for a file and reports whether it is a failure.
func (a *App) printResult(file string, err error) bool {
	if err == nil {
		fmt.Fprintf(a.Out, "%s: ok\n", file)
		return false
	}
	var list findings.List
	if errors.As(err, &list) {
		fmt.Fprintln(a.Err, list.Error())
		fmt.Fprintf(a.Err, "%s: %d mistakes\n", file, len(list))
		return true
	}
	fmt.Fprintf(a.Err, "%s: %v\n", file, err)
	return true
}

func (a *App) read(file string) ([]byte, error) {
	if file == standardInput {
		return io.ReadAll(a.In)
	}
	return os.ReadFile(file)
}

func (a *App) applyCommand(parser *kingpin.Application, commands map[string]command) {
	apply := parser.Command("apply", "Put a service document in force.")
	file := apply.Arg("file", "Service document; - reads the standard input.").Required().String()
	expect := apply.Flag("expect-version", "Apply only if this is the current version, 0 for a new service; default: the version that is current now.").Default("-1").Int64()
	change := apply.Flag("change-id", "Id of the change; repeats with the same id are one change.").String()
	wait := apply.Flag("wait", "Wait until the change is in force everywhere.").Bool()
	commands["apply"] = func(ctx context.Context) error {
		return a.apply(ctx, *file, *expect, changeIDOrNew(*change), *wait)
	}
}

func (a *App) apply(ctx context.Context, file string, expect int64, change string, wait bool) error {
	data, err := a.read(file)
	if err != nil {
		return err
	}
	document, err := contract.ParseDocument(file, data)
	if err != nil {
		a.printResult(file, err)
		return errReported
	}
	version, err := a.expectedVersion(ctx, document.Service, expect)
	if err != nil {
		return err
	}
	payload := operator.PutPayload{Service: document.Service, Document: string(data), ExpectVersion: version, ChangeID: change}
	accepted, err := firstAnswer(ctx, a, func(client *operator.Client, token *string) (*operator.Accepted, error) {
		payload.Token = token
		return client.Put(ctx, &payload)
	})
	if err != nil && !operatorclient.Answered(err) {
		return unansweredError(document.Service, change, err)
	}
	if err != nil {
		return err
	}
	if err := a.printAccepted("service "+document.Service, accepted); err != nil || !wait {
		return err
	}
	return a.wait(ctx, document.Service, accepted.Version)
}

// expectedVersion returns the expected version of a change: the given one, or the
// current version if none was given.
func (a *App) expectedVersion(ctx context.Context, service string, expect int64) (uint64, error) {
	if expect > noVersion {
		return uint64(expect), nil
	}
	current, err := a.currentDocument(ctx, service)
	if isNotFound(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return current.Version, nil
}

func (a *App) currentDocument(ctx context.Context, service string) (*operator.GetResult, error) {
	return firstAnswer(ctx, a, func(client *operator.Client, token *string) (*operator.GetResult, error) {
		return client.Get(ctx, &operator.GetPayload{Token: token, Service: service})
	})
}

// unansweredError returns the error for a change without an answer. The change may
// have taken effect, so the error must not report it as failed.
func unansweredError(service, change string, err error) error {
	return &unknownError{fmt.Sprintf("no answer, the change may have been accepted (%v)\nsettle it with: papayasail settle %s %s", err, service, change)}
}

// printAccepted prints the answer to a change, or returns it as an error if the change
// was not accepted.
func (a *App) printAccepted(what string, answer *operator.Accepted) error {
	switch answer.Outcome {
	case outcomeAccepted:
		fmt.Fprintf(a.Out, "accepted: %s, version %d, change %s\n", what, answer.Version, answer.ChangeID)
		return nil
	case outcomeUnknown:
		message := fmt.Sprintf("unknown whether change %s of %s was accepted", answer.ChangeID, what)
		if answer.Settle != nil {
			message += "\nsettle it with: " + *answer.Settle
		}
		return &unknownError{message}
	}
	return errors.Newf("not accepted: %s, current version %d, change %s", what, answer.Version, answer.ChangeID)
}

func (a *App) get(ctx context.Context, service string) error {
	current, err := a.currentDocument(ctx, service)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.Err, "# version %d\n", current.Version)
	_, err = io.WriteString(a.Out, current.Document)
	return err
}

func (a *App) list(ctx context.Context) error {
	services, err := firstAnswer(ctx, a, func(client *operator.Client, token *string) ([]*operator.ServiceInfo, error) {
		return client.List(ctx, &operator.ListPayload{Token: token})
	})
	if err != nil {
		return err
	}
	a.printServices(services)
	return nil
}

func (a *App) history(ctx context.Context, service string) error {
	changes, err := firstAnswer(ctx, a, func(client *operator.Client, token *string) ([]*operator.Change, error) {
		return client.History(ctx, &operator.HistoryPayload{Token: token, Service: service})
	})
	if err != nil {
		return err
	}
	a.printChanges(changes)
	return nil
}

func (a *App) audit(ctx context.Context) error {
	changes, err := firstAnswer(ctx, a, func(client *operator.Client, token *string) ([]*operator.Change, error) {
		return client.Audit(ctx, &operator.AuditPayload{Token: token})
	})
	if err != nil {
		return err
	}
	a.printChanges(changes)
	return nil
}

func (a *App) settle(ctx context.Context, service, change string) error {
	answer, err := firstAnswer(ctx, a, func(client *operator.Client, token *string) (*operator.Accepted, error) {
		return client.Settle(ctx, &operator.SettlePayload{Token: token, Service: service, ChangeID: change})
	})
	if err != nil {
		return err
	}
	return a.printAccepted("service "+service, answer)
}

func (a *App) printChanges(changes []*operator.Change) {
	table := a.table()
	defer table.Flush()
	fmt.Fprintln(table, "WHEN\tWHO\tWHAT\tNAME\tFROM\tTO\tCHANGE\tDETAIL")
	for _, c := range changes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", c.When, c.Who, c.What, c.Name, c.FromVersion, c.ToVersion, c.ChangeID, orEmpty(c.Detail))
	}
}

func (a *App) printServices(services []*operator.ServiceInfo) {
	table := a.table()
	defer table.Flush()
	fmt.Fprintln(table, "SERVICE\tVERSION\tKIND\tOWNER")
	for _, s := range services {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", s.Service, s.Version, s.Kind, s.Owner)
	}
}

func (a *App) table() *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(a.Out, 0, 0, padding, ' ', 0)
}

func findingOf(f *operator.Finding) findings.Finding {
	return findings.Finding{File: f.File, Line: f.Line, Column: f.Column, Message: f.Message}
}

func orEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
