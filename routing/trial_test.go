//go:build trial

package routing

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

// A trial runs the real dispatchers of several hosts in virtual time against a
// model of engines. It is for quick comparisons during development; published
// figures come from package bench.

var (
	trialPolicies = flag.String("trial.policies", "", "run trials of these policies, comma separated")
	trialLoads    = flag.String("trial.loads", "0.8,0.95", "offered loads")
	trialSeeds    = flag.Int("trial.seeds", 1, "seeds")
	trialSeconds  = flag.Int("trial.seconds", 60, "measured seconds")
	trialLag      = flag.Duration("trial.lag", 200*time.Millisecond, "age of load reports")
	trialLoss     = flag.Float64("trial.loss", 0, "share of reports lost")
	trialHosts    = flag.Int("trial.hosts", 7, "entry hosts")
	trialSlow     = flag.Int("trial.slow", 1, "factor on the step time per running generation, for two of the engines")
	trialEngines  = flag.Int("trial.engines", 12, "engines")
)

const (
	trialCapacity    = 6000                   // memory of one engine, tokens
	trialBatch       = 48                     // maximum running generations of one engine
	trialBase        = 20 * time.Millisecond  // time of one step, plus the two below
	trialPerRunning  = 400 * time.Microsecond // per running generation
	trialPerPrefill  = 20 * time.Microsecond  // per token prefilled in the step
	trialMedian      = 100                    // median output length (log-normal), tokens
	trialSigma       = 1.0                    // sigma of its logarithm
	trialMaxTokens   = 1500                   // maximum output length, tokens
	trialPromptMed   = 120                    // median prompt length (log-normal), tokens
	trialPromptSigma = 0.7                    // sigma of its logarithm
	trialStall       = 250 * time.Millisecond // a gap counts as a stall for its part above this
	trialWarm        = 12 * time.Second       // warm-up that is not measured
	// trialPeak is the throughput of one engine, in tokens per second, that is
	// defined as load 1.
	trialPeak = 600
)

type trialGeneration struct {
	grant     Grant
	prompt    int
	length    int
	produced  int
	preempted int
	arrival   int
	last      time.Time
	onToken   func(now time.Time, gap time.Duration)
	done      chan bool
}

func (g *trialGeneration) held() int { return g.prompt + g.produced }

type trialEngine struct {
	mu       sync.Mutex
	waiting  []*trialGeneration
	running  []*trialGeneration
	arrivals int
	prefill  int
	preempts int
	dead     bool
	slow     int // factor on the step time per running generation
	wake     chan struct{}
	reports  []trialReport
	sequence uint64
}

type trialReport struct {
	at     time.Time
	report backend.LoadReport
}

func (e *trialEngine) held() int {
	held := 0
	for _, g := range e.running {
		held += g.held()
	}
	return held
}

func (e *trialEngine) record() {
	e.sequence++
	e.reports = append(e.reports, trialReport{time.Now(), backend.LoadReport{
		Sequence: e.sequence, Running: len(e.running), Waiting: len(e.waiting), TokensHeld: e.held(), TokenCapacity: trialCapacity, Preemptions: uint64(e.preempts)}})
	if len(e.reports) > 2000 {
		e.reports = append([]trialReport(nil), e.reports[1000:]...)
	}
}

func (e *trialEngine) report(lag time.Duration) (backend.LoadReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return backend.LoadReport{}, false
	}
	at := time.Now().Add(-lag)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].at.After(at) {
			return e.reports[i].report, true
		}
	}
	return backend.LoadReport{TokenCapacity: trialCapacity}, true
}

func (e *trialEngine) queue(g *trialGeneration) {
	at := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].arrival > g.arrival })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = g
}

func (e *trialEngine) submit(g *trialGeneration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return false
	}
	e.arrivals++
	g.arrival = e.arrivals
	e.queue(g)
	e.record()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

