package order

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/lease"
	"github.com/papayasail/papayasail/store"
)

// Options puts a Duty together; those without a default are required.
type Options struct {
	Host          string
	FailureDomain string
	Store         store.Store
	// Engine's calls may take as long as Longest; give a backend.Client a
	// ControlTimeout of that.
	Engine    Engine
	Documents Documents
	// Leaving reports servers that take no new work; nil: only drained ones.
	Leaving func(address string) bool
	// Contend and Refresh as in Duty.
	Contend func() bool
	Refresh func(ctx context.Context) error
	// LoadsPerMinute is what the weight store allows the whole fleet, 0: no
	// limit, with LoadsAtOnce at once; default 1.
	LoadsPerMinute float64
	LoadsAtOnce    int
	// Term of the lease; default 20 s.
	Term time.Duration
	// Longest an engine may take to carry out an order; default 30 s.
	Longest time.Duration
	Tick    time.Duration // between plans; default 5 s
	Logger  *zap.Logger   // nil: no log
}

// New returns a Duty; its Run does it.
func New(o Options) *Duty {
	if o.Longest <= 0 {
		o.Longest = defaultLongest
	}
	lessor := lease.NewStoreLessor(o.Store, o.Host, lease.Options{Term: o.Term, Longest: o.Longest})
	return &Duty{
		Lessor: lessor,
		Giver: &Giver{
			Host: o.Host, FailureDomain: o.FailureDomain, Store: o.Store, Lessor: lessor, Engine: o.Engine,
			Weights: NewWeights(o.LoadsPerMinute, o.LoadsAtOnce), Longest: o.Longest,
		},
		Placement:  &Placement{Documents: o.Documents, Engine: o.Engine, Leaving: o.Leaving, FailureDomain: o.FailureDomain},
		RenewEvery: lessor.RenewEvery(),
		Tick:       o.Tick,
		Contend:    o.Contend,
		Refresh:    o.Refresh,
		Logger:     o.Logger,
	}
}
