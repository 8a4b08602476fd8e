package main

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the limit of one process, as in its settings.
const memoryMB = 134

// restartDelay is how long the platform waits before it starts a process again.
const restartDelay = 300 * time.Millisecond

// killCount counts the kills of processes over the limit.
type killCount struct {
	mu     sync.Mutex
	byHost map[string]int
}

func (k *killCount) add(host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byHost == nil {
		k.byHost = map[string]int{}
	}
	k.byHost[host]++
}

func (k *killCount) counts() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.byHost)
}

// anonymousMB returns the private memory of a process, without its program file.
func anonymousMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, ok := strings.CutPrefix(string(line), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// enforceMemory does what the platform does: it kills the process over the limit and starts
// it again after a short delay.
func (w *world) enforceMemory(h *host, kills *killCount, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := anonymousMB(h.pid())
		if used <= memoryMB {
			continue
		}
		h.signal(syscall.SIGKILL)
		kills.add(h.name)
		w.log("platform: the process of %s uses %.0f MB, its limit is %d MB; it is killed and started again", h.name, used, memoryMB)
		time.Sleep(restartDelay)
		w.start(h)
	}
}
