package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/internal/operatorclient"
)

// bearer returns the token from the flag, the environment or a file.
func (a *App) bearer() (*string, error) {
	if a.tokenFile == "" {
		return &a.token, nil
	}
	content, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "token file")
	}
	token := strings.TrimSpace(string(content))
	return &token, nil
}

// tls returns the TLS configuration for https addresses, or nil.
func (a *App) tls() (*tls.Config, error) {
	if a.caFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(a.caFile)
	if err != nil {
		return nil, errors.Wrap(err, "ca")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("ca: no certificate in %s", a.caFile)
	}
	return &tls.Config{RootCAs: roots}, nil
}

func (a *App) seeds() ([]string, error) {
	var hosts []string
	for _, host := range a.hosts {
		hosts = append(hosts, strings.FieldsFunc(host, func(c rune) bool { return c == ',' || c == ' ' || c == '\n' })...)
	}
	if len(hosts) == 0 {
		return nil, &usageError{"give an entry host with --host or PAPAYASAIL_HOSTS"}
	}
	return hosts, nil
}

// operatorClients returns a client for each given entry host.
func (a *App) operatorClients() ([]*operator.Client, error) {
	hosts, err := a.seeds()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := a.tls()
	if err != nil {
		return nil, err
	}
	var clients []*operator.Client
	for _, host := range hosts {
		clients = append(clients, operatorclient.New(host, a.Network, tlsConfig))
	}
	return clients, nil
}

// firstAnswer sends a request to the entry hosts in order until one answers. This is
// safe for changes too, since they are idempotent by their change id.
func firstAnswer[T any](ctx context.Context, a *App, request func(*operator.Client, *string) (T, error)) (T, error) {
	var answer T
	token, err := a.bearer()
	if err != nil {
		return answer, err
	}
	clients, err := a.operatorClients()
	if err != nil {
		return answer, err
	}
	for _, client := range clients {
		answer, err = request(client, token)
		if err == nil || operatorclient.Answered(err) || ctx.Err() != nil {
			break
		}
	}
	return answer, readableError(err)
}

// readableError wraps a problem document in an error with readable text.
func readableError(err error) error {
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return err
	}
	return &problemError{problem}
}

// problemError is an entry host's refusal of an operator's request.
type problemError struct{ problem *operator.Problem }

// Error renders the reason, its detail, and each finding on its own line.
func (e *problemError) Error() string {
	var text strings.Builder
	text.WriteString(e.problem.Reason)
	if detail := e.problem.Detail; detail != nil && *detail != "" {
		text.WriteString(": " + *detail)
	}
	for _, f := range e.problem.Findings {
		if f == nil {
			continue
		}
		text.WriteString("\n" + findingOf(f).String())
	}
	return text.String()
}

// Unwrap returns the problem document.
func (e *problemError) Unwrap() error { return e.problem }

// isNotFound reports whether the entry host answered that the requested object does
// not exist.
func isNotFound(err error) bool {
	var problem *operator.Problem
	return errors.As(err, &problem) && problem.Status == http.StatusNotFound
}
