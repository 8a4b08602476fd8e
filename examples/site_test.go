package examples

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	// The tests run built programs. These imports make go test discard cached
	// results when the packages of the programs change.
	_ "github.com/papayasail/papayasail/cli"
	_ "github.com/papayasail/papayasail/entryhost"
)

// waitTimeout is the timeout of every wait, far above the normal duration.
const waitTimeout = 60 * time.Second

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "papayasail")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	programs = directory
	build := exec.Command("go", "build", "-o", directory, "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// site is an example that runs as separate processes, on free ports.
type site struct {
	t         *testing.T
	name      string
	directory string              // directory that contains the copied example
	ports     map[string]string   // by sample address: the address in use
	processes map[string]*process // in the background, by last argument
}

// start copies an example with free ports and starts the background commands of its
// page.
func start(t *testing.T, name string) *site {
	s := &site{t: t, name: name, directory: t.TempDir(), ports: map[string]string{}, processes: map[string]*process{}}
	s.choosePorts()
	s.copyFiles()
	for _, line := range s.lines() {
		if command, background := strings.CutSuffix(line, " &"); background {
			arguments := words(command)
			s.processes[arguments[len(arguments)-1]] = s.startProcess(arguments)
		}
	}
	return s
}

var sampleAddress = regexp.MustCompile(`127\.0\.0\.1:7\d\d\d`)

// choosePorts finds a free port for each address of the example. It keeps all ports
// bound until the last one is found, so that no port is chosen twice.
func (s *site) choosePorts() {
	is := is.New(s.t)
	for _, file := range s.files() {
		content, err := os.ReadFile(file)
		is.NoErr(err)
		for _, address := range sampleAddress.FindAllString(string(content), -1) {
			if s.ports[address] != "" {
				continue
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			s.ports[address] = listener.Addr().String()
		}
	}
}

func (s *site) files() []string {
	files, err := filepath.Glob(filepath.Join(s.name, "*"))
	is.New(s.t).NoErr(err)
	return files
}

func (s *site) copyFiles() {
	is := is.New(s.t)
	target := filepath.Join(s.directory, "examples", s.name)
	is.NoErr(os.MkdirAll(target, 0o700))
	for _, file := range s.files() {
		content, err := os.ReadFile(file)
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(target, filepath.Base(file)), []byte(s.replaceAddresses(string(content))), 0o600))
	}
}

// replaceAddresses replaces sample addresses with those in use.
func (s *site) replaceAddresses(text string) string {
	return sampleAddress.ReplaceAllStringFunc(text, func(address string) string {
		if inUse := s.ports[address]; inUse != "" {
			return inUse
		}
		return address
	})
}

// address returns the address in use for a sample port.
func (s *site) address(port int) string { return s.ports[fmt.Sprintf("127.0.0.1:%d", port)] }

// lines returns the command lines of the example's page.
func (s *site) lines() []string {
	page, err := os.ReadFile(filepath.Join(s.directory, "examples", s.name, "README.md"))
	is.New(s.t).NoErr(err)
	var lines []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "bin/") || strings.HasPrefix(line, "export ") {
			lines = append(lines, line)
		}
	}
	return lines
}

var wordPattern = regexp.MustCompile(`"[^"]*"|\S+`)

// words splits a command line at blanks outside double quotes.
func words(line string) []string {
	var list []string
	for _, w := range wordPattern.FindAllString(line, -1) {
		list = append(list, strings.Trim(w, `"`))
	}
	return list
}

// command returns a command that a page calls as bin/NAME.
func (s *site) command(arguments []string) *exec.Cmd {
	command := exec.Command(filepath.Join(programs, strings.TrimPrefix(arguments[0], "bin/")), arguments[1:]...)
	command.Dir = s.directory
	command.Env = append(os.Environ(), "PAPAYASAIL_HOSTS="+s.hosts())
	return command
}

// hosts returns the value of PAPAYASAIL_HOSTS that the page exports.
func (s *site) hosts() string {
	for _, line := range s.lines() {
		if hosts, ok := strings.CutPrefix(line, "export PAPAYASAIL_HOSTS="); ok {
			return hosts
		}
	}
	s.t.Fatal("the page exports no PAPAYASAIL_HOSTS")
	return ""
}

// process is a started program and its output.
type process struct {
	command *exec.Cmd
	out     lockedBuffer
	errs    lockedBuffer
	ended   chan struct{} // closed when the process has exited
	err     error         // result of Wait, set before ended is closed
}

// startProcess starts a program that is killed when the test ends.
func (s *site) startProcess(arguments []string) *process {
	s.t.Helper()
	p := &process{command: s.command(arguments), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = &p.out, &p.errs
	is.New(s.t).NoErr(p.command.Start())
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	s.t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
		if s.t.Failed() {
			s.t.Logf("%s\n%s%s", strings.Join(arguments, " "), tail(p.out.String()), tail(p.errs.String()))
		}
	})
	return p
}

// tail returns the end of an output, to keep test logs short.
func tail(text string) string {
	const maxLength = 2000
	if len(text) > maxLength {
		return "..." + text[len(text)-maxLength:]
	}
	return text
}

func (p *process) signal(signal os.Signal) {
	_ = p.command.Process.Signal(signal) // it may have exited already
}

// wait waits until a process exits and returns its exit code.
func (s *site) wait(p *process) int {
	s.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		s.t.Fatalf("%s has not exited", p.command)
	}
	return p.command.ProcessState.ExitCode()
}

// run runs the papayasail program and returns its exit code and output.
func (s *site) run(arguments ...string) (int, string) {
	s.t.Helper()
	p := s.startProcess(append([]string{"bin/papayasail"}, arguments...))
	code := s.wait(p)
	return code, p.out.String() + p.errs.String()
}

// eventually waits until done returns true; it fails the test after the timeout.
func (s *site) eventually(condition string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timeout: %s", condition)
		}
	}
}

// lockedBuffer is a buffer that is written by one process while the test reads it.
type lockedBuffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
