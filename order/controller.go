package order

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/lease"
	"github.com/papayasail/papayasail/store"
)

// LeaseName is the name of the lease required for sending orders.
const LeaseName = "orders"

const (
	msgAcquired = "orders lease acquired"
	msgEnded    = "orders lease ended"
	msgOrder    = "order given"
	msgNoOrder  = "order failed"
)

const (
	defaultTick    = 5 * time.Second
	releaseTimeout = 5 * time.Second
	renewTimeout   = 10 * time.Second
	// yieldPeriod is how long a host does not contend for the lease after it
	// yielded the lease to hosts in another failure domain.
	yieldPeriod = time.Minute
	// notContendingPeriod is the interval between checks whether this host
	// should contend.
	notContendingPeriod = 5 * time.Second
	// parallelOrders bounds the number of concurrent orders.
	parallelOrders = 4
)

// errNotContending ends the lease of a host that should no longer contend.
var errNotContending = errors.New("order: host no longer contends")

// errYield ends the lease of a host that must not send the orders that are due.
var errYield = errors.New("order: orders are due that another failure domain may give")

var holding = prometheus.NewGauge(prometheus.GaugeOpts{
	Namespace: "papayasail", Subsystem: "order", Name: "holding",
	Help: "1 while this host holds the orders lease.",
})

func init() { prometheus.MustRegister(holding) }

// Controller contends for the orders lease and places models while it has the lease.
type Controller struct {
	Lessor     lease.Lessor
	Dispatcher *Dispatcher
	Placement  *Placement
	RenewEvery time.Duration // interval between lease renewals; default 5 s
	Tick       time.Duration // interval between plans; default 5 s
	// Contend reports whether this host contends for the lease; nil: always. A
	// few hosts suffice; each one reads the store every few seconds.
	Contend func() bool
	// Refresh updates the documents from the store after the lease was
	// acquired, so that a new holder sends no order that a newer document no
	// longer requires. Nil: the documents are always up to date.
	Refresh func(ctx context.Context) error
	Logger  *zap.Logger // nil: no log

	isHolder atomic.Bool
}

// Holding reports whether this host holds the lease, according to its local
// state. Such a host must watch the store for newer documents.
func (c *Controller) Holding() bool { return c.isHolder.Load() }

// Run contends for the lease and places models while it has the lease. It
// returns the error of ctx when ctx ends. The lease is released first, unless an
// order may still take effect.
func (c *Controller) Run(ctx context.Context) error {
	var backoff store.Backoff
	for ctx.Err() == nil {
		if !c.contends() {
			if err := sleep.For(ctx, notContendingPeriod); err != nil {
				return err
			}
			continue
		}
		held, err := c.Lessor.Acquire(ctx, LeaseName)
		if err == nil {
			backoff.Reset()
			if c.hold(ctx, held) {
				_ = sleep.For(ctx, yieldPeriod)
			}
			continue
		}
		var other *lease.HeldError
		if errors.As(err, &other) {
			backoff.Reset()
			_ = sleep.For(ctx, max(other.RetryAfter/2, time.Second))
			continue
		}
		_ = backoff.Wait(ctx)
	}
	return ctx.Err()
}

// hold renews the lease and places models until the lease is lost, ctx ends or
// the host no longer contends. It returns true if it yielded the lease to
// another failure domain.
func (c *Controller) hold(ctx context.Context, held *lease.Lease) (yielded bool) {
	c.logger().Info(msgAcquired, zap.Uint64("fence", held.Fence()))
	c.isHolder.Store(true)
	holding.Set(1)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.renew(ctx, held) })
	group.Go(func() error { return c.placeModels(ctx, held) })
	err := group.Wait()
	c.isHolder.Store(false)
	holding.Set(0)
	c.Placement.Forget()
	c.release(held)
	c.logger().Info(msgEnded, zap.Uint64("fence", held.Fence()), zap.Error(err))
	return errors.Is(err, errYield)
}

// release releases the lease, so that the next holder can start immediately.
// If an order of this holder may still take effect, the lease is left to expire
// instead, so that the next holder waits until that order can no longer take
// effect.
func (c *Controller) release(held *lease.Lease) {
	if c.Dispatcher.Unsettled() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = c.Lessor.Release(ctx, held)
}

// renew renews the lease until it is lost or ctx ends. It never returns nil.
func (c *Controller) renew(ctx context.Context, held *lease.Lease) error {
	every := c.RenewEvery
	if every <= 0 {
		every = defaultTick
	}
	for {
		if err := sleep.For(ctx, every); err != nil {
			return err
		}
		renewCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := c.Lessor.Renew(renewCtx, held, nil)
		cancel()
		if errors.Is(err, lease.ErrLost) {
			return err
		}
	}
}

// placeModels plans and sends orders until ctx ends, the host no longer contends
// or it yields the lease. It never returns nil.
func (c *Controller) placeModels(ctx context.Context, held *lease.Lease) error {
	if err := sleep.For(ctx, held.FirstActionDelay()); err != nil {
		return err
	}
	if err := c.refresh(ctx); err != nil {
		return err
	}
	tick := c.Tick
	if tick <= 0 {
		tick = defaultTick
	}
	for c.contends() {
		if held.Remaining() > minRemaining && c.dispatchPlan(ctx, held) == 0 && c.Placement.DueElsewhere() {
			// Guards against a server that never gets its model, because its
			// document allows orders from one failure domain only and the holder
			// is in another. A host that may send the order gets the lease.
			return errYield
		}
		if err := sleep.For(ctx, tick); err != nil {
			return err
		}
	}
	return errNotContending
}

func (c *Controller) refresh(ctx context.Context) error {
	if c.Refresh == nil {
		return nil
	}
	var backoff store.Backoff
	for c.Refresh(ctx) != nil {
		if err := backoff.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// dispatchPlan sends the orders of one plan and returns their number.
func (c *Controller) dispatchPlan(ctx context.Context, held *lease.Lease) int {
	var group errgroup.Group
	group.SetLimit(parallelOrders)
	orders := c.Placement.Plan(ctx)
	for _, order := range orders {
		group.Go(func() error {
			c.dispatch(ctx, held, order)
			return nil
		})
	}
	_ = group.Wait()
	return len(orders)
}

func (c *Controller) dispatch(ctx context.Context, held *lease.Lease, order Order) {
	state, err := c.Dispatcher.Dispatch(ctx, held, order)
	fields := []zap.Field{zap.String("server", order.Server.Address), zap.Stringer("order", order), zap.Uint64("fence", held.Fence())}
	var wait *WaitError
	switch {
	case err == nil:
		c.Placement.RecordState(order.Server.Address, state)
		c.logger().Info(msgOrder, fields...)
	case !errors.As(err, &wait):
		c.logger().Warn(msgNoOrder, append(fields, zap.Error(err))...)
	}
}

func (c *Controller) contends() bool { return c.Contend == nil || c.Contend() }

func (c *Controller) logger() *zap.Logger {
	if c.Logger == nil {
		return zap.NewNop()
	}
	return c.Logger
}
