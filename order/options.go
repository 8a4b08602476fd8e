package order

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/lease"
	"github.com/papayasail/papayasail/store"
)

// Options configures a Controller. Fields without a stated default are required.
type Options struct {
	Host          string
	FailureDomain string
	Store         store.Store
	// Engine's calls may take up to MaxExecutionTime; a backend.Client needs that value
	// as its ControlTimeout.
	Engine    Engine
	Documents Documents
	// Leaving reports whether a server accepts no new work; nil: only drained
	// servers count as leaving.
	Leaving func(address string) bool
	// Contend and Refresh: see Controller.
	Contend func() bool
	Refresh func(ctx context.Context) error
	// LoadsPerMinute is the rate of model loads that the weight store allows
	// for the whole fleet (0: no limit), with bursts of LoadBurst; default 1.
	LoadsPerMinute float64
	LoadBurst      int
	// Term is the duration of the lease; default 20 s.
	Term time.Duration
	// MaxExecutionTime is the maximum time that an engine takes to execute an order;
	// default 30 s.
	MaxExecutionTime time.Duration
	Tick             time.Duration // interval between plans; default 5 s
	Logger           *zap.Logger   // nil: no log
}

// New returns a Controller; call its Run method to start it.
func New(o Options) *Controller {
	if o.MaxExecutionTime <= 0 {
		o.MaxExecutionTime = defaultMaxExecutionTime
	}
	lessor := lease.NewStoreLessor(o.Store, o.Host, lease.Options{Term: o.Term, MaxActionTime: o.MaxExecutionTime})
	return &Controller{
		Lessor: lessor,
		Dispatcher: &Dispatcher{
			Host: o.Host, FailureDomain: o.FailureDomain, Store: o.Store, Lessor: lessor, Engine: o.Engine,
			LoadLimiter: NewLoadLimiter(o.LoadsPerMinute, o.LoadBurst), MaxExecutionTime: o.MaxExecutionTime,
		},
		Placement:  &Placement{Documents: o.Documents, Engine: o.Engine, Leaving: o.Leaving, FailureDomain: o.FailureDomain},
		RenewEvery: lessor.RenewEvery(),
		Tick:       o.Tick,
		Contend:    o.Contend,
		Refresh:    o.Refresh,
		Logger:     o.Logger,
	}
}
