package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

func contextFor(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// worker is a server of a plain service. It is sound unless faulty says otherwise.
type worker struct {
	w                       *world
	id, service, zone, addr string
	workFor                 time.Duration

	// Set before the first request.
	faulty       func() bool // whether it hands out wrong bytes now; nil: never
	garbledOf    int         // one of so many answers is garbled while it is faulty
	garbageBytes int

	mu      sync.Mutex // guards all below
	leaving bool
	answers int                  // while faulty
	runs    map[string]time.Time // attempts that ran, and when they arrived
	spoiled map[string]bool      // attempts with a garbled answer
}

const slots = 24

// newWorker starts a worker and writes its entry.
func (w *world) newWorker(id, service, zone string, workFor time.Duration) *worker {
	k := &worker{w: w, id: id, service: service, zone: zone, workFor: workFor, runs: map[string]time.Time{}, spoiled: map[string]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	k.addr = listener.Addr().String()
	go func() { _ = http.Serve(listener, k) }() // ends with this process
	w.put("servers", id, k.entry())
	return k
}

func (k *worker) entry() map[string]any {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := "ready"
	if k.leaving {
		state = "draining"
	}
	return map[string]any{"service": k.service, "addr": k.addr, "zone": k.zone, "version": "v1", "slots": slots, "state": state, "seq": 1, wire.Cold: 0}
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(wire.Load, "1,0,"+strconv.Itoa(slots))
	if k.isLeaving() {
		rw.Header().Set("Server-Leaving", "1")
	}
	switch r.URL.Path {
	case "/healthz":
		rw.Header().Set("X-Instance-Id", k.id)
		if k.isLeaving() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/report":
		k.report(rw)
		return
	}
	id := r.Header.Get(wire.Attempt)
	if id == "" {
		rw.WriteHeader(http.StatusNotFound) // a control call: this is no model worker
		return
	}
	rw.Header().Set(wire.Attempt, id)
	rw.Header().Set("Keep-Alive", "timeout=5")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get(wire.Expect) != k.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	garbled := k.recordRun(id)
	select {
	case <-time.After(k.workFor):
	case <-r.Context().Done():
		return
	}
	if garbled {
		k.sendGarbage(rw, id)
		return
	}
	rw.Header().Set(wire.Stamp, "stamp."+id)
	fmt.Fprintf(rw, "done %s", id)
}

// report answers what the worker says of itself; it has no generations.
func (k *worker) report(rw http.ResponseWriter) {
	state := "ready"
	if k.isLeaving() {
		state = "draining"
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{ // the caller may be gone
		"phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 1, "queued": 0, "active": 0,
		"kvUsed": 0, "kvTotal": kvCapacity, wire.Copies: 0, "state": state, "runs": []any{},
	})
}

// recordRun records that a request begins to run, and decides whether its answer is garbled.
func (k *worker) recordRun(id string) (garbled bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs[id] = time.Now()
	if k.faulty != nil && k.faulty() {
		k.answers++
		garbled = k.answers%k.garbledOf == 0
	}
	if garbled {
		k.spoiled[id] = true
	}
	return garbled
}

func (k *worker) ran(id string) bool {
	_, ran := k.arrival(id)
	return ran
}

// arrival returns when a request that ran reached the worker.
func (k *worker) arrival(id string) (at time.Time, ran bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ran = k.runs[id]
	return at, ran
}

// leave makes the worker report that it is leaving, in the store and in all its answers. It
// goes on serving. The result is when the store acknowledged that.
func (k *worker) leave() time.Time {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.w.put("servers", k.id, k.entry())
	return time.Now()
}

func (k *worker) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

func (k *worker) garbled(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.spoiled[id]
}

// garbageBytesPerSecond is below the 1,000 Mbit/s of a machine's link.
const garbageBytesPerSecond = 100 << 20

// sendGarbage sends bytes that are no response, zeros, and closes the connection.
func (k *worker) sendGarbage(rw http.ResponseWriter, id string) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	began, piece, sent := time.Now(), make([]byte, 64<<10), 0
	for sent < k.garbageBytes {
		n, err := conn.Write(piece)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / garbageBytesPerSecond * float64(time.Second)))))
	}
	k.w.log("worker %s sent %d bytes that are no response to %s", k.id, sent, id)
}

// attempts returns the attempts that ran, in order.
func (k *worker) attempts() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.runs))
}
