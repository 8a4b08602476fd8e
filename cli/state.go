package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/internal/operatorclient"
)

func (a *App) stateCommands(parser *kingpin.Application, commands map[string]command) {
	status := parser.Command("status", "Print versions in force, backend servers and entry hosts.")
	commands[status.FullCommand()] = a.status

	wait := parser.Command("wait", "Wait until a version of a service is in force on every entry host.")
	service := wait.Arg("service", "Name of the service.").Required().String()
	version := wait.Flag("min-version", "Minimum version to wait for; default: the version in force on the first entry host that answers.").Uint64()
	bound := wait.Flag("for", "Maximum wait.").Default("30s").Duration()
	commands["wait"] = func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, *bound)
		defer cancel()
		return a.waitService(ctx, *service, *version)
	}

	drain := parser.Command("drain", "Mark a backend server as leaving: it gets no new work anywhere.")
	address := drain.Arg("address", "IP:port of the backend server.").Required().String()
	end := drain.Flag("end", "End the drain instead.").Bool()
	change := drain.Flag("change-id", "Id of the change; repeats with the same id are one change.").String()
	commands["drain"] = func(ctx context.Context) error { return a.drain(ctx, *address, *end, changeIDOrNew(*change)) }

	evacuate := parser.Command("evacuate", "Keep new work from all backend servers of a failure domain.")
	domain := evacuate.Arg("failure-domain", "Name of the failure domain, as in the service documents.").Required().String()
	endEvacuation := evacuate.Flag("end", "End the evacuation instead.").Bool()
	evacuation := evacuate.Flag("change-id", "Id of the change; repeats with the same id are one change.").String()
	commands["evacuate"] = func(ctx context.Context) error {
		return a.evacuate(ctx, *domain, *endEvacuation, changeIDOrNew(*evacuation))
	}
}

// changeIDOrNew returns the given id of a change, or a new id if none was given.
func changeIDOrNew(given string) string {
	if given == "" {
		return uuid.NewString()
	}
	return given
}

func (a *App) fetchStatus(ctx context.Context) (*operator.HostStatus, error) {
	return firstAnswer(ctx, a, func(client *operator.Client, token *string) (*operator.HostStatus, error) {
		return client.Status(ctx, &operator.StatusPayload{Token: token})
	})
}

func (a *App) status(ctx context.Context) error {
	status, err := a.fetchStatus(ctx)
	if err != nil {
		return err
	}
	store := "reachable"
	if !status.StoreReachable {
		store = "NOT reachable"
	}
	fmt.Fprintf(a.Out, "entry host %s, configuration version %d, store %s\n\n", status.Host, status.ConfigurationVersion, store)
	a.printServices(status.Services)
	fmt.Fprintln(a.Out)
	a.printBackendServers(status.BackendServers)
	fmt.Fprintln(a.Out)
	a.printMembers(status.Members)
	return nil
}

func (a *App) printBackendServers(servers []*operator.BackendServerStatus) {
	table := a.table()
	defer table.Flush()
	fmt.Fprintln(table, "BACKEND SERVER\tSERVICE\tADDRESS\tFAILURE DOMAIN\tSTATE\tRUNNING\tTOKENS HELD\tCAPACITY")
	for _, s := range servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, s.Service, s.Address, s.FailureDomain, s.State,
			formatOptional(s.Running), formatOptional(s.TokensHeld), formatOptional(s.TokenCapacity))
	}
}

func (a *App) printMembers(members []*operator.MemberStatus) {
	table := a.table()
	defer table.Flush()
	fmt.Fprintln(table, "ENTRY HOST\tFAILURE DOMAIN\tSTATE\tVERSION\tADDRESS")
	for _, m := range members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", m.Host, m.FailureDomain, m.State, m.ConfigurationVersion, orEmpty(m.CallerAddress))
	}
}

func formatOptional(n *int) string {
	if n == nil {
		return "-"
	}
	return fmt.Sprint(*n)
}

func (a *App) drain(ctx context.Context, address string, end bool, change string) error {
	answer, err := firstAnswer(ctx, a, func(client *operator.Client, token *string) (*operator.Accepted, error) {
		return client.Drain(ctx, &operator.DrainPayload{Token: token, Address: address, End: end, ChangeID: change})
	})
	return a.printAcceptedOrRepeat("drain", address, "backend server", change, answer, err)
}

func (a *App) evacuate(ctx context.Context, domain string, end bool, change string) error {
	answer, err := firstAnswer(ctx, a, func(client *operator.Client, token *string) (*operator.Accepted, error) {
		return client.Evacuate(ctx, &operator.EvacuatePayload{Token: token, FailureDomain: domain, End: end, ChangeID: change})
	})
	return a.printAcceptedOrRepeat("evacuate", domain, "failure domain", change, answer, err)
}

// printAcceptedOrRepeat prints the answer to the change that a command made. Without
// an answer it returns an error with the command that repeats the same change.
func (a *App) printAcceptedOrRepeat(command, name, what, change string, answer *operator.Accepted, err error) error {
	if err != nil && !operatorclient.Answered(err) {
		return &unknownError{fmt.Sprintf("no answer, the change may have been accepted (%v)\nrepeat it with: papayasail %s %s --change-id %s", err, command, name, change)}
	}
	if err != nil {
		return err
	}
	return a.printAccepted(what+" "+name, answer)
}
