package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are quantiles of a latency, in ms.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Cell contains the figures of one policy at one load with one seed. Latencies
// are measured from the intended send time; figures cover the measured window.
type Cell struct {
	Policy       string         `json:"policy"`
	Load         float64        `json:"load"`
	Seed         uint64         `json:"seed"`
	MeasuredS    float64        `json:"measured_s"`
	Sent         int            `json:"sent"`
	Answers      int            `json:"answers"`     // complete answers
	Goodput      float64        `json:"goodput"`     // tokens/s of complete answers
	Delivered    float64        `json:"delivered"`   // tokens/s that callers received
	StallS       float64        `json:"stall_s"`     // sum of the parts of gaps above 250 ms, all streams
	Preemptions  int            `json:"preemptions"` // as counted by the engines
	Gap          Quantiles      `json:"gap_ms"`
	First        Quantiles      `json:"first_token_ms"`
	RefusedAfter Quantiles      `json:"refused_after_ms"`
	Outcomes     map[string]int `json:"outcomes"` // requests without a complete answer, by outcome/reason
	// SmallestShare and LeastShare are the ratio of the tokens served to the
	// fair share of all tokens served, for the smallest organisation and for
	// the one with the lowest ratio. The fair share is the weighted max-min
	// division over the tokens requested.
	SmallestShare    float64        `json:"smallest_share"`
	LeastShare       float64        `json:"least_share"`
	Violations       int            `json:"broken_promises"`
	ViolationsByKind map[string]int `json:"broken_by,omitempty"`
	ViolationSamples []string       `json:"broken_samples,omitempty"`
	PerSecond        []float64      `json:"goodput_per_second"`
}

// result returns the figures of the run.
func (c *cellRun) result(preemptions int) Cell {
	m := c.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := c.measured.Seconds()
	smallest, least := fairness(m.offered, m.served)
	return Cell{
		Policy: c.policy, Load: c.load, Seed: c.seed, MeasuredS: seconds, Sent: m.sent, Answers: m.answers,
		Goodput: float64(m.tokens) / seconds, Delivered: float64(m.delivered) / seconds,
		StallS: m.stall.Seconds(), Preemptions: preemptions,
		Gap: quantiles(m.gaps), First: quantiles(m.first), RefusedAfter: quantiles(m.refusals),
		Outcomes: m.outcomes, SmallestShare: smallest, LeastShare: least,
		Violations: c.oracle.violationCount(), ViolationsByKind: c.oracle.violations, ViolationSamples: c.oracle.samples, PerSecond: m.perSecond,
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: at(100)}
}

// fairness compares the tokens served to organisations with the weighted max-min
// fair division of the same total over the tokens requested. It returns the
// ratio for the smallest organisation and the lowest ratio.
func fairness(offered, served map[int]float64) (smallest, least float64) {
	total := 0.0
	for _, tokens := range served {
		total += tokens
	}
	fair := fairDivision(offered, total)
	least = math.Inf(1)
	for organisation, part := range fair {
		share := served[organisation] / part
		least = min(least, share)
		if organisation == len(weights)-1 {
			smallest = share
		}
	}
	if math.IsInf(least, 1) {
		least = 0
	}
	return smallest, least
}

// fairDivision returns the weighted max-min fair division of total: each
// organisation receives the tokens it requested, or its weighted part of the
// remaining tokens if that is less.
func fairDivision(offered map[int]float64, total float64) map[int]float64 {
	fair := map[int]float64{}
	open := make([]int, 0, len(offered))
	for organisation := range offered {
		open = append(open, organisation)
	}
	perWeight := func(o int) float64 { return offered[o] / float64(weights[o]) }
	sort.Slice(open, func(i, j int) bool { return perWeight(open[i]) < perWeight(open[j]) })
	for i, organisation := range open {
		weight := 0
		for _, other := range open[i:] {
			weight += weights[other]
		}
		part := min(offered[organisation], total*float64(weights[organisation])/float64(weight))
		fair[organisation] = part
		total -= part
	}
	return fair
}

// writeTable prints the cells as a table, one row per cell, and the sampled
// violations.
func (r *Report) writeTable(w io.Writer) {
	fmt.Fprintf(w, "\n%s, faults %s, reports %d ms old, %.0f%% of them lost; %d policies at once on %d cores\n", r.Site, r.Faults, r.LagMs, 100*r.Loss, r.Parallel, r.Cores)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tseed\tpolicy\tpreempt\tstall s\tgap p50\tp95\tp99\tp99.9\tmax ms\tfirst p50\tp95\tp99 ms\tgoodput\tanswers\trefused p95 ms\tsmallest\tleast share\tbroken\tnot whole\t")
	for _, c := range r.Cells {
		fmt.Fprintf(table, "%.2f\t%d\t%s\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d/%d\t%.0f\t%.2f\t%.2f\t%d\t%s\t\n",
			c.Load, c.Seed, c.Policy, c.Preemptions, c.StallS, c.Gap.P50, c.Gap.P95, c.Gap.P99, c.Gap.P999, c.Gap.Max,
			c.First.P50, c.First.P95, c.First.P99, c.Goodput, c.Answers, c.Sent, c.RefusedAfter.P95, c.SmallestShare, c.LeastShare, c.Violations, outcomes(c.Outcomes))
	}
	_ = table.Flush()
	for _, c := range r.Cells {
		for _, sample := range c.ViolationSamples {
			fmt.Fprintf(w, "BROKEN %s load %.2f seed %d: %s\n", c.Policy, c.Load, c.Seed, sample)
		}
	}
}

func outcomes(counts map[string]int) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
