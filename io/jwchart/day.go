package jwchart

import (
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"jujubewheel/io/jwlogtrace"
)

const (
	width       = 26 * vg.Centimeter
	panelHeight = 6 * vg.Centimeter
)

// Day writes charts of a day to w as SVG, one below the other: requests by
// outcome, rejected requests by reason, the longest time in seconds for which a
// node had no answer from the store, and which nodes had lost the store or were
// not running. The x axis is in seconds from the first line of the logs.
func Day(w io.Writer, d *jwlogtrace.Timeline) error {
	panels := []struct {
		title string
		list  []jwlogtrace.Series
	}{
		{"requests a second, by outcome", d.Outcomes},
		{"rejected a second, by reason", d.Rejections},
		{"seconds without an answer from the store, maximum of all nodes", []jwlogtrace.Series{d.StoreLostSeconds}},
		{"nodes that lost the store (up) or do not run (down), a line each", states(d)},
	}
	canvas := vgsvg.New(width, panelHeight*vg.Length(len(panels)))
	tiles := draw.Tiles{
		Rows: len(panels), Cols: 1, PadY: vg.Centimeter / 2,
		PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadLeft: vg.Millimeter, PadRight: vg.Millimeter,
	}
	area := draw.New(canvas)
	for i, panel := range panels {
		p, err := lines(panel.title, panel.list)
		if err != nil {
			return errors.Wrapf(err, "plot: %s", panel.title)
		}
		p.Draw(tiles.At(area, 0, i))
	}
	_, err := canvas.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

// states returns a series for each node, each at its own height: the value goes
// up while the node has lost the store and down while it does not run.
func states(d *jwlogtrace.Timeline) []jwlogtrace.Series {
	const step = 0.4
	var list []jwlogtrace.Series
	for i, lost := range d.StoreLost {
		down := d.NodeDown[i].Counts
		s := jwlogtrace.Series{Name: lost.Name, Counts: make([]float64, len(down))}
		for second := range down {
			s.Counts[second] = float64(i) + step*(lost.Counts[second]-down[second])
		}
		list = append(list, s)
	}
	return list
}

// lines returns a chart with a line for each series.
func lines(title string, list []jwlogtrace.Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(7)
	for i, s := range list {
		points := make(plotter.XYs, len(s.Counts))
		for second, n := range s.Counts {
			points[second].X, points[second].Y = float64(second), n
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return p, nil
}
