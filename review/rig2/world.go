package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/papayasail/papayasail/platform/standin"
	"github.com/papayasail/papayasail/store"
)

const (
	// configBound is configMs, the time that the pages allow until a version is in force.
	configBound = 2 * time.Second
	// stableWindow is stableWindowMs.
	stableWindow = 3 * time.Second
	// recoverBound is recoverS.
	recoverBound = 12 * time.Second
	// heartbeat is heartbeatMs.
	heartbeat = 1200 * time.Millisecond
	// callerHost is the Host header of all requests.
	callerHost = "ficu95.example"
	// readyTimeout bounds the start of all hosts.
	readyTimeout = 20 * time.Second
)

// world is one deployment.
type world struct {
	program string
	folder  string // temporary
	subnet  int
	memory  *store.Memory
	http    *http.Server
	address string // of the store
	hosts   []*host
	servers []*server

	began  time.Time
	mu     sync.Mutex // guards file and record
	file   *os.File
	record *bufio.Writer

	ledger ledger

	greyFrom time.Time // when the first server gets into trouble; set before the traffic begins
}

// newWorld returns a world with a running store and nothing else.
func newWorld(program, record string) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, folder: folder, memory: store.NewMemory(), began: time.Now(), file: file, record: bufio.NewWriter(file)}
	w.ledger.runs = map[string]int{}
	if err := w.chooseSubnet(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", w.ip(250)+":0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.http = &http.Server{Handler: standin.NewStore(w.memory)}
	go func() { _ = w.http.Serve(listener) }() // ends with close
	return w, nil
}

// chooseSubnet chooses a loopback subnet in which the metrics port of hosts is free.
func (w *world) chooseSubnet() error {
	for range 50 {
		w.subnet = 2 + rand.IntN(250)
		listener, err := net.Listen("tcp", w.ip(1)+":9464")
		if err == nil {
			return listener.Close()
		}
	}
	return fmt.Errorf("no free loopback subnet")
}

// ip returns a loopback address that only this world uses.
func (w *world) ip(index int) string { return fmt.Sprintf("127.93.%d.%d", w.subnet, index) }

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		h.close()
	}
	for _, s := range w.servers {
		s.stop()
	}
	_ = w.http.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.folder)
}

// put writes an object as its owner does, and returns when the store has acknowledged it.
func (w *world) put(kind, name string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are this program's own
	}
	w.memory.Set(kind, name, data)
	return time.Now()
}

// addHosts starts entry hosts, spread over three zones.
func (w *world) addHosts(count int) error {
	for i := 1; i <= count; i++ {
		h := &host{world: w, name: fmt.Sprintf("edge-%d", i), ip: w.ip(i), zone: fmt.Sprintf("zone-%d", i%3)}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := h.writeSettings(); err != nil {
			return err
		}
		h.start()
	}
	return w.awaitReady()
}

// awaitReady waits until all hosts count as ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range w.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready in time", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// addServer starts a backend server and registers it.
func (w *world) addServer(s *server) error {
	s.world, s.id = w, fmt.Sprintf("i-%08x", rand.Uint32())
	s.zone = fmt.Sprintf("zone-%d", len(w.servers)%3)
	w.servers = append(w.servers, s)
	return s.start(w.ip(100 + len(w.servers)))
}

// ledger is what backend servers ran.
type ledger struct {
	mu   sync.Mutex     // guards runs
	runs map[string]int // by attempt id
}

func (l *ledger) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// route returns a route of a configuration.
func route(name, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": callerHost, wire.Prefix: "/" + name + "/", "type": kind, "timeoutMs": 3000, "goalMs": 300,
		"priority": 1, "service": service, "attempts": attempts, "public": false, "resumable": false, "sticky": false, "gapGoalMs": 180,
	}
}

// configuration returns a configuration with one organisation that has the given keys.
func configuration(version int, routes []map[string]any, keys []string) map[string]any {
	services, known := []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		name := r["service"].(string)
		if !known[name] {
			known[name] = true
			services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 272, "protocol": "h1", "tls": false})
		}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", wire.Keys: keys}},
	}
}

// configure writes a configuration and returns when the store has acknowledged it.
func (w *world) configure(c map[string]any) time.Time {
	acknowledged := w.put("config", "main", c)
	w.note("the store acknowledges configuration %v", c["version"])
	return acknowledged
}

// freePorts returns a free port of an address for each name.
func freePorts(ip string, names ...string) (map[string]string, error) {
	ports := map[string]string{}
	for _, name := range names {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports[name] = listener.Addr().String()[strings.LastIndex(listener.Addr().String(), ":")+1:]
	}
	return ports, nil
}
