package routing

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

var (
	grantsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayasail_routing_grants_total",
		Help: "Requests placed on a backend server, by whether they waited in the queue.",
	}, []string{"how"})
	refusalsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayasail_routing_refusals_total",
		Help: "Requests refused by the scheduler, by reason.",
	}, []string{"reason"})
	preemptionsTotal = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "papayasail_routing_preemptions_total",
		Help: "Preemptions of generations that this host placed, as reported in their streams.",
	})
	waitSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "papayasail_routing_wait_seconds",
		Help:    "Queueing time of the requests that were placed after waiting.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	})
)

// Collectors returns the metrics of this package.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{grantsTotal, refusalsTotal, preemptionsTotal, waitSeconds}
}

const (
	defaultQueueWait   = 10 * time.Second
	queueCheckInterval = 20 * time.Millisecond // for changes that raise no event
	retryNoServer      = time.Second
	minRetryAfter      = 500 * time.Millisecond
	maxRetryAfter      = 30 * time.Second
)

// Options configures a Dispatcher. Pool and Policy are required.
type Options struct {
	Pool   *backend.Pool
	Policy string // a name from Policies() or Ablations()
	Host   string // name of this entry host; it selects the host's subset of servers
	Seed   uint64 // seed of the random choices
	// Share returns the share of each configured limit that this host may
	// use, 0 to 1: one over the number of live entry hosts. Default: 1.
	Share func() float64
	// MaxPolledServers is the size of this host's subset of a service's servers. The
	// host places outside the subset only if no server in it may take the
	// request. Default: backend.DefaultMaxPolledServers.
	MaxPolledServers int
}

// Dispatcher is the Scheduler of one entry host.
//
// Lock order: Dispatcher.mu, then service.mu, then the pool's lock.
type Dispatcher struct {
	options Options
	build   func() policy

	mu       sync.Mutex // guards services
	services map[string]*service

	wake chan struct{} // buffered signal to check the queues
	stop chan struct{}
	done sync.WaitGroup
	once sync.Once
}

var _ Scheduler = (*Dispatcher)(nil)

// New starts a dispatcher; Close stops it. It returns an error if the policy is
// unknown.
func New(options Options) (*Dispatcher, error) {
	build, err := policyNamed(options.Policy)
	if err != nil {
		return nil, err
	}
	if options.Share == nil {
		options.Share = func() float64 { return 1 }
	}
	if options.MaxPolledServers <= 0 {
		options.MaxPolledServers = backend.DefaultMaxPolledServers
	}
	d := &Dispatcher{
		options:  options,
		build:    build,
		services: map[string]*service{},
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
	}
	options.Pool.OnChange(d.wakeUp)
	d.done.Go(d.run)
	return d, nil
}

// Close stops the dispatcher and refuses all queued requests. Outstanding
// grants stay valid.
func (d *Dispatcher) Close() {
	d.once.Do(func() { close(d.stop) })
	d.done.Wait()
	for _, s := range d.allServices() {
		s.refuseAll()
	}
}

func (d *Dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run serves the queues after changes other than a finished request: load
// reports, server states, and changes that come with time alone, such as the
// end of a slow start.
func (d *Dispatcher) run() {
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-d.wake:
		case <-ticker.C:
		}
		for _, s := range d.allServices() {
			s.serveQueue()
		}
	}
}

func (d *Dispatcher) allServices() []*service {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		services = append(services, s)
	}
	return services
}

// service returns the scheduling state of a service, or nil if the service is
// not in force.
func (d *Dispatcher) service(name string) *service {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s != nil {
		return s
	}
	if d.options.Pool.Snapshot(name) == nil {
		return nil
	}
	s = newService(d, name)
	d.services[name] = s
	return s
}

// Acquire implements Scheduler.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (Grant, error) {
	s := d.service(request.Service)
	if s == nil {
		refusal := contract.NotRun(contract.ReasonUnknownService, 0, "no such service").WithStatus(http.StatusNotFound)
		return nil, countRefusal(refusal)
	}
	granted, waiting, refusal := s.admit(request)
	if refusal != nil {
		return nil, countRefusal(refusal)
	}
	if granted != nil {
		grantsTotal.WithLabelValues("at_once").Inc()
		return granted, nil
	}
	return s.wait(ctx, waiting)
}

func countRefusal(refusal *contract.Refusal) *contract.Refusal {
	refusalsTotal.WithLabelValues(string(refusal.Reason)).Inc()
	return refusal
}
