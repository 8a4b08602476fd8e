package bench

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14
)

// Plot draws charts of a result file written by Run: bar charts of the main
// figures by policy and load, and goodput over time. It writes them as PNG files
// next to the result file and returns their names.
func Plot(file string) ([]string, error) {
	report, err := ReadReport(file)
	if err != nil {
		return nil, err
	}
	base := strings.TrimSuffix(file, filepath.Ext(file))
	var files []string
	for _, figure := range figures {
		name := base + "-" + figure.name + ".png"
		if err := report.bars(figure, name); err != nil {
			return files, err
		}
		files = append(files, name)
	}
	name := base + "-goodput-over-time.png"
	if err := report.curves(name); err != nil {
		return files, err
	}
	return append(files, name), nil
}

// figure is a value of a cell for which Plot draws a bar chart.
type figure struct {
	name, label string
	value       func(Cell) float64
}

var figures = []figure{
	{"preemptions", "preemptions", func(c Cell) float64 { return float64(c.Preemptions) }},
	{"stall", "stall time, s", func(c Cell) float64 { return c.StallS }},
	{"gap-p999", "p99.9 gap between tokens, ms", func(c Cell) float64 { return c.Gap.P999 }},
	{"first-token-p95", "p95 first token, ms", func(c Cell) float64 { return c.First.P95 }},
	{"goodput", "goodput, tokens/s", func(c Cell) float64 { return c.Goodput }},
}

func (r *Report) bars(f figure, file string) error {
	p := plot.New()
	p.Title.Text = r.Site + ", mean over seeds"
	p.Y.Label.Text = f.label
	p.Y.Min = 0
	p.Legend.Top = true
	policies, loads := r.policies(), r.loads()
	for i, load := range loads {
		values := make(plotter.Values, len(policies))
		for j, policy := range policies {
			values[j] = r.mean(policy, load, f.value)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "bench: plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(loads)-1)/2))
		p.Add(bars)
		p.Legend.Add(fmt.Sprintf("load %.2f", load), bars)
	}
	p.NominalX(policies...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "bench: plot")
}

// curves draws goodput over time by policy, for the first load and seed only.
func (r *Report) curves(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, faults %s %s", r.Site, r.Faults, r.Burst)
	p.X.Label.Text = "s after the start of the measured window"
	p.Y.Label.Text = "tokens/s of whole answers"
	p.Y.Min = 0
	if len(r.Cells) == 0 {
		return errors.New("bench: plot: no cells")
	}
	first := r.Cells[0]
	for i, c := range r.Cells {
		if c.Load != first.Load || c.Seed != first.Seed {
			continue
		}
		points := make(plotter.XYs, 0, len(c.PerSecond))
		for second, tokens := range c.PerSecond[:max(0, len(c.PerSecond)-1)] {
			points = append(points, plotter.XY{X: float64(second) - r.WarmS, Y: tokens})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "bench: plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(c.Policy, line)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "bench: plot")
}

func (r *Report) policies() []string {
	var names []string
	for _, c := range r.Cells {
		if !slices.Contains(names, c.Policy) {
			names = append(names, c.Policy)
		}
	}
	return names
}

func (r *Report) loads() []float64 {
	var loads []float64
	for _, c := range r.Cells {
		if !slices.Contains(loads, c.Load) {
			loads = append(loads, c.Load)
		}
	}
	return loads
}

// mean returns the mean of a figure over the seeds.
func (r *Report) mean(policy string, load float64, value func(Cell) float64) float64 {
	sum, n := 0.0, 0
	for _, c := range r.Cells {
		if c.Policy == policy && c.Load == load {
			sum += value(c)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
