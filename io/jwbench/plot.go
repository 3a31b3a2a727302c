package jwbench

import (
	"image/color"
	"io"
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// measure is one panel of a plot.
type measure struct {
	title string
	value func(*Result) float64
}

// measures are the figures that matter to users of the system.
var measures = []measure{
	{"answers in time, %", func(r *Result) float64 { return r.percent(r.InTime) }},
	{"first token, p99, s", func(r *Result) float64 { return float64(r.FirstTokenTimes.ValueAtQuantile(99)) / 1e6 }},
	{"sent away, %", func(r *Result) float64 { return r.percent(r.Away) }},
	{"cost of an answer in time", (*Result).CostPerAnswer},
}

const (
	panelWidth  = 22 * vg.Centimeter
	panelHeight = 6.5 * vg.Centimeter
)

// Plot runs the scenarios as Policies does and draws the results as one SVG: a
// column for each deployment, a row for each measure, a group of bars for each
// scenario. It returns an error if no deployment has the given names.
func Plot(w io.Writer, cfg Config) error {
	seeds := cfg.Seeds
	if len(seeds) == 0 {
		seeds = defaultSeeds
	}
	var columns [][]*plot.Plot
	for _, d := range deployments() {
		if !matchesName(cfg.Deployments, d.Name) {
			continue
		}
		column, err := cfg.column(d, seeds)
		if err != nil {
			return err
		}
		columns = append(columns, column)
	}
	if len(columns) == 0 {
		return errors.New("plot: no deployment has the given name")
	}
	return drawAll(w, columns)
}

// column runs the scenarios for one deployment and returns a plot for each
// measure, from the top down.
func (c Config) column(d Deployment, seeds []uint64) ([]*plot.Plot, error) {
	var names []string
	results := make(map[string][]*Result) // by policy, in the order of names
	for _, s := range scenarios() {
		if !matchesName(c.Scenarios, s.Name) {
			continue
		}
		names = append(names, s.Name)
		for _, p := range c.policies() {
			sum := newResult()
			for _, seed := range seeds {
				sum.add(runScenario(d, s, p, seed))
			}
			results[p.name] = append(results[p.name], sum)
		}
	}
	var out []*plot.Plot
	for _, m := range measures {
		p, err := panel(d.Name+": "+m.title, names, c.policies(), results, m.value)
		if err != nil {
			return nil, errors.Wrapf(err, "plot: %s", m.title)
		}
		out = append(out, p)
	}
	return out, nil
}

func panel(title string, names []string, policies []policy, results map[string][]*Result, value func(*Result) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.NominalX(names...)
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(7)
	p.X.Tick.Label.Font.Size = vg.Points(7)
	p.X.Tick.Label.Rotation = math.Pi / 10 // keeps long names from overlapping
	p.X.Tick.Label.XAlign = text.XRight
	groups := float64(max(len(names)*(len(policies)+1), 1))
	width := (panelWidth - 3*vg.Centimeter) / vg.Length(groups)
	for i, pol := range policies {
		var values plotter.Values
		for _, r := range results[pol.name] {
			values = append(values, value(r))
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, err
		}
		bars.LineStyle.Width = 0
		bars.Color = barColor(i)
		bars.Offset = width * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(pol.name, bars)
	}
	p.X.Max = max(p.X.Max, float64(len(names))+legendGroups)
	return p, nil
}

// legendGroups is the width that is left free for the legend to the right of
// the bars, in groups of bars.
const legendGroups = 1.2

// barColor returns the colour of the i-th policy: the strongest one for the
// project's own policy, which comes first.
func barColor(i int) color.Color {
	if i == 0 {
		return color.RGBA{R: 0x1f, G: 0x3b, B: 0x73, A: 0xff}
	}
	return plotutil.SoftColors[(i-1)%len(plotutil.SoftColors)]
}

func drawAll(w io.Writer, columns [][]*plot.Plot) error {
	rows := len(measures)
	canvas := vgsvg.New(panelWidth*vg.Length(len(columns)), panelHeight*vg.Length(rows))
	tiles := draw.Tiles{
		Rows: rows, Cols: len(columns),
		PadX: vg.Centimeter, PadY: vg.Centimeter / 2,
		PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadLeft: vg.Millimeter, PadRight: vg.Millimeter,
	}
	area := draw.New(canvas)
	for c, column := range columns {
		for r, p := range column {
			p.Draw(tiles.At(area, c, r))
		}
	}
	_, err := canvas.WriteTo(w)
	return errors.Wrap(err, "write plot")
}
