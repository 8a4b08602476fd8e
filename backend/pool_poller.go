package backend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayasail/papayasail/internal/sleep"
)

// LoadSource requests the load report of the backend server at address.
type LoadSource func(ctx context.Context, address string) (LoadReport, error)

// DefaultMaxPolledServers is the maximum number of servers per service that a host
// polls. Current fleets have fewer servers per service; it has an effect in
// services with more, such as 600 workers.
const DefaultMaxPolledServers = 32

const (
	pollBytes          = 512      // of one poll: request and response
	pollBudget         = 1 << 10  // bytes/s in a larger fleet: half the control budget at the target size
	smallFleet         = 16       // entry hosts up to which smallFleetBudget applies
	smallFleetBudget   = 32 << 10 // bytes/s
	defaultPollEvery   = 250 * time.Millisecond
	defaultPollTimeout = time.Second
	defaultPollWorkers = 8
	emptyPoolPause     = 500 * time.Millisecond
)

// PollsPerSecond returns the load polls per second that each of entryHosts may
// send, so that control traffic stays within its byte budget.
func PollsPerSecond(entryHosts int) float64 {
	if entryHosts <= smallFleet {
		return float64(smallFleetBudget) / pollBytes
	}
	return float64(pollBudget) / pollBytes
}

// PollerOptions configures a Poller. Zero fields take the defaults.
type PollerOptions struct {
	Host string // name of this entry host; selects its subset
	// PerSecond returns the maximum number of polls per second over all
	// servers, normally PollsPerSecond of the number of live entry hosts. It is
	// called once per round. Default: the rate for one host.
	PerSecond func() float64
	// Every is the minimum duration of a round before jitter; each round polls
	// every server once. PerSecond may make rounds longer. Default 250 ms.
	Every   time.Duration
	Timeout time.Duration // of one poll. Default 1 s.
	Workers int           // concurrent polls. Default 8.
	// MaxPolledServers is the maximum number of servers polled per service. Default
	// DefaultMaxPolledServers.
	MaxPolledServers int
	Seed             uint64 // of the jitter and the order in a round
}

func (o PollerOptions) withDefaults() PollerOptions {
	if o.PerSecond == nil {
		o.PerSecond = func() float64 { return PollsPerSecond(1) }
	}
	if o.Every <= 0 {
		o.Every = defaultPollEvery
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultPollTimeout
	}
	if o.Workers <= 0 {
		o.Workers = defaultPollWorkers
	}
	if o.MaxPolledServers <= 0 {
		o.MaxPolledServers = DefaultMaxPolledServers
	}
	return o
}

// Poller keeps the load reports in a pool up to date.
type Poller struct {
	pool    *Pool
	source  LoadSource
	options PollerOptions
	random  *rand.Rand // used by Run's goroutine only
}

// NewPoller returns a poller; Run starts it.
func NewPoller(pool *Pool, source LoadSource, options PollerOptions) *Poller {
	options = options.withDefaults()
	return &Poller{pool: pool, source: source, options: options,
		random: rand.New(rand.NewPCG(options.Seed, uint64(len(options.Host))))}
}

// Run polls the servers in rounds, each in random order, until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	addresses := make(chan string)
	var workers sync.WaitGroup
	for range p.options.Workers {
		workers.Go(func() {
			for address := range addresses {
				p.poll(ctx, address)
			}
		})
	}
	defer workers.Wait()
	defer close(addresses)
	for ctx.Err() == nil {
		p.pollRound(ctx, addresses)
	}
}

// pollRound polls each server of the subset once, spread over the duration of
// the round.
func (p *Poller) pollRound(ctx context.Context, addresses chan<- string) {
	targets := p.targets()
	if len(targets) == 0 {
		_ = sleep.For(ctx, emptyPoolPause)
		return
	}
	p.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	length := max(p.options.Every, time.Duration(float64(len(targets))/p.options.PerSecond()*float64(time.Second)))
	step := length / time.Duration(len(targets))
	for _, address := range targets {
		select {
		case addresses <- address:
		case <-ctx.Done():
			return
		}
		_ = sleep.For(ctx, p.jitter(step))
	}
}

// targets returns the addresses that this host polls, without duplicates.
func (p *Poller) targets() []string {
	seen := map[string]bool{}
	var addresses []string
	for _, service := range p.pool.Services() {
		snapshot := p.pool.Snapshot(service)
		if snapshot == nil {
			continue
		}
		for _, i := range Subset(p.options.Host, snapshot.Servers, p.options.MaxPolledServers) {
			address := snapshot.Servers[i].Address
			if !seen[address] {
				seen[address] = true
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// jitter returns a random duration between 0.5 and 1.5 times step, so that
// hosts that started at the same time do not poll in step.
func (p *Poller) jitter(step time.Duration) time.Duration {
	return step/2 + time.Duration(p.random.Int64N(int64(step)+1))
}

func (p *Poller) poll(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	report, err := p.source(ctx, address)
	if err != nil {
		return // routing detects the stale load; failures are detected on the links
	}
	p.pool.Report(address, report, time.Now())
}
