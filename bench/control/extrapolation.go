package control

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Extrapolation is one figure, extrapolated to the target size by a line fitted
// to the measured fleet sizes that share the last number of workers.
type Extrapolation struct {
	Figure   string  `json:"figure"`
	Unit     string  `json:"unit"`
	Base     float64 `json:"base"`  // value of the line at 0 hosts
	Slope    float64 `json:"slope"` // increase per host of the fleet
	Expected float64 `json:"expected"`
	Limit    float64 `json:"limit"`
	Ratio    float64 `json:"ratio"` // limit divided by expected; 0 if expected is not positive
}

type figure struct {
	name, unit string
	limit      float64
	value      func(Size) float64
}

var figures = []figure{
	{"control between hosts", "bytes/s a host", LimitBytes, func(s Size) float64 { return s.BytesPerSecond }},
	{"processor", "% of a core a host", LimitCorePct, func(s Size) float64 { return s.CorePercent }},
	{"live heap and stacks", "bytes a host", LimitHeapBytes, func(s Size) float64 { return s.HeapBytes + s.StackBytes }},
	{"platform calls", "calls/s of the fleet", LimitCallsFleet, func(s Size) float64 { return s.CallsPerSecond }},
}

// extrapolate extrapolates every figure from the sizes that have the same
// number of workers as the last one.
func extrapolate(sizes []Size) []Extrapolation {
	var same []Size
	for _, s := range sizes {
		if s.Workers == sizes[len(sizes)-1].Workers {
			same = append(same, s)
		}
	}
	var result []Extrapolation
	for _, f := range figures {
		base, slope := fit(same, f.value)
		expected := base + slope*TargetHosts
		o := Extrapolation{Figure: f.name, Unit: f.unit, Base: base, Slope: slope, Expected: expected, Limit: f.limit}
		if expected > 0 {
			o.Ratio = f.limit / expected
		}
		result = append(result, o)
	}
	return result
}

// fit returns the least squares line of a value over the number of hosts.
func fit(sizes []Size, value func(Size) float64) (base, slope float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, s := range sizes {
		x, y := float64(s.Hosts), value(s)
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return sumY / n, 0
	}
	slope = (n*sumXY - sumX*sumY) / spread
	return (sumY - slope*sumX) / n, slope
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "hosts\tworkers\tbytes/s\tplatform B/s\tcore %\theap KB\tstack KB\tgoroutines\tconnections\tcalls/s fleet\tjoin s\tdocument B\tB/change\t")
	for _, s := range r.Sizes {
		fmt.Fprintf(t, "%d\t%d\t%.0f\t%.1f\t%.3f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.1f\t%d\t%.0f\t\n", s.Hosts, s.Workers, s.BytesPerSecond, s.PlatformBytesPerSecond,
			s.CorePercent, s.HeapBytes/1024, s.StackBytes/1024, s.Goroutines, s.Connections, s.CallsPerSecond, s.JoinSeconds, s.DocumentBytes, s.ChangeBytes)
	}
	fmt.Fprintln(t, "\t\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(t, "in force, s\thosts\tworkers\tchanges\tmissing\tp50\tp99\tmax\t")
	for _, s := range r.Sizes {
		writeInForce(t, "store healthy", s, s.Healthy)
		writeInForce(t, "store gone", s, s.StoreGone)
	}
	fmt.Fprintln(t, "\t\t\t\t\t\t\t\t")
	fmt.Fprintf(t, "at %d hosts\tunit\tbase\tslope\texpected\tlimit\tratio\t\n", TargetHosts)
	for _, o := range r.AtTarget {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.1f\t\n", o.Figure, o.Unit, o.Base, o.Slope, o.Expected, o.Limit, o.Ratio)
	}
	if len(r.DisruptionResults) > 0 {
		fmt.Fprintln(t, "\t\t\t\t\t\t\t\t\t")
		fmt.Fprintln(t, "cut off\thosts\tapart\tgone s\tbytes/s\tcore %\tmet s\tbytes/s\tcore %\t")
	}
	for _, d := range r.DisruptionResults {
		fmt.Fprintln(t, d)
	}
	return t.Flush()
}

func writeInForce(w io.Writer, store string, s Size, f InForce) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.4f\t%.4f\t%.4f\t\n", store, s.Hosts, s.Workers, f.Changes, f.Missing, f.P50, f.P99, f.Max)
}
