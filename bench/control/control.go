// Package control measures the cost of the control plane of entry hosts:
// membership, dissemination of configuration, and calls to the platform. It runs
// their production code for fleets of several sizes in one process, over
// loopback TCP, against a simulated platform, and extrapolates the results to
// the target size by linear regression.
package control

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer"
)

// Limits of the control plane at the target size, for one entry host unless
// stated otherwise.
const (
	TargetHosts     = 390
	LimitBytes      = 2 << 10  // bytes/s
	LimitCorePct    = 4.6      // percent of a core
	LimitHeapBytes  = 64 << 20 // bytes
	LimitCallsFleet = 2000     // platform reads/s, the whole fleet
)

// Options configures a run; zero values select the defaults.
type Options struct {
	Hosts   []int         // fleet sizes
	Workers []int         // numbers of backend servers listed in the documents
	Settle  time.Duration // maximum wait for the gossip about joining hosts to end
	Steady  time.Duration // duration of the steady-state measurement
	Changes int           // number of accepted changes timed with the store available, and again with it unavailable
	Quick   bool          // a run of at most 60 s in total
	// Disruptions are the fleet sizes at which a failure domain and a region
	// are partitioned off; by default none in quick runs or if Hosts is set.
	Disruptions []int
	// Organisations is the number of organisations in each document; default
	// 20. 30,000 organisations in 13 documents are about 2,300 per document.
	Organisations int
	Progress      io.Writer // destination of progress messages; none if nil
}

// Default sizes.
var (
	defaultHosts       = []int{7, 25, 50, 100, 200}
	defaultWorkers     = []int{12, 100, 600}
	defaultDisruptions = []int{50, 100}
	quickHosts         = []int{7, 15, 30}
	quickWorkers       = []int{12, 600}
)

const (
	defaultSteady  = 20 * time.Second
	defaultChanges = 20
	defaultSettle  = time.Minute
	settleCheck    = time.Second

	defaultOrganisations = 20
	quickSettle          = 6 * time.Second
	quickSteady          = 5 * time.Second
	quickChanges         = 5
)

