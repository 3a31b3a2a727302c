package jwslope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Role names what does the work that a series measures.
type Role string

// The roles of the parts of the system.
const (
	Node      Role = "node"
	Relay     Role = "relay"
	Forwarder Role = "forwarder"
	Watcher   Role = "watcher"
	Gatherer  Role = "gatherer"
	Claimer   Role = "claimer"
	Target    Role = "target"
	Lists     Role = "lists"
)

// Point is one measurement: Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one figure at several sizes with the line fitted to it.
type Series struct {
	Role   Role    `json:"role"`
	What   string  `json:"what"`
	Unit   string  `json:"unit"`
	By     string  `json:"by"` // what X counts
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
	Size   float64 `json:"size"`     // X at the size that the system is made for
	At     float64 `json:"at"`       // the line at Size
	Last   float64 `json:"measured"` // Y of the largest X
}

// Line is y = Base + Slope*x.
type Line struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	R2       float64 `json:"r2"`       // share of the variance that the line explains
	Residual float64 `json:"residual"` // largest distance of a point from the line
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// fit fits the line of the series by least squares.
func (s *Series) fit() {
	xs := make([]float64, len(s.Points))
	ys := make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	if len(xs) < 2 {
		return
	}
	s.Line.Base, s.Line.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.Line.R2 = stat.RSquared(xs, ys, nil, s.Line.Base, s.Line.Slope)
	if math.IsNaN(s.Line.R2) {
		s.Line.R2 = 1 // all y are the same
	}
	for i := range xs {
		s.Line.Residual = max(s.Line.Residual, math.Abs(ys[i]-s.Line.At(xs[i])))
	}
	s.At = s.Line.At(s.Size)
	s.Last = ys[len(ys)-1]
}
