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

// LeaseName is the name of the lease that orders are given under.
const LeaseName = "orders"

const (
	msgAcquired = "orders lease acquired"
	msgEnded    = "orders lease ended"
	msgOrder    = "order given"
	msgNoOrder  = "order failed"
)

const (
	defaultTick  = 5 * time.Second
	releaseLimit = 5 * time.Second
	renewTimeout = 10 * time.Second
	// yieldFor is how long a host stays away from the lease after it gave it
	// up to hosts in another failure domain.
	yieldFor = time.Minute
	// notContendingPeriod spaces checks whether this host is to contend.
	notContendingPeriod = 5 * time.Second
	// parallelOrders bounds the orders that run at once.
	parallelOrders = 4
)

// errNotContending ends the duty of a host that is no longer to have it.
var errNotContending = errors.New("order: host no longer contends")

// errYield ends the duty of a host that may not give the orders that are due.
var errYield = errors.New("order: orders are due that another failure domain may give")

var holding = prometheus.NewGauge(prometheus.GaugeOpts{
	Namespace: "papayasail", Subsystem: "order", Name: "holding",
	Help: "1 while this host holds the lease for orders.",
})

func init() { prometheus.MustRegister(holding) }

// Duty holds the lease for orders when it can get it and places models while
// it does.
type Duty struct {
	Lessor     lease.Lessor
	Giver      *Giver
	Placement  *Placement
	RenewEvery time.Duration // default 5 s
	Tick       time.Duration // between plans; default 5 s
	// Contend says whether this host tries for the lease; nil: always. A few
	// hosts are enough, each costs a read of the store every few seconds.
	Contend func() bool
	// Refresh brings the documents up to date with the store after the lease
	// was acquired: a new holder must not order what a newer document no
	// longer asks for. Nil: the documents are up to date.
	Refresh func(ctx context.Context) error
	Logger  *zap.Logger // nil: no log

	holds atomic.Bool
}

// Holding reports whether this host holds the lease, as far as it knows. Such
// a host has to watch the store for newer documents.
func (d *Duty) Holding() bool { return d.holds.Load() }

// Run contends for the lease and does the duty until ctx ends, whose error it
// returns; before that it releases the lease.
func (d *Duty) Run(ctx context.Context) error {
	var backoff store.Backoff
	for ctx.Err() == nil {
		if !d.contends() {
			if err := sleep.For(ctx, notContendingPeriod); err != nil {
				return err
			}
			continue
		}
		held, err := d.Lessor.Acquire(ctx, LeaseName)
		if err == nil {
			backoff.Reset()
			if d.hold(ctx, held) {
				_ = sleep.For(ctx, yieldFor)
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

// hold does the duty until the lease is lost, ctx ends or the host no longer
// contends. It returns true when it gave the lease up to another domain.
func (d *Duty) hold(ctx context.Context, held *lease.Lease) (yielded bool) {
	d.logger().Info(msgAcquired, zap.Uint64("fence", held.Fence()))
	d.holds.Store(true)
	holding.Set(1)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.renew(ctx, held) })
	group.Go(func() error { return d.place(ctx, held) })
	err := group.Wait()
	d.holds.Store(false)
	holding.Set(0)
	d.Placement.Forget()
	d.release(held)
	d.logger().Info(msgEnded, zap.Uint64("fence", held.Fence()), zap.Error(err))
	return errors.Is(err, errYield)
}

// release lets the next holder begin at once. All orders of this one have
// ended or their outcome is not known; in the latter case the lease is left
// to lapse, so that the next holder waits them out.
func (d *Duty) release(held *lease.Lease) {
	if d.Giver.Unsettled() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	_ = d.Lessor.Release(ctx, held)
}

// renew extends the lease until it is lost or ctx ends. It never returns nil.
func (d *Duty) renew(ctx context.Context, held *lease.Lease) error {
	every := d.RenewEvery
	if every <= 0 {
		every = defaultTick
	}
	for {
		if err := sleep.For(ctx, every); err != nil {
			return err
		}
		renewCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := d.Lessor.Renew(renewCtx, held, nil)
		cancel()
		if errors.Is(err, lease.ErrLost) {
			return err
		}
	}
}

// place plans and gives orders until ctx ends or the host no longer contends.
// It never returns nil.
func (d *Duty) place(ctx context.Context, held *lease.Lease) error {
	if err := sleep.For(ctx, held.Quiet()); err != nil {
		return err
	}
	if err := d.refresh(ctx); err != nil {
		return err
	}
	tick := d.Tick
	if tick <= 0 {
		tick = defaultTick
	}
	for d.contends() {
		if held.Remaining() > minRemaining && d.round(ctx, held) == 0 && d.Placement.DueElsewhere() {
			// Failure: a document allows orders to a server from one failure
			// domain only, and the holder is in another: the server would
			// never get its model. Whoever may give the order gets the lease.
			return errYield
		}
		if err := sleep.For(ctx, tick); err != nil {
			return err
		}
	}
	return errNotContending
}

func (d *Duty) refresh(ctx context.Context) error {
	if d.Refresh == nil {
		return nil
	}
	var backoff store.Backoff
	for d.Refresh(ctx) != nil {
		if err := backoff.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// round gives the orders of one plan and returns how many there were.
func (d *Duty) round(ctx context.Context, held *lease.Lease) int {
	var group errgroup.Group
	group.SetLimit(parallelOrders)
	orders := d.Placement.Plan(ctx)
	for _, order := range orders {
		group.Go(func() error {
			d.give(ctx, held, order)
			return nil
		})
	}
	_ = group.Wait()
	return len(orders)
}

func (d *Duty) give(ctx context.Context, held *lease.Lease, order Order) {
	state, err := d.Giver.Give(ctx, held, order)
	fields := []zap.Field{zap.String("server", order.Server.Address), zap.Stringer("order", order), zap.Uint64("fence", held.Fence())}
	var wait *WaitError
	switch {
	case err == nil:
		d.Placement.Saw(order.Server.Address, state)
		d.logger().Info(msgOrder, fields...)
	case !errors.As(err, &wait):
		d.logger().Warn(msgNoOrder, append(fields, zap.Error(err))...)
	}
}

func (d *Duty) contends() bool { return d.Contend == nil || d.Contend() }

func (d *Duty) logger() *zap.Logger {
	if d.Logger == nil {
		return zap.NewNop()
	}
	return d.Logger
}