func (o Options) withDefaults() Options {
	hosts, workers, settle, steady, changes := defaultHosts, defaultWorkers, defaultSettle, defaultSteady, defaultChanges
	if o.Quick {
		hosts, workers, settle, steady, changes = quickHosts, quickWorkers, quickSettle, quickSteady, quickChanges
	}
	if len(o.Disruptions) == 0 && len(o.Hosts) == 0 && !o.Quick {
		o.Disruptions = defaultDisruptions
	}
	if len(o.Hosts) == 0 {
		o.Hosts = hosts
	}
	if len(o.Workers) == 0 {
		o.Workers = workers
	}
	if o.Steady <= 0 {
		o.Steady = steady
	}
	if o.Changes <= 0 {
		o.Changes = changes
	}
	if o.Settle <= 0 {
		o.Settle = settle
	}
	if o.Organisations <= 0 {
		o.Organisations = defaultOrganisations
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

// Report is the result of Run.
type Report struct {
	GoVersion         string          `json:"go_version"`
	Cores             int             `json:"cores"`
	Quick             bool            `json:"quick"`
	Sizes             []Size          `json:"sizes"`
	AtTarget          []Extrapolation `json:"at_target"`
	DisruptionResults []Disruption    `json:"disruptions,omitempty"`
}

// Size contains the measurements of one fleet. Figures are per host unless
// stated otherwise.
type Size struct {
	Hosts                  int     `json:"hosts"`
	Workers                int     `json:"workers"`
	SteadySeconds          float64 `json:"steady_seconds"`
	BytesPerSecond         float64 `json:"bytes_per_second"` // between hosts, in and out, without TCP/IP headers
	PlatformBytesPerSecond float64 `json:"platform_bytes_per_second"`
	CorePercent            float64 `json:"core_percent"` // includes this host's share of the simulated platform
	HeapBytes              float64 `json:"heap_bytes"`   // live heap after a garbage collection
	StackBytes             float64 `json:"stack_bytes"`
	Goroutines             float64 `json:"goroutines"`
	Connections            float64 `json:"connections"`            // open connections, both directions
	CallsPerSecond         float64 `json:"platform_calls_fleet"`   // of the whole fleet; a watch counts as one call
	JoinSeconds            float64 `json:"join_seconds"`           // until every host had all members and the whole configuration
	DocumentBytes          int     `json:"document_bytes"`         // size of one document
	ChangeBytes            float64 `json:"change_bytes"`           // between hosts, in and out, per change, above the steady rate
	Healthy                InForce `json:"in_force_store_healthy"` // from acceptance until in force on all hosts
	StoreGone              InForce `json:"in_force_store_gone"`
}

// InForce contains quantiles of the time from the acceptance of a change until
// it is in force, over all hosts and changes, in seconds.
type InForce struct {
	Changes int     `json:"changes"`
	Missing int     `json:"missing"` // pairs of host and change not in force before the timeout
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
}

// Run measures each combination of sizes and extrapolates to the target size.
func Run(ctx context.Context, options Options) (*Report, error) {
	o := options.withDefaults()
	report := &Report{GoVersion: runtime.Version(), Cores: runtime.NumCPU(), Quick: o.Quick}
	for _, size := range o.combinations() {
		fmt.Fprintf(o.Progress, "%d hosts, %d workers ...\n", size.Hosts, size.Workers)
		if err := measure(ctx, o, &size); err != nil {
			return nil, errors.Wrapf(err, "%d hosts, %d workers", size.Hosts, size.Workers)
		}
		fmt.Fprintf(o.Progress, "  %.0f bytes/s, %.3f%% of a core, in force p99 %.3f s, store gone %.3f s\n",
			size.BytesPerSecond, size.CorePercent, size.Healthy.P99, size.StoreGone.P99)
		report.Sizes = append(report.Sizes, size)
	}
	report.AtTarget = extrapolate(report.Sizes)
	for _, hosts := range o.Disruptions {
		fmt.Fprintf(o.Progress, "%d hosts, partitioned ...\n", hosts)
		disruptions, err := measureDisruptions(ctx, o, hosts, o.Workers[len(o.Workers)-1])
		if err != nil {
			return nil, errors.Wrapf(err, "%d hosts, partitioned", hosts)
		}
		report.DisruptionResults = append(report.DisruptionResults, disruptions...)
	}
	return report, nil
}

// combinations returns all fleet sizes with the last number of workers, and the
// other numbers of workers with the first fleet size.
func (o Options) combinations() []Size {
	var sizes []Size
	last := o.Workers[len(o.Workers)-1]
	for _, workers := range o.Workers[:len(o.Workers)-1] {
		sizes = append(sizes, Size{Hosts: o.Hosts[0], Workers: workers})
	}
	for _, hosts := range o.Hosts {
		sizes = append(sizes, Size{Hosts: hosts, Workers: last})
	}
	return sizes
}

func measure(ctx context.Context, o Options, size *Size) error {
	before := takeFootprint()
	f, err := startFleet(ctx, size.Hosts, size.Workers, o.Organisations)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.waitJoined(ctx, size); err != nil {
		return err
	}
	if err := f.measureSteady(ctx, o, size, before); err != nil {
		return err
	}
	start, startBytes := time.Now(), f.bytes()
	if size.Healthy, err = f.measureChanges(ctx, o.Changes, false); err != nil {
		return err
	}
	steady := size.BytesPerSecond * time.Since(start).Seconds()
	size.ChangeBytes = ((f.bytes()-startBytes)/float64(size.Hosts) - steady) / float64(o.Changes)
	size.DocumentBytes = len(f.document(0, 0))
	size.StoreGone, err = f.measureChanges(ctx, o.Changes, true)
	return err
}

// measureSteady measures traffic, processor time and memory over a period
// without changes.
func (f *fleet) measureSteady(ctx context.Context, o Options, size *Size, before footprint) error {
	if err := f.waitSettled(ctx, o.Settle); err != nil {
		return err
	}
	start, startBytes, startCalls := takeUsage(), f.bytes(), f.memory.Calls()
	startPlatform := f.platformBytes.Load()
	if err := sleep.For(ctx, o.Steady); err != nil {
		return err
	}
	end, endBytes, endCalls := takeUsage(), f.bytes(), f.memory.Calls()
	seconds, hosts := end.at.Sub(start.at).Seconds(), float64(size.Hosts)
	size.SteadySeconds = seconds
	size.BytesPerSecond = (endBytes - startBytes) / seconds / hosts
	size.PlatformBytesPerSecond = float64(f.platformBytes.Load()-startPlatform) / seconds / hosts
	size.CorePercent = 100 * (end.cpu - start.cpu).Seconds() / seconds / hosts
	size.CallsPerSecond = float64(endCalls-startCalls) / seconds
	size.Connections = f.connections() / hosts
	after := takeFootprint()
	size.HeapBytes = (after.heap - before.heap) / hosts
	size.StackBytes = (after.stack - before.stack) / hosts
	size.Goroutines = float64(after.goroutines-before.goroutines) / hosts
	return nil
}

// waitSettled waits until no gossip updates are pending after the join, for at
// most longest, and then for one settleCheck.
func (f *fleet) waitSettled(ctx context.Context, longest time.Duration) error {
	deadline := time.Now().Add(longest)
	for time.Now().Before(deadline) && f.metric("papayasail_peer_news_pending") > 0 {
		if err := sleep.For(ctx, settleCheck); err != nil {
			return err
		}
	}
	return sleep.For(ctx, settleCheck)
}

func (f *fleet) waitJoined(ctx context.Context, size *Size) error {
	start := time.Now()
	for !f.complete() {
		if time.Since(start) > joinTimeout {
			return errors.Newf("membership and configuration not complete on all hosts within %s", joinTimeout)
		}
		if err := sleep.For(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	size.JoinSeconds = time.Since(start).Seconds()
	return nil
}

// complete reports whether every host considers all hosts alive and has the
// whole configuration.
func (f *fleet) complete() bool {
	for _, h := range f.hosts {
		alive := 0
		for _, m := range h.node.Members() {
			if m.State == peer.StateAlive {
				alive++
			}
		}
		if alive != len(f.hosts) || h.table.Digest() != f.hosts[0].table.Digest() || h.table.Version() == 0 {
			return false
		}
	}
	return true
}
