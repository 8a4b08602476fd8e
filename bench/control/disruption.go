package control

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer"
)

const (
	disruptionTimeout = 90 * time.Second
	disruptionWindow  = 5 * time.Second // length of the windows whose highest rate is reported
	disruptionCheck   = 250 * time.Millisecond
)

// Disruption contains the effects of a partition of the fleet into two sides.
// Rates are means over all hosts, in the window with the highest rate.
type Disruption struct {
	Scope            string  `json:"what"`
	Hosts            int     `json:"hosts"`
	Isolated         int     `json:"hosts_apart"`
	GoneSeconds      float64 `json:"gone_seconds"` // until each side considered the other gone; negative if not before the timeout
	PartitionBytes   float64 `json:"cut_bytes_per_second"`
	PartitionCorePct float64 `json:"cut_core_percent"`
	RejoinSeconds    float64 `json:"meet_seconds"` // from the healing until all hosts considered all alive; negative if not before the timeout
	RejoinBytes      float64 `json:"meet_bytes_per_second"`
	RejoinCorePct    float64 `json:"meet_core_percent"`
}

// measureDisruptions partitions off a failure domain and then a region.
func measureDisruptions(ctx context.Context, o Options, hosts, workers int) ([]Disruption, error) {
	f, err := startFleet(ctx, hosts, workers, o.Organisations)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.waitJoined(ctx, &Size{}); err != nil {
		return nil, err
	}
	if err := f.waitSettled(ctx, o.Settle); err != nil {
		return nil, err
	}
	var results []Disruption
	for _, cut := range []struct {
		scope   string
		domains []string
	}{{"failure domain", []string{domainOf(0, hosts)}}, {"region", nearDomains(0, hosts)}} {
		d, err := f.disrupt(ctx, cut.domains)
		if err != nil {
			return nil, errors.Wrap(err, cut.scope)
		}
		d.Scope = cut.scope
		fmt.Fprintf(o.Progress, "  %s: gone after %.1f s, rejoined after %.1f s\n", d.Scope, d.GoneSeconds, d.RejoinSeconds)
		results = append(results, d)
	}
	return results, nil
}

func (f *fleet) disrupt(ctx context.Context, domains []string) (Disruption, error) {
	isolated := make(map[string]bool)
	for _, name := range domains {
		isolated[name] = true
	}
	result := Disruption{Hosts: len(f.hosts)}
	for _, h := range f.hosts {
		if isolated[h.domain] {
			result.Isolated++
		}
	}
	var err error
	f.partition.set(domains)
	partitioned := func() bool {
		return f.allMembers(func(h *host, m peer.Member) bool {
			return (m.State == peer.StateAlive) == (isolated[h.domain] == isolated[m.FailureDomain]) && m.State != peer.StateSuspect
		})
	}
	result.GoneSeconds, result.PartitionBytes, result.PartitionCorePct, err = f.measureUntil(ctx, partitioned)
	if err != nil {
		return result, err
	}
	f.partition.set(nil)
	rejoined := func() bool {
		return f.allMembers(func(_ *host, m peer.Member) bool { return m.State == peer.StateAlive })
	}
	result.RejoinSeconds, result.RejoinBytes, result.RejoinCorePct, err = f.measureUntil(ctx, rejoined)
	return result, err
}

// allMembers reports whether a condition is true for all members on all hosts.
func (f *fleet) allMembers(condition func(*host, peer.Member) bool) bool {
	for _, h := range f.hosts {
		for _, m := range h.node.Members() {
			if !condition(h, m) {
				return false
			}
		}
	}
	return true
}

// measureUntil waits for a condition, for at most disruptionTimeout. It returns
// the time until the condition was true, in seconds, or -1, and the highest
// rates of any window: bytes/s and percent of a core, per host.
func (f *fleet) measureUntil(ctx context.Context, condition func() bool) (took, bytes, core float64, err error) {
	start := time.Now()
	windowStart, windowBytes := takeUsage(), f.bytes()
	took = -1
	for time.Since(start) < disruptionTimeout {
		if err := sleep.For(ctx, disruptionCheck); err != nil {
			return 0, 0, 0, err
		}
		if took < 0 && condition() {
			took = time.Since(start).Seconds()
		}
		now := takeUsage()
		if length := now.at.Sub(windowStart.at); length >= disruptionWindow {
			total := f.bytes()
			hostSeconds := length.Seconds() * float64(len(f.hosts))
			bytes = max(bytes, (total-windowBytes)/hostSeconds)
			core = max(core, 100*(now.cpu-windowStart.cpu).Seconds()/hostSeconds)
			windowStart, windowBytes = now, total
			if took >= 0 {
				break
			}
		}
	}
	return took, bytes, core, nil
}

func (d Disruption) String() string {
	return fmt.Sprintf("%s\t%d\t%d\t%.1f\t%.0f\t%.3f\t%.1f\t%.0f\t%.3f\t", d.Scope, d.Hosts, d.Isolated,
		d.GoneSeconds, d.PartitionBytes, d.PartitionCorePct, d.RejoinSeconds, d.RejoinBytes, d.RejoinCorePct)
}
