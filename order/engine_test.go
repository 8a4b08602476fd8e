package order

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
)

var errTest = errors.New("test engine")

// testEngine is a model engine with fault injection.
type testEngine struct {
	honours bool // refuses stale fencing numbers

	mu            sync.Mutex // guards all below
	alive         bool
	incarnation   int           // incremented when the engine dies
	executionTime time.Duration // execution time of an order
	loseAnswers   int
	loseRequests  int
	state         backend.EngineState
}

// effect is an order that took effect.
type effect struct {
	address   string
	order     backend.OrderRequest
	holder    string
	at        time.Time
	honours   bool
	remaining int // live engines that still have some version of the model
}

// engineSet is the set of all engines; it records the orders that took effect.
type engineSet struct {
	engines map[string]*testEngine

	mu      sync.Mutex // guards effects and loads; acquired after an engine's mu
	effects []effect
	loads   []time.Time // arrival times of load orders
}

// order handles an order that arrives from a host.
func (f *engineSet) order(ctx context.Context, holder, address string, order backend.OrderRequest) (backend.EngineState, error) {
	e := f.engines[address]
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		return backend.EngineState{}, &backend.CallError{Evidence: backend.NothingSent, Err: errTest}
	}
	if e.loseRequests > 0 {
		e.loseRequests--
		e.mu.Unlock()
		return backend.EngineState{}, &backend.CallError{Evidence: backend.Broken, Err: errTest}
	}
	if e.honours && order.Fence < e.state.LastFence {
		e.mu.Unlock()
		return backend.EngineState{}, &backend.CallError{Evidence: backend.RefusedNotRun, Status: http.StatusConflict, Err: errTest}
	}
	e.state.LastFence = max(e.state.LastFence, order.Fence)
	incarnation, executionTime := e.incarnation, e.executionTime
	lost := e.loseAnswers > 0
	if lost {
		e.loseAnswers--
	}
	e.mu.Unlock()
	if order.Kind == backend.OrderLoad {
		f.mu.Lock()
		f.loads = append(f.loads, time.Now())
		f.mu.Unlock()
	}
	done := make(chan backend.EngineState, 1)
	go func() {
		time.Sleep(executionTime)
		done <- f.apply(e, incarnation, address, holder, order)
	}()
	select {
	case state := <-done:
		if lost {
			return backend.EngineState{}, &backend.CallError{Evidence: backend.Broken, Err: errTest}
		}
		return state, nil
	case <-ctx.Done():
		return backend.EngineState{}, &backend.CallError{Evidence: backend.Silent, Err: ctx.Err()}
	}
}

func (f *engineSet) apply(e *testEngine, incarnation int, address, holder string, order backend.OrderRequest) backend.EngineState {
	state, ok := e.apply(incarnation, order)
	if !ok {
		return state
	}
	remaining := f.countHaving(order.Model)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.effects = append(f.effects, effect{address: address, order: order, holder: holder, at: time.Now(), honours: e.honours, remaining: remaining})
	return state
}

// apply changes the engine's state, unless the engine died after the order arrived.
func (e *testEngine) apply(incarnation int, order backend.OrderRequest) (backend.EngineState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return backend.EngineState{}, false
	}
	at := slices.Index(e.state.Models, order.Model)
	switch {
	case order.Kind == backend.OrderLoad && at < 0:
		e.state.Models = append(e.state.Models, order.Model)
	case order.Kind == backend.OrderUnload && at >= 0:
		e.state.Models = slices.Delete(e.state.Models, at, at+1)
	case order.Kind == backend.OrderRole:
		e.state.Role = order.Role
	}
	e.state.LastOrder = order.OrderID
	return e.copy(), true
}

// countHaving counts the live engines that have some version of the model.
func (f *engineSet) countHaving(model string) int {
	name, _, _ := strings.Cut(model, "@")
	count := 0
	for _, e := range f.engines {
		e.mu.Lock()
		if e.alive && slices.ContainsFunc(e.state.Models, func(m string) bool { return strings.HasPrefix(m, name+"@") }) {
			count++
		}
		e.mu.Unlock()
	}
	return count
}

func (f *engineSet) ReadState(_ context.Context, address string) (backend.EngineState, error) {
	e := f.engines[address]
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return backend.EngineState{}, &backend.CallError{Evidence: backend.NothingSent, Err: errTest}
	}
	return e.copy(), nil
}

// die stops the engine; its loaded models and the orders in progress are lost.
func (e *testEngine) die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alive = false
	e.incarnation++
	e.state = backend.EngineState{}
}

func (e *testEngine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alive = true
}

// copy returns a copy of the state. The caller holds mu.
func (e *testEngine) copy() backend.EngineState {
	state := e.state
	state.Models = slices.Clone(state.Models)
	return state
}

func (e *testEngine) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return "dead"
	}
	models := slices.Sorted(slices.Values(e.state.Models))
	text := fmt.Sprintf("%v", models)
	if e.state.Role != "" {
		text += " role=" + e.state.Role
	}
	return text
}

// set runs change with mu locked.
func (e *testEngine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}
