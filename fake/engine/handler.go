package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fake/unframed"
)

const (
	maxRequestBytes = 8 << 20
	retryAfter      = "1" // seconds
	crossedID       = "crossed"
)

func (e *Engine) routes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+backend.PathCompletions, e.serveStart)
	e.mux.HandleFunc("GET "+backend.PathGenerations+"{id}/events", e.serveResume)
	e.mux.HandleFunc("POST "+backend.PathGenerations+"{id}/cancel", e.serveCancel)
	e.mux.HandleFunc("GET "+backend.PathLoad, e.serveLoad)
	e.mux.HandleFunc("GET "+backend.PathCacheEvents, e.serveCacheEvents)
	e.mux.HandleFunc("POST "+backend.PathOrders, e.serveOrder)
	e.mux.HandleFunc("GET "+backend.PathOrders, e.serveState)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.HeaderRequestID)
	if e.consumeFault(&e.faults.crossAnswers) {
		id = crossedID
	}
	w.Header().Set(backend.HeaderRequestID, id)
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	var request backend.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.GenerationID == "" {
		e.refuse(w, http.StatusBadRequest, "unreadable request")
		return
	}
	e.mu.Lock()
	status, why := e.refusalLocked(request)
	if why != "" {
		e.journal.counters.RefusedStarts++
		e.mu.Unlock()
		e.refuse(w, status, why)
		return
	}
	if e.generations[request.GenerationID] != nil {
		e.journal.counters.Repeated++
		e.mu.Unlock()
		http.Error(w, "generation exists", http.StatusConflict)
		return
	}
	g := e.startLocked(request)
	e.attachLocked(g)
	e.mu.Unlock()
	e.wakeRun()
	e.serveEvents(w, r, g, 0)
}

// refusalLocked returns the status and the reason with which a start is refused;
// the reason is empty if it is accepted.
func (e *Engine) refusalLocked(request backend.CompletionRequest) (int, string) {
	switch {
	case e.leaving || e.closed:
		return http.StatusServiceUnavailable, "leaving"
	case len(e.waiting) >= e.config.MaxWaiting:
		return http.StatusTooManyRequests, "queue is full"
	case backend.PromptTokens(request.Prompt) >= e.config.TokenCapacity:
		return http.StatusRequestEntityTooLarge, "prompt does not fit into memory"
	case !e.servesLocked(request.Model):
		return http.StatusNotFound, "model is not loaded"
	}
	return 0, ""
}

// servesLocked reports whether a model, given with or without its version, is
// loaded. An engine that was configured without models and has loaded none serves
// any model.
func (e *Engine) servesLocked(model string) bool {
	if len(e.config.Models) == 0 && len(e.orders.state.Models) == 0 {
		return true
	}
	for _, loaded := range e.orders.state.Models {
		if loaded == model || len(loaded) > len(model) && loaded[:len(model)+1] == model+"@" {
			return true
		}
	}
	return false
}

// refuse answers that the request did not run.
func (e *Engine) refuse(w http.ResponseWriter, status int, why string) {
	e.mu.Lock()
	e.journal.counters.Refused++
	e.mu.Unlock()
	w.Header().Set(backend.HeaderNotRun, "true")
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, why, status)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	if g == nil || from > g.produced {
		e.mu.Unlock()
		http.Error(w, "no such generation or offset", http.StatusNotFound)
		return
	}
	e.attachLocked(g)
	e.mu.Unlock()
	e.serveEvents(w, r, g, from)
}

// serveEvents streams a generation from an offset. The caller has attached the
// reader; serveEvents detaches it.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	defer e.detach(g)
	w.Header().Set("Content-Type", backend.ContentTypeSSE)
	out := streamWriter{engine: e, generation: g, w: w, control: http.NewResponseController(w)}
	if end, ok := e.takeUnframed(); ok {
		unframed.Begin(w)
		out.end = end
	}
	if out.control.Flush() != nil {
		return
	}
	keepAlive := time.NewTicker(e.config.KeepAlive)
	defer keepAlive.Stop()
	for next := from; ; {
		view := e.snapshot(g)
		for ; next < view.produced; next++ {
			if out.token(next, view.preempted) != nil {
				return
			}
		}
		if view.phase == ended {
			out.finish(view)
			return
		}
		if out.control.Flush() != nil {
			return
		}
		select {
		case <-view.changed:
		case <-keepAlive.C:
			if _, err := fmt.Fprint(w, ": alive\n\n"); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// snapshot returns a snapshot of a generation.
func (e *Engine) snapshot(g *generation) generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *g
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	if g != nil {
		e.endLocked(g, finishCancelled)
	}
	e.mu.Unlock()
	if g == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	report, lost := e.publishedReport()
	if lost {
		e.refuse(w, http.StatusServiceUnavailable, "no report")
		return
	}
	writeJSON(w, report)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cacheEventsLocked(after)
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if !e.mayExecuteOrders(r) {
		e.refuse(w, http.StatusUnauthorized, "unauthorized")
		return
	}
	var order backend.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		e.refuse(w, http.StatusBadRequest, "unreadable order")
		return
	}
	state, taken := e.order(order)
	if !taken {
		e.refuse(w, http.StatusConflict, "old fencing number")
		return
	}
	writeJSON(w, state)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.orders.clone()
	e.mu.Unlock()
	writeJSON(w, state)
}

func (e *Engine) mayExecuteOrders(r *http.Request) bool {
	return e.config.OrderToken == "" || r.Header.Get("Authorization") == "Bearer "+e.config.OrderToken
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", backend.ContentTypeJSON)
	json.NewEncoder(w).Encode(answer)
}
