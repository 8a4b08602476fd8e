package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/demo"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/settings"
)

// terminal runs commands against a demo site.
type terminal struct {
	t    *testing.T
	site *demo.Site
}

func newTerminal(t *testing.T) terminal {
	site, err := demo.Start(context.Background(), demo.Options{})
	is.New(t).NoErr(err)
	t.Cleanup(site.Close)
	return terminal{t, site}
}

// runAs runs a command with a token and returns the exit code and all output.
func (c terminal) runAs(token string, arguments ...string) (int, string) {
	arguments = append([]string{"--host", c.site.Hosts[0].CallerAddress, "--token", token}, arguments...)
	code, out, errs := run("", arguments...)
	return code, out + errs
}

// ok runs a command that must succeed and returns its output.
func (c terminal) ok(token string, arguments ...string) string {
	c.t.Helper()
	code, out := c.runAs(token, arguments...)
	if code != ExitOK {
		c.t.Fatalf("%v: exit code %d\n%s", arguments, code, out)
	}
	return out
}

// write writes the site's documents to files and returns their directory.
func (c terminal) write(risk float64) string {
	directory := c.t.TempDir()
	for service, document := range c.site.Documents(risk) {
		is.New(c.t).NoErr(os.WriteFile(filepath.Join(directory, service), []byte(document), 0o600))
	}
	return directory
}

// Guards against commands that print a wrong result or exit code: an owner applies
// documents and loses a race, an operator drains, a caller calls and generates.
func TestCommandsAgainstEntryHosts(t *testing.T) {
	is := is.New(t)
	c := newTerminal(t)
	files := c.write(0.05)
	for _, service := range []string{demo.Narratives, demo.Letters, demo.Gauges} {
		is.True(strings.Contains(c.ok(demo.OperatorToken, "apply", "--wait", filepath.Join(files, service)), "in force everywhere"))
	}
	is.True(strings.Contains(c.ok(demo.OperatorToken, "get", "outlook"), c.site.Documents(0.05)["outlook"]))
	is.True(strings.Contains(c.ok(demo.OperatorToken, "list"), "gauges"))
	is.True(strings.Contains(c.ok(demo.OperatorToken, "wait", "letters"), "in force everywhere"))

	accepted := c.ok(demo.OperatorToken, "apply", "--change-id", "c2", filepath.Join(c.write(0.02), "outlook"))
	is.True(strings.Contains(accepted, "change c2"))
	is.True(strings.Contains(c.ok(demo.OperatorToken, "settle", "outlook", "c2"), "accepted: service outlook"))
	code, out := c.runAs(demo.OperatorToken, "apply", "--expect-version", "1", filepath.Join(files, "outlook"))
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, "c2")) // the output names the change that won
	is.True(strings.Contains(c.ok(demo.OperatorToken, "history", "outlook"), "c2"))

	c.ok(demo.OperatorToken, "drain", c.site.Engines[0].Address)
	is.True(strings.Contains(c.ok(demo.OperatorToken, "audit"), c.site.Engines[0].Address))
	is.True(strings.Contains(c.ok(demo.OperatorToken, "status"), "host-3"))
	c.ok(demo.OperatorToken, "drain", "--end", c.site.Engines[0].Address)
	c.ok(demo.OperatorToken, "evacuate", c.site.Engines[0].FailureDomain)
	c.ok(demo.OperatorToken, "evacuate", "--end", c.site.Engines[0].FailureDomain)

	is.True(strings.Contains(c.ok(demo.CallerToken, "addresses"), "host-2"))
	is.True(strings.Contains(c.ok(demo.CallerToken, "call", "gauges", "POST", "/verdicts", "--data", "gate 1"), plain.AnswerText("POST", "/verdicts", "gate 1")))
	is.True(strings.Contains(c.ok(demo.CallerToken, "generate", "letters", "--prompt", "p", "--stop-after", "5"), "whole: 5 tokens"))
}

// Guards against commands that change or run something although they are refused:
// wrong kind of token, unknown service, unreachable host.
func TestCommandsThatAreRefused(t *testing.T) {
	is := is.New(t)
	c := newTerminal(t)
	files := c.write(0.05)
	c.ok(demo.OperatorToken, "apply", "--wait", filepath.Join(files, "gauges"))

	for _, command := range []string{"status", "list", "audit", "history gauges", "get gauges", "apply " + filepath.Join(files, "gauges")} {
		code, out := c.runAs(demo.CallerToken, strings.Fields(command)...)
		is.Equal(code, ExitFailed)
		is.True(strings.Contains(out, "the token is not accepted"))
	}
	code, out := c.runAs(demo.CallerToken, "call", "none", "GET", "/")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, "unknown_service"))
	code, out = c.runAs(demo.OperatorToken, "get", "none")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, "not_found"))
	code, _, _ = run("", "--host", "127.0.0.1:1", "--token", "t", "status")
	is.Equal(code, ExitFailed)
	is.Equal(len(c.site.Plain.Runs()), 0)
}

// Guards against an apply without an answer that is reported as failed: its outcome
// is unknown, and the output must contain the command that settles it.
func TestApplyWithoutAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	c := newTerminal(t)
	file := filepath.Join(c.write(0.05), "gauges")
	code, out, errs := run("", "--host", "127.0.0.1:1", "--token", "t", "apply", "--expect-version", "0", "--change-id", "c1", file)
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(fmt.Sprint(out, errs), "papayasail settle gauges c1"))
}

// Guards against wrong results of organisation commands: add, rotate the token,
// remove, a lost race, and a change without an answer that is settled later.
func TestOrganisationCommands(t *testing.T) {
	is := is.New(t)
	c := newTerminal(t)
	hash := func(token string) string { return settings.HashToken(token).String() }
	is.True(strings.Contains(c.ok(demo.OperatorToken, "organisation", "put", "seyhan", "--token-sha256", hash("first"), "--change-id", "c1"), "accepted: organisation seyhan"))
	is.True(strings.Contains(c.ok("first", "addresses"), "host-1"))
	c.ok(demo.OperatorToken, "organisation", "put", "seyhan", "--token-sha256", hash("second"), "--service", "gauges")
	listed := c.ok(demo.OperatorToken, "organisation", "list")
	is.True(strings.Contains(listed, "seyhan") && strings.Contains(listed, hash("second")[:8]) && strings.Contains(listed, "gauges"))
	code, _ := c.runAs("first", "addresses")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(c.ok(demo.OperatorToken, "organisation", "settle", "seyhan", "c1"), "accepted"))
	is.True(strings.Contains(c.ok(demo.OperatorToken, "audit"), "organisation"))

	code, out := c.runAs(demo.OperatorToken, "organisation", "remove", "seyhan", "--expect-version", "1")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, "conflict"))
	c.ok(demo.OperatorToken, "organisation", "remove", "seyhan")
	is.True(!strings.Contains(c.ok(demo.OperatorToken, "organisation", "list"), "seyhan"))
	code, out = c.runAs(demo.OperatorToken, "organisation", "remove", "seyhan")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, "not_found"))

	code, out, errs := run("", "--host", "127.0.0.1:1", "--token", "t", "organisation", "put", "seyhan", "--token-sha256", hash("x"), "--expect-version", "0", "--change-id", "c9")
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(out+errs, "papayasail organisation settle seyhan c9"))
}
