package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/caller"
)

func (a *App) callerCommands(parser *kingpin.Application, commands map[string]command) {
	addresses := parser.Command("addresses", "List the entry hosts to use.")
	domain := addresses.Flag("failure-domain", "Failure domain nearest to the caller.").String()
	commands["addresses"] = func(ctx context.Context) error { return a.addresses(ctx, *domain) }

	call := parser.Command("call", "Make an exact call to a plain service.")
	service := call.Arg("service", "Name of the service.").Required().String()
	method := call.Arg("method", "HTTP method.").Required().Enum(http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete)
	path := call.Arg("path", "Path and query.").Required().String()
	data := call.Flag("data", "Body of the request; - reads the standard input.").String()
	commands["call"] = func(ctx context.Context) error { return a.call(ctx, *service, *method, *path, *data) }

	a.generateCommand(parser, commands)
}

func (a *App) generateCommand(parser *kingpin.Application, commands map[string]command) {
	generate := parser.Command("generate", "Start a generation at a model service and print the stream.")
	service := generate.Arg("service", "Name of the service.").Required().String()
	request := caller.Request{}
	generate.Flag("prompt", "Prompt.").StringVar(&request.Prompt)
	generate.Flag("max-tokens", "Maximum output length in tokens; 0: the service's limit.").IntVar(&request.MaxTokens)
	generate.Flag("stop-after", "Output length of stand-in engines; real engines ignore it.").Hidden().IntVar(&request.StopAfter)
	commands["generate"] = func(ctx context.Context) error { return a.generate(ctx, *service, request) }
}

func (a *App) callerClient(domain string) (*caller.Client, error) {
	seeds, err := a.seeds()
	if err != nil {
		return nil, err
	}
	token, err := a.bearer()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := a.tls()
	if err != nil {
		return nil, err
	}
	return caller.New(caller.Config{Seeds: seeds, Token: *token, FailureDomain: domain, Network: a.Network, TLS: tlsConfig})
}

func (a *App) addresses(ctx context.Context, domain string) error {
	client, err := a.callerClient(domain)
	if err != nil {
		return err
	}
	defer client.Close()
	answer, err := client.Addresses(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.Out, "keep for %d s\n", answer.KeepSeconds)
	table := a.table()
	defer table.Flush()
	fmt.Fprintln(table, "ENTRY HOST\tFAILURE DOMAIN\tURL\tHOME")
	for _, address := range answer.Addresses {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", address.Host, address.FailureDomain, address.URL, address.Home)
	}
	return nil
}

func (a *App) call(ctx context.Context, service, method, path, data string) error {
	client, err := a.callerClient("")
	if err != nil {
		return err
	}
	defer client.Close()
	body := []byte(data)
	if data == standardInput {
		if body, err = io.ReadAll(a.In); err != nil {
			return err
		}
	}
	answer, err := client.Call(ctx, service, method, path, body, nil)
	if err != nil {
		return err
	}
	if _, err := a.Out.Write(answer.Body); err != nil {
		return err
	}
	if answer.Status >= http.StatusBadRequest {
		return errors.Newf("the backend server answered with status %d", answer.Status)
	}
	return nil
}

// generate prints a stream. It returns nil only if the answer is complete.
func (a *App) generate(ctx context.Context, service string, request caller.Request) error {
	client, err := a.callerClient("")
	if err != nil {
		return err
	}
	defer client.Close()
	stream, err := client.Generate(ctx, service, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	fmt.Fprintf(a.Err, "from entry host %s\n", stream.Host())
	for {
		token, err := stream.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			fmt.Fprintln(a.Out)
			return err
		}
		if _, err := io.WriteString(a.Out, token.Text); err != nil {
			return err
		}
	}
	end := stream.End()
	fmt.Fprintf(a.Err, "\nwhole: %d tokens, finish reason %s, entry host %s, resumed %d times\n", end.Tokens, end.FinishReason, stream.Host(), stream.Resumes())
	return nil
}