func (e *trialEngine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < trialBatch {
		g := e.waiting[0]
		if len(e.running) > 0 && e.held()+g.held()+len(e.running)+1 > trialCapacity {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, g)
		e.prefill += g.held()
	}
	if len(e.running) == 0 {
		return 0, false
	}
	step := trialBase + time.Duration(len(e.running)*e.slow)*trialPerRunning + time.Duration(e.prefill)*trialPerPrefill
	e.prefill = 0
	return step, true
}

func (e *trialEngine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) > 1 && e.held()+len(e.running) > trialCapacity {
		victim := 0
		for i, g := range e.running {
			if g.arrival > e.running[victim].arrival {
				victim = i
			}
		}
		g := e.running[victim]
		e.running = append(e.running[:victim], e.running[victim+1:]...)
		g.preempted++
		e.preempts++
		e.queue(g)
	}
	now := time.Now()
	keep := e.running[:0]
	for _, g := range e.running {
		g.produced++
		gap := time.Duration(0)
		if !g.last.IsZero() {
			gap = now.Sub(g.last)
		}
		g.last = now
		g.onToken(now, gap)
		if g.produced >= g.length {
			g.done <- true
		} else {
			keep = append(keep, g)
		}
	}
	e.running = keep
	e.record()
}

func (e *trialEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		step, ok := e.plan()
		if !ok {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(step)
		e.step()
	}
}

func (e *trialEngine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	for _, g := range append(e.running, e.waiting...) {
		g.done <- false
	}
	e.running, e.waiting = nil, nil
}

type trialResult struct {
	preemptions, done, refused, lost int
	stall                            time.Duration
	goodput                          float64 // tokens/s
	gaps, first                      *hdrhistogram.Histogram
	refusals                         map[contract.Reason]int
	asked, served                    map[string]int // number of requests, by organisation
	refuseTime                       *hdrhistogram.Histogram
	perSecond                        []float64
}

type trialRequest struct {
	at             time.Duration
	org            string
	prompt, length int
	host           int
	prefix         uint64
}

// trialShares are the organisations' shares of the requests, with a few large
// organisations.
var trialShares = []float64{0.35, 0.2, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02}

func trialArrivals(seed uint64, load func(time.Duration) float64, total time.Duration, hosts, engines int) []trialRequest {
	random := rand.New(rand.NewPCG(seed, 7))
	meanLength := 0.0
	for range 20000 {
		meanLength += float64(min(trialMaxTokens, int(trialMedian*math.Exp(trialSigma*random.NormFloat64()))+1)) / 20000
	}
	var all []trialRequest
	at := time.Duration(0)
	for at < total {
		rate := load(at) * trialPeak * float64(engines) / meanLength
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		u, org := random.Float64(), 0
		for u > trialShares[org] && org < len(trialShares)-1 {
			u -= trialShares[org]
			org++
		}
		all = append(all, trialRequest{at: at, org: fmt.Sprintf("org%d", org),
			prompt: min(2000, int(trialPromptMed*math.Exp(trialPromptSigma*random.NormFloat64()))+8),
			length: min(trialMaxTokens, int(trialMedian*math.Exp(trialSigma*random.NormFloat64()))+1),
			host:   random.IntN(hosts), prefix: random.Uint64()})
	}
	return all
}

type trialOptions struct {
	policy         string
	seed           uint64
	load           func(time.Duration) float64
	killAt         time.Duration
	build          func() policy
	hosts, engines int
	lag            time.Duration
	loss           float64
	seconds        int
	weights        map[string]int
}

