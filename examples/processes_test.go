package examples

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/fake/standin"
)

// streamTokens is large enough that a process can be stopped during a stream.
const streamTokens = 300

// example is the data about a site that the tests need.
type example struct {
	name       string
	service    string // a model service
	token      string // token of an organisation that may use the service
	firstPort  int    // caller port of the first entry host in the sample files
	enginePort int
}

var (
	akarsu  = example{"akarsu", "outlook", "akarsu-authority", 7131, 7111}
	taoyuan = example{"taoyuan", "letters", "taoyuan-dealers", 7231, 7211}
)

// Guards against README commands that fail, and against answers that are truncated, out
// of order or duplicated when their entry host is stopped or killed.
func TestExamples(t *testing.T) {
	for _, e := range []example{akarsu, taoyuan} {
		t.Run(e.name, func(t *testing.T) {
			s := start(t, e.name)
			s.runPage()
			s.stopEntryHost(e)
			s.killEntryHost(e)
		})
	}
}

// runPage runs the foreground papayasail commands of the page.
func (s *site) runPage() {
	s.t.Helper()
	s.awaitReady()
	for _, line := range s.lines() {
		if !strings.HasPrefix(line, "bin/papayasail ") || strings.HasSuffix(line, " &") {
			continue
		}
		arguments := words(line)
		if code, out := s.run(arguments[1:]...); code != 0 {
			s.t.Fatalf("%s: exit code %d\n%s", line, code, out)
		}
	}
}

// awaitReady waits until every entry host answers and reports all entry hosts as alive.
func (s *site) awaitReady() {
	for _, host := range strings.Split(s.hosts(), ",") {
		s.eventually(host+" reports all entry hosts as alive", func() bool {
			code, out := s.run("--host", host, "--token", s.name+"-operator", "status")
			return code == 0 && strings.Count(out, "alive") == len(strings.Split(s.hosts(), ","))
		})
	}
}

// stream starts a generation and waits for its first tokens. It returns the caller's
// process and the number of the entry host that serves the stream.
func (s *site) stream(e example, prompt string) (*process, int) {
	s.t.Helper()
	p := s.startProcess([]string{"bin/papayasail", "--token", e.token,
		"generate", e.service, "--stop-after", strconv.Itoa(streamTokens), "--prompt", prompt})
	s.eventually("first tokens", func() bool { return strings.Contains(p.out.String(), ".5 ") })
	var host int
	_, err := fmt.Sscanf(p.errs.String(), "from entry host "+s.name+"-%d", &host)
	is.New(s.t).NoErr(err)
	return p, host
}

// checkComplete waits for the caller's process and checks that its output is the complete
// answer, in order, and that exactly one engine ran the generation, once.
func (s *site) checkComplete(e example, p *process, prompt string) {
	s.t.Helper()
	is := is.New(s.t)
	is.Equal(s.wait(p), 0)
	generation, _, _ := strings.Cut(p.out.String(), ".")
	var want strings.Builder
	for i := range streamTokens {
		want.WriteString(engine.TokenText(generation, i))
	}
	is.Equal(p.out.String(), want.String())
	runs := 0
	for i := range 3 {
		for _, run := range s.engineRuns(s.address(e.enginePort + i)) {
			if run.Prompt == prompt {
				runs++
			}
		}
	}
	is.Equal(runs, 1)
}

func (s *site) engineRuns(address string) []engine.Run {
	is := is.New(s.t)
	response, err := http.Get("http://" + address + standin.PathRuns)
	is.NoErr(err)
	defer response.Body.Close()
	var runs []engine.Run
	is.NoErr(json.NewDecoder(response.Body).Decode(&runs))
	return runs
}

// host returns the process of the nth entry host.
func (s *site) host(n int) *process {
	return s.processes[fmt.Sprintf("examples/%s/host-%d.yaml", s.name, n)]
}

// stopEntryHost sends SIGTERM to the entry host that serves a stream. The host has to
// complete the answer and exit with code 0, and callers must no longer get its address.
func (s *site) stopEntryHost(e example) {
	s.t.Helper()
	is := is.New(s.t)
	const prompt = "history that its entry host finishes"
	p, number := s.stream(e, prompt)
	s.host(number).signal(syscall.SIGTERM)
	s.checkComplete(e, p, prompt)
	is.True(strings.Contains(p.errs.String(), "resumed 0 times"))
	is.Equal(s.wait(s.host(number)), 0)
	code, out := s.run("--token", e.token, "addresses")
	is.Equal(code, 0)
	is.True(!strings.Contains(out, s.address(e.firstPort+number-1)))
}

// killEntryHost sends SIGKILL to the entry host that serves a stream. The caller's
// program has to resume the same generation at another host; it must not run twice.
func (s *site) killEntryHost(e example) {
	s.t.Helper()
	is := is.New(s.t)
	const prompt = "history that outlives its entry host"
	p, number := s.stream(e, prompt)
	s.host(number).signal(syscall.SIGKILL)
	s.checkComplete(e, p, prompt)
	is.True(!strings.Contains(p.errs.String(), "resumed 0 times"))
}
