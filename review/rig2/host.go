package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// host is one entry host, a process that is started again whenever it ends.
type host struct {
	world *world
	name  string
	ip    string
	zone  string
	ports map[string]string

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	down    time.Duration // how long the next start waits
	closed  bool
	ended   chan struct{} // closed when the host is not started any more
}

const settingsTemplate = `nodeName = %q
role = "entry-host"
machineClass = "edge"
serves = ["edge","ctrl","dir"]
ip = %q
zone = %q
region = "ic-anadolu"
seeds = [%s]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "dir"
heartbeatMs = 1200
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 134
maxFds = 4100
linkMbps = 1000.0
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
drainMs = 2000
graceS = 8
configMs = 2000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
recoverS = 12
ttl_max_s = 5
[platform]
addr = %q
`

// controlPort is the port at which hosts reach each other; seeds name it before the hosts
// have started.
const controlPort = "8748"

func (h *host) settingsPath() string { return filepath.Join(h.world.folder, h.name+".toml") }

func (h *host) writeSettings() error {
	var err error
	if h.ports, err = freePorts(h.ip, "front", "ready", "directory"); err != nil {
		return err
	}
	seeds := ""
	for i, other := range h.world.hosts[:min(3, len(h.world.hosts))] {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", other.ip+":"+controlPort)
	}
	text := fmt.Sprintf(settingsTemplate, h.name, h.ip, h.zone, seeds, h.address("front"), h.address("ready"), h.ip+":"+controlPort, h.address("directory"), h.world.address)
	return os.WriteFile(h.settingsPath(), []byte(text), 0o600)
}

func (h *host) address(port string) string { return h.ip + ":" + h.ports[port] }

// start runs the process until close.
func (h *host) start() {
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		for h.runOnce() {
			h.mu.Lock()
			down := max(h.down, restartDelay)
			h.down = 0
			h.mu.Unlock()
			time.Sleep(down)
		}
	}()
}

// runOnce runs the process once, and reports whether it is to be started again.
func (h *host) runOnce() bool {
	log, err := os.OpenFile(filepath.Join(h.world.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.world.note("%s has no log: %v", h.name, err)
		return false
	}
	defer log.Close()
	command := exec.Command(h.world.program, "platform")
	command.Env = append(os.Environ(), "PAPAYASAIL_SETTINGS="+h.settingsPath())
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return false
	}
	err = command.Start()
	h.command = command
	h.mu.Unlock()
	if err != nil {
		h.world.note("%s does not start: %v", h.name, err)
		return false
	}
	h.world.note("%s starts", h.name)
	err = command.Wait()
	h.world.note("%s has ended: %v", h.name, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.closed
}

// kill kills the process, which starts again after down.
func (h *host) kill(down time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Kill() // it may have ended
	}
}

func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.kill(0)
	if h.ended != nil {
		<-h.ended
	}
}

// ready reports whether the host counts as ready.
func (h *host) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.address("ready") + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