func runTrial(t *testing.T, o trialOptions) *trialResult {
	result := &trialResult{gaps: hdrhistogram.New(1, 600e6, 3), first: hdrhistogram.New(1, 600e6, 3), refuseTime: hdrhistogram.New(1, 600e6, 3),
		refusals: map[contract.Reason]int{}, asked: map[string]int{}, served: map[string]int{}}
	end := trialWarm + time.Duration(o.seconds)*time.Second
	result.perSecond = make([]float64, int(end/time.Second)+1)
	arrivals := trialArrivals(o.seed, o.load, end, o.hosts, o.engines)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		document := testDocument(o.engines)
		document.Model.MaxTokens = trialMaxTokens
		document.Deadlines.Queue = 5 * time.Second
		document.Placement = contract.Placement{Risk: 0.02, TargetGap: 60 * time.Millisecond}
		for name, weight := range o.weights {
			document.Organisations = append(document.Organisations, contract.Limit{Organisation: name, Weight: weight})
		}
		engines := map[string]*trialEngine{}
		var group sync.WaitGroup
		for i, server := range document.BackendServers {
			e := &trialEngine{wake: make(chan struct{}, 1), slow: 1}
			if i < 2 {
				e.slow = *trialSlow
			}
			engines[server.Address] = e
			group.Go(func() { e.run(ctx) })
		}
		lossRandom := rand.New(rand.NewPCG(o.seed, 3))
		var mu sync.Mutex
		var dispatchers []*Dispatcher
		var pools []*backend.Pool
		for h := range o.hosts {
			pool := backend.NewPool(backend.PoolOptions{})
			pool.Update([]*contract.Document{document})
			source := func(_ context.Context, address string) (backend.LoadReport, error) {
				mu.Lock()
				lost := lossRandom.Float64() < o.loss
				mu.Unlock()
				report, ok := engines[address].report(o.lag)
				if lost || !ok {
					return report, context.DeadlineExceeded
				}
				return report, nil
			}
			poller := backend.NewPoller(pool, source, backend.PollerOptions{Host: fmt.Sprint(h), PerSecond: func() float64 { return backend.PollsPerSecond(o.hosts) }, Seed: o.seed + uint64(h)})
			group.Go(func() { poller.Run(ctx) })
			d, err := New(Options{Pool: pool, Policy: o.policy, Host: fmt.Sprint(h), Seed: o.seed + uint64(h), Share: func() float64 { return 1 / float64(o.hosts) }})
			if err != nil {
				t.Fatal(err)
			}
			if o.build != nil {
				d.build = o.build
			}
			dispatchers = append(dispatchers, d)
			pools = append(pools, pool)
		}
		start := time.Now()
		measured := func(at time.Duration) bool { return at >= trialWarm }
		if o.killAt > 0 {
			group.Go(func() { time.Sleep(o.killAt); engines[document.BackendServers[0].Address].kill() })
		}
		var requests sync.WaitGroup
		for _, r := range arrivals {
			time.Sleep(time.Until(start.Add(r.at)))
			if measured(r.at) {
				mu.Lock()
				result.asked[r.org]++
				mu.Unlock()
			}
			requests.Go(func() {
				g := &trialGeneration{prompt: r.prompt, length: r.length, done: make(chan bool, 1)}
				for {
					grant, err := dispatchers[r.host].Acquire(ctx, Request{Service: testService, Organisation: r.org, PromptTokens: r.prompt, PrefixHash: r.prefix})
					if err != nil {
						mu.Lock()
						if measured(r.at) {
							result.refused++
							result.refusals[refusalOf(t, err).Reason]++
							_ = result.refuseTime.RecordValue(max(1, time.Since(start.Add(r.at)).Microseconds()))
						}
						mu.Unlock()
						return
					}
					g.grant = grant
					g.onToken = func(now time.Time, gap time.Duration) {
						grant.Progress(g.produced, gap)
						at := now.Sub(start)
						mu.Lock()
						defer mu.Unlock()
						if !measured(at) || at > end {
							return
						}
						if gap == 0 {
							_ = result.first.RecordValue(max(1, (at - r.at).Microseconds()))
						} else {
							_ = result.gaps.RecordValue(gap.Microseconds())
							if gap > trialStall {
								result.stall += gap - trialStall
							}
						}
					}
					if engines[grant.Address()].submit(g) {
						break
					}
					pools[r.host].RecordFailure(grant.Address(), backend.FailureRefusedConnection)
					grant.Done(Result{Failed: true, NotRun: true})
				}
				mu.Lock()
				if measured(r.at) {
					result.served[r.org]++
				}
				mu.Unlock()
				whole := <-g.done
				g.grant.Done(Result{Tokens: g.produced, Complete: whole, Failed: !whole, Preempted: g.preempted})
				at := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				if at > end {
					return
				}
				if whole {
					result.perSecond[int(at/time.Second)] += float64(g.length)
				}
				if !measured(at) {
					return
				}
				result.preemptions += g.preempted
				if !whole {
					result.lost++
					return
				}
				result.done++
				result.goodput += float64(g.length) / float64(o.seconds)
			})
		}
		requests.Wait()
		cancel()
		for _, d := range dispatchers {
			d.Close()
		}
		group.Wait()
	})
	return result
}

