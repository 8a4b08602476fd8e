package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unclear = 2 // the case could not run
)

var cases = map[string]func(w *world, trouble bool) int{
	"endless-line":  endlessLine,
	"watchers-dark": watchersDark,
	"turned-away":   watchersTurnedAway,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: harness CASE RECORD")
	}
	w := newWorld(os.Args[2])
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0") }()
	code := unclear
	select {
	case code = <-result:
	case <-interrupted:
	case <-time.After(110 * time.Second):
		w.log("out of time")
	}
	w.log("exit code %d", code)
	w.close()
	os.Exit(code)
}

// deploymentKeys are the keys of the tenant at first.
var deploymentKeys = []string{"key-1", "key-2", "key-3", "key-4", "key-5"}

// configuration is what the operator writes: two plain routes and one of generations, with
// the limits of the small deployment.
func configuration(version int, keys ...string) map[string]any {
	route := func(name, kind, service string, timeout, goal, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "h.example", wire.Prefix: "/" + name + "/", "type": kind, "timeoutMs": timeout, "goalMs": goal,
			"service": service, "attempts": attempts, "priority": 1}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("read", "safe", "plain", 1500, 300, 2), route("write", "unsafe", "plain", 1500, 300, 1), route("letter", "stream", "llm", 39000, 1800, 1)},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "org-1", wire.Keys: keys}},
		"services": []any{
			map[string]any{"name": "plain", "maxConns": 100, "healthPath": "/healthz"},
			map[string]any{"name": "llm", "maxConns": 272, "healthPath": "/healthz", "engine": map[string]any{"kvCapacity": kvCapacity, "kvTokenBytes": 18432, "linkMbps": 2700, "moves": true, "stride": 4}},
		},
	}
}

// maxBodyBytes is what the operator lets a client send.
const maxBodyBytes = 4 << 20

// kvCapacity is the memory of a model worker in tokens.
const kvCapacity = 34450

// startSmall starts the deployment: one plain and one model worker and a number of hosts in
// each of three zones. It returns the plain workers.
func (w *world) startSmall(hostsPerZone ...int) (workers []*worker) {
	w.put("config", "main", configuration(3, deploymentKeys...))
	zones := []string{"a", "b", "c"}
	for i, zone := range zones {
		workers = append(workers, w.newWorker(fmt.Sprintf("i-%d", i+1), "plain", zone, 60*time.Millisecond))
	}
	for i, zone := range zones {
		w.newWorker(fmt.Sprintf("e-%d", i+1), "llm", zone, 60*time.Millisecond)
	}
	w.startHosts(zones, hostsPerZone)
	w.awaitReady()
	time.Sleep(5 * time.Second)
	return workers
}
