package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/settings"
)

// run runs the program and returns its exit code and output.
func run(input string, arguments ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	app := App{Out: &stdout, Err: &stderr, In: strings.NewReader(input)}
	code = app.Run(context.Background(), arguments)
	return code, stdout.String(), stderr.String()
}

func TestHelpNamesEachCommandOnce(t *testing.T) {
	is := is.New(t)
	code, out, _ := run("", "--help")
	is.Equal(code, ExitOK)
	for _, name := range []string{"check", "apply", "get", "list", "history", "status", "wait", "addresses", "call",
		"generate", "drain", "evacuate", "settle", "audit", "bench", "plot", "demo", "hash-token"} {
		if strings.Count(out, "\n"+name) != 1 {
			t.Errorf("--help does not list %s exactly once", name)
		}
	}
}

const fiveMistakes = `service: gauges
owner: duty
kind: plain
colour: blue
backend_servers:
  - {name: g1, address: "gauges:80", failure_domain: konya}
calls:
  - {method: FETCH, path_prefix: /readings, idempotent: true}
deadlines:
  total: 5
retry:
  budget_percent: 10%
`

// Guards against a check that stops at the first of five mistakes, omits positions
// or exits with code 0, so that a script continues.
func TestCheckPrintsAllMistakes(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "gauges.yaml")
	is.NoErr(os.WriteFile(file, []byte(fiveMistakes), 0o600))
	code, _, errs := run("", "check", file)
	is.Equal(code, ExitFailed)
	for _, place := range []string{":4:1: ", ":6:25: ", ":8:14: ", ":10:10: ", ":12:19: "} {
		if !strings.Contains(errs, file+place) {
			t.Errorf("no finding at %s in\n%s", place, errs)
		}
	}
	is.True(strings.Contains(errs, "5 mistakes"))
}

func TestCheckReadsStandardInputAndMissingFiles(t *testing.T) {
	is := is.New(t)
	code, _, errs := run(fiveMistakes, "check", "-")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errs, "(standard input):4:1: unknown field colour"))
	code, _, _ = run("", "check", filepath.Join(t.TempDir(), "none.yaml"))
	is.Equal(code, ExitFailed)
	code, _, _ = run("", "check")
	is.Equal(code, ExitUsage)
}

func TestUsageErrors(t *testing.T) {
	for _, line := range []string{"", "frob", "status", "call gauges FETCH /", "apply", "hash-token", "bench", "bench --site nowhere",
		"bench --site akarsu --load much", "plot"} {
		code, out, errs := run("", strings.Fields(line)...)
		if code != ExitUsage || out+errs == "" {
			t.Errorf("%q: exit code %d, %q", line, code, out+errs)
		}
	}
}

func TestHashToken(t *testing.T) {
	is := is.New(t)
	code, out, _ := run("secret\n", "hash-token")
	is.Equal(code, ExitOK)
	is.Equal(out, settings.HashToken("secret").String()+"\n")
}