// placed returns the fraction of an organisation's requests that were placed.
func (r *trialResult) placed(organisation int) float64 {
	name := fmt.Sprintf("org%d", organisation)
	return float64(r.served[name]) / float64(r.asked[name])
}

func (r *trialResult) String() string {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("pre %5d stall %7.1fs good %6.0f done %5d ref %5d gap50 %3.0f p95 %3.0f p99 %4.0f max %6.0f first50 %4.0f p95 %5.0f p99 %5.0f refused in p95 %4.0f placed of largest %.2f smallest %.2f %v",
		r.preemptions, r.stall.Seconds(), r.goodput, r.done, r.refused, ms(r.gaps, 50), ms(r.gaps, 95), ms(r.gaps, 99), float64(r.gaps.Max())/1000,
		ms(r.first, 50), ms(r.first, 95), ms(r.first, 99), ms(r.refuseTime, 95), r.placed(0), r.placed(len(trialShares)-1), r.refusals)
}

// variants are changes to the default tuning that trials compare, by name.
var variants = map[string]func(*tuning){
	"base":     func(t *tuning) {},
	"noended":  func(t *tuning) { t.ended = false },
	"herd.5":   func(t *tuning) { t.unreportedWeight = 0.5 },
	"herd.7":   func(t *tuning) { t.unreportedWeight = 0.7 },
	"noherd":   func(t *tuning) { t.unreportedWeight = 0 },
	"herd2":    func(t *tuning) { t.unreportedWeight = 2 },
	"herd4":    func(t *tuning) { t.unreportedWeight = 4 },
	"nolimit":  func(t *tuning) { t.limit = false },
	"instant":  func(t *tuning) { t.currentOnly = true },
	"lent1":    func(t *tuning) { t.fairShare = 1 },
	"lent.5":   func(t *tuning) { t.fairShare = .5 },
	"lent.25":  func(t *tuning) { t.fairShare = .25 },
	"two":      func(t *tuning) { t.sampleSize = 2 },
	"four":     func(t *tuning) { t.sampleSize = 4 },
	"nomargin": func(t *tuning) { t.margin = false },
	"noprefix": func(t *tuning) { t.prefix = 0 },
}

// variant returns a policy constructor for variants joined with +, or nil if one
// is unknown.
func variant(names string) func() policy {
	tuned := defaultTuning
	for _, name := range strings.Split(names, "+") {
		change := variants[name]
		if change == nil {
			return nil
		}
		change(&tuned)
	}
	return func() policy { return &forecastPolicy{tuning: tuned} }
}

// TestTrial runs policies in virtual time against a model of engines and prints
// the results. It asserts nothing, so it is built only with the tag trial.
func TestTrial(t *testing.T) {
	if *trialPolicies == "" {
		t.Fatal("name policies with -trial.policies")
	}
	for _, load := range strings.Split(*trialLoads, ",") {
		var x float64
		fmt.Sscan(load, &x)
		for seed := range *trialSeeds {
			for _, name := range strings.Split(*trialPolicies, ",") {
				o := trialOptions{policy: name, seed: uint64(seed + 1), load: func(time.Duration) float64 { return x },
					hosts: *trialHosts, engines: *trialEngines, lag: *trialLag, loss: *trialLoss, seconds: *trialSeconds}
				if build := variant(name); build != nil {
					o.policy, o.build = PolicyForecast, build
				}
				began := time.Now()
				r := runTrial(t, o)
				fmt.Printf("load %.2f seed %d %-16s %v (%.1fs)\n", x, seed+1, name, r, time.Since(began).Seconds())
			}
		}
	}
}
