package order

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/lease"
	"github.com/papayasail/papayasail/store"
)

var ordersTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
	Namespace: "papayasail", Subsystem: "order", Name: "given_total",
	Help: "Orders to engines by kind and outcome, including orders that were held back.",
}, []string{"kind", "outcome"})

func init() { prometheus.MustRegister(ordersTotal) }

// Outcomes of orders, used in metrics and stored in audit entries.
const (
	outcomeDone     = "done"
	outcomeOldFence = "refused, old fencing number"
	outcomeRefused  = "refused"
	outcomeNotSent  = "not sent"
	outcomeNotSeen  = "effect not seen"
	outcomeHeldBack = "held back"
)

const (
	defaultMaxExecutionTime = 30 * time.Second
	// minRemaining is the minimum remaining lease time for sending an order.
	minRemaining = 2 * time.Second
	// readBackEvery is the interval between reads of an engine's state after a
	// lost response.
	readBackEvery   = time.Second
	readBackTimeout = 2 * time.Second
	// prepareTimeout bounds the store operations before an order.
	prepareTimeout = 30 * time.Second
	// closeTimeout bounds the write of an outcome. If the write fails, the
	// intent stays open.
	closeTimeout = 10 * time.Second
)

// Dispatcher sends orders to engines, only while its host has the lease.
type Dispatcher struct {
	Host          string
	FailureDomain string
	Store         store.Store
	Lessor        lease.Lessor
	Engine        Engine
	LoadLimiter   *LoadLimiter // rate limit of model loads; nil: no limit
	// MaxExecutionTime is the maximum time that an engine takes to execute an order
	// after it received the order. It must equal the lessor's. Default 30 s.
	MaxExecutionTime time.Duration

	mu        sync.Mutex      // guards all below
	inFlight  map[string]bool // addresses of servers with an order in flight
	unsettled time.Time       // until then an engine may still execute an order with an unknown outcome
}

// Unsettled reports whether an engine may still execute an order of this host:
// one in flight, or one whose outcome is unknown.
func (d *Dispatcher) Unsettled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.inFlight) > 0 || time.Now().Before(d.unsettled)
}

// Dispatch sends one order and returns the engine's state after it. It blocks for
// at most MaxExecutionTime plus the time of the store operations. Errors:
// ErrLinkNotAllowed, ErrNotHolder, *WaitError, ErrOldFence, ErrRefused,
// ErrNotSeen, the errors of store.Store, and *backend.CallError if the order
// was not sent. After an error of the store the order may have taken effect, with
// its outcome not recorded.
func (d *Dispatcher) Dispatch(ctx context.Context, held *lease.Lease, order Order) (backend.EngineState, error) {
	address := order.Server.Address
	if !d.claim(address) {
		return backend.EngineState{}, &WaitError{For: readBackEvery, Reason: "another order to the server"}
	}
	defer d.unclaim(address)
	request, record, version, err := d.prepare(ctx, held, order)
	if err != nil {
		ordersTotal.WithLabelValues(string(order.Kind), outcomeHeldBack).Inc()
		return backend.EngineState{}, err
	}
	state, outcome, err := d.send(ctx, held, order, request)
	ordersTotal.WithLabelValues(string(order.Kind), outcome).Inc()
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if _, _, closeErr := (recordStore{d.Store}).close(closeCtx, address, record, outcome, version); closeErr != nil {
		// The intent stays open until the next order to the server settles it.
		return state, errors.CombineErrors(err, closeErr)
	}
	return state, err
}

// prepare checks all conditions for the order and writes the intent.
func (d *Dispatcher) prepare(ctx context.Context, held *lease.Lease, order Order) (request backend.OrderRequest, record serverRecord, version store.Version, err error) {
	if !order.Document.AllowsOrders(d.FailureDomain, order.Server) {
		return request, record, 0, ErrLinkNotAllowed
	}
	if wait := held.FirstActionDelay(); wait > 0 {
		return request, record, 0, &WaitError{For: wait, Reason: "orders of the holder before"}
	}
	if held.Remaining() < minRemaining {
		return request, record, 0, ErrNotHolder
	}
	if order.Kind == backend.OrderLoad && d.LoadLimiter != nil {
		if wait := d.LoadLimiter.Wait(held); wait > 0 {
			return request, record, 0, &WaitError{For: wait, Reason: reasonLoadLimit}
		}
	}
	// The timeout keeps a long store outage from delaying the order until it is
	// obsolete. The lease is renewed meanwhile and checked again before sending.
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	records := recordStore{d.Store}
	record, version, err = records.read(ctx, order.Server.Address)
	if err != nil {
		return request, record, 0, err
	}
	if record.Intent.Fence > held.Fence() {
		return request, record, 0, ErrNotHolder
	}
	if record, version, err = d.settle(ctx, order.Server.Address, record, version); err != nil {
		return request, record, 0, err
	}
	if order.Kind == backend.OrderLoad && d.LoadLimiter != nil {
		if err = d.LoadLimiter.Take(ctx, d.Lessor, held); err != nil {
			return request, record, 0, err
		}
	}
	request = backend.OrderRequest{
		OrderID: uuid.NewString(), Kind: order.Kind, Model: order.Model, Role: order.Role, Fence: held.Fence(),
	}
	record, version, err = records.open(ctx, order.Server.Address, record, intent{OrderRequest: request, Holder: d.Host}, version)
	var bad *store.VersionError
	if errors.As(err, &bad) {
		err = ErrNotHolder // another holder wrote its intent first
	}
	return request, record, version, err
}

