package engine

import (
	"slices"
	"time"

	"github.com/papayasail/papayasail/backend"
)

// orderState is the part of the engine's state that orders change. The engine's
// mutex guards it.
type orderState struct {
	state   backend.EngineState
	pending int // orders in execution
}

func newOrderState(models []string) orderState {
	return orderState{state: backend.EngineState{Models: slices.Clone(models)}}
}

func (b *orderState) loaded() []string { return slices.Clone(b.state.Models) }

func (b *orderState) clone() backend.EngineState {
	state := b.state
	state.Models = b.loaded()
	return state
}

// order executes an order; loading or unloading a model takes LoadTime. It returns
// the new state, or false if the fencing number is stale and HonourFence is set.
func (e *Engine) order(order backend.OrderRequest) (backend.EngineState, bool) {
	e.mu.Lock()
	if e.config.HonourFence && order.Fence < e.orders.state.LastFence {
		defer e.mu.Unlock()
		e.journal.orderRefused(order)
		return e.orders.clone(), false
	}
	e.orders.state.LastFence = max(e.orders.state.LastFence, order.Fence)
	e.orders.pending++
	e.mu.Unlock()
	if order.Kind != backend.OrderRole {
		time.Sleep(e.config.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.pending--
	e.orders.apply(order)
	e.journal.ordered(order)
	e.reports.record(time.Now(), e.reportLocked())
	return e.orders.clone(), true
}

func (b *orderState) apply(order backend.OrderRequest) {
	at := slices.Index(b.state.Models, order.Model)
	switch {
	case order.Kind == backend.OrderLoad && at < 0:
		b.state.Models = append(b.state.Models, order.Model)
	case order.Kind == backend.OrderUnload && at >= 0:
		b.state.Models = slices.Delete(b.state.Models, at, at+1)
	case order.Kind == backend.OrderRole:
		b.state.Role = order.Role
	}
	b.state.LastOrder = order.OrderID
}
