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
	What        string  `json:"what"`
	Hosts       int     `json:"hosts"`
	Apart       int     `json:"hosts_apart"`
	GoneSeconds float64 `json:"gone_seconds"` // until each side considered the other gone; negative if not before the timeout
	CutBytes    float64 `json:"cut_bytes_per_second"`
	CutCorePct  float64 `json:"cut_core_percent"`
	MeetSeconds float64 `json:"meet_seconds"` // from the healing until all hosts considered all alive; negative if not before the timeout
	MeetBytes   float64 `json:"meet_bytes_per_second"`
	MeetCorePct float64 `json:"meet_core_percent"`
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
	if err := f.settle(ctx, o.Settle); err != nil {
		return nil, err
	}
	var results []Disruption
	for _, cut := range []struct {
		what    string
		domains []string
	}{{"failure domain", []string{domainOf(0, hosts)}}, {"region", nearDomains(0, hosts)}} {
		d, err := f.disrupt(ctx, cut.domains)
		if err != nil {
			return nil, errors.Wrap(err, cut.what)
		}
		d.What = cut.what
		fmt.Fprintf(o.Progress, "  %s: gone after %.1f s, met after %.1f s\n", d.What, d.GoneSeconds, d.MeetSeconds)
		results = append(results, d)
	}
	return results, nil
}

func (f *fleet) disrupt(ctx context.Context, domains []string) (Disruption, error) {
	apart := make(map[string]bool)
	for _, name := range domains {
		apart[name] = true
	}
	result := Disruption{Hosts: len(f.hosts)}
	for _, h := range f.hosts {
		if apart[h.domain] {
			result.Apart++
		}
	}
	var err error
	f.cutter.set(domains)
	parted := func() bool {
		return f.agree(func(h *host, m peer.Member) bool {
			return (m.State == peer.StateAlive) == (apart[h.domain] == apart[m.FailureDomain]) && m.State != peer.StateSuspect
		})
	}
	result.GoneSeconds, result.CutBytes, result.CutCorePct, err = f.until(ctx, parted)
	if err != nil {
		return result, err
	}
	f.cutter.set(nil)
	met := func() bool {
		return f.agree(func(_ *host, m peer.Member) bool { return m.State == peer.StateAlive })
	}
	result.MeetSeconds, result.MeetBytes, result.MeetCorePct, err = f.until(ctx, met)
	return result, err
}

// agree reports whether a condition is true for all members on all hosts.
func (f *fleet) agree(holds func(*host, peer.Member) bool) bool {
	for _, h := range f.hosts {
		for _, m := range h.node.Members() {
			if !holds(h, m) {
				return false
			}
		}
	}
	return true
}

// until waits for a condition, for at most disruptionTimeout. It returns the
// time until the condition was true, in seconds, or -1, and the highest rates of
// any window: bytes/s and percent of a core, per host.
func (f *fleet) until(ctx context.Context, condition func() bool) (took, bytes, core float64, err error) {
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
			per := length.Seconds() * float64(len(f.hosts))
			bytes = max(bytes, (total-windowBytes)/per)
			core = max(core, 100*(now.cpu-windowStart.cpu).Seconds()/per)
			windowStart, windowBytes = now, total
			if took >= 0 {
				break
			}
		}
	}
	return took, bytes, core, nil
}

func (d Disruption) String() string {
	return fmt.Sprintf("%s\t%d\t%d\t%.1f\t%.0f\t%.3f\t%.1f\t%.0f\t%.3f\t", d.What, d.Hosts, d.Apart,
		d.GoneSeconds, d.CutBytes, d.CutCorePct, d.MeetSeconds, d.MeetBytes, d.MeetCorePct)
}