// settle closes an intent that a previous holder or this host left open. The
// maximum execution time of its order has passed, so the engine's state shows
// whether the order took effect.
func (d *Dispatcher) settle(ctx context.Context, address string, record serverRecord, version store.Version) (serverRecord, store.Version, error) {
	if !record.Intent.Open {
		return record, version, nil
	}
	state, err := d.state(ctx, address)
	if err != nil {
		return record, version, err
	}
	outcome := outcomeNotSeen
	if tookEffect(record.Intent.order(), record.Intent.OrderID, state) {
		outcome = outcomeDone
	}
	return recordStore{d.Store}.close(ctx, address, record, fmt.Sprintf("%s, settled by %s", outcome, d.Host), version)
}

// send sends the order. If the response is lost, it reads the engine's state
// back to determine the outcome.
//
// Guards against a holder that pauses between its last check and the order:
// another host takes over, and the order arrives after the new holder's. The
// lease is checked immediately before the call, and the call ends with the lease
// at the latest, so only an order in transit can still arrive late. An engine
// that honours the fencing number refuses such an order. For an engine that
// ignores it, the next holder waits for MaxExecutionTime before its first order
// and reads the state again later.
func (d *Dispatcher) send(ctx context.Context, held *lease.Lease, order Order, request backend.OrderRequest) (backend.EngineState, string, error) {
	begun := time.Now()
	remaining := held.Remaining()
	if remaining < minRemaining {
		return backend.EngineState{}, outcomeNotSent, ErrNotHolder
	}
	sendCtx, cancel := context.WithTimeout(ctx, min(remaining, d.maxExecutionTime()))
	defer cancel()
	state, err := d.Engine.Order(sendCtx, order.Server.Address, request)
	if err == nil {
		return state, outcomeDone, nil
	}
	var call *backend.CallError
	if errors.As(err, &call) && call.Evidence.NotRun() {
		if call.Status == http.StatusConflict {
			return state, outcomeOldFence, errors.Mark(err, ErrOldFence)
		}
		if call.Evidence == backend.NothingSent {
			return state, outcomeNotSent, err
		}
		return state, outcomeRefused, errors.Mark(err, ErrRefused)
	}
	state, outcome, err := d.readBack(ctx, order, request, begun)
	if err != nil {
		d.markUnsettled(begun.Add(d.maxExecutionTime()))
	}
	return state, outcome, err
}

// readBack polls the engine's state for the order's effect until the maximum
// execution time has passed.
func (d *Dispatcher) readBack(ctx context.Context, order Order, request backend.OrderRequest, begun time.Time) (backend.EngineState, string, error) {
	for {
		state, err := d.state(ctx, order.Server.Address)
		if err == nil && tookEffect(order, request.OrderID, state) {
			return state, outcomeDone, nil
		}
		if time.Since(begun) >= d.maxExecutionTime() {
			return state, outcomeNotSeen, ErrNotSeen
		}
		if err := sleep.For(ctx, readBackEvery); err != nil {
			return state, outcomeNotSeen, errors.Mark(err, ErrNotSeen)
		}
	}
}

func (d *Dispatcher) state(ctx context.Context, address string) (backend.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	return d.Engine.ReadState(ctx, address)
}

// tookEffect reports whether an engine's state shows that an order took effect.
func tookEffect(order Order, id string, state backend.EngineState) bool {
	return state.LastOrder == id || order.SatisfiedBy(state)
}

func (d *Dispatcher) maxExecutionTime() time.Duration {
	if d.MaxExecutionTime <= 0 {
		return defaultMaxExecutionTime
	}
	return d.MaxExecutionTime
}

// claim marks the server as having an order in flight from this host. It
// returns false if it has one already.
func (d *Dispatcher) claim(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight[address] {
		return false
	}
	if d.inFlight == nil {
		d.inFlight = map[string]bool{}
	}
	d.inFlight[address] = true
	return true
}

func (d *Dispatcher) markUnsettled(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.unsettled) {
		d.unsettled = until
	}
}

func (d *Dispatcher) unclaim(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inFlight, address)
}
