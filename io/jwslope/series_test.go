package jwslope

import (
	"context"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFit(t *testing.T) {
	for name, tc := range map[string]struct {
		points   []Point
		want     Line
		at, last float64
	}{
		"line":  {[]Point{{1, 3}, {2, 5}, {4, 9}}, Line{Base: 1, Slope: 2, R2: 1}, 21, 9},
		"level": {[]Point{{1, 3}, {2, 3}}, Line{Base: 3, R2: 1}, 3, 3},
		"one":   {[]Point{{1, 3}}, Line{}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := Series{Points: tc.points, Size: 10}
			s.fit()
			for _, d := range []float64{
				s.Line.Base - tc.want.Base, s.Line.Slope - tc.want.Slope, s.Line.R2 - tc.want.R2, s.Line.Residual,
				s.At - tc.at, s.Last - tc.last,
			} {
				assert.Assert(t, math.Abs(d) < 1e-9, "%+v", s)
			}
		})
	}
}

// The cost of a change at the service must not grow with the nodes of a region:
// at full size it would be the first budget to break.
func TestCallsOfOneChange(t *testing.T) {
	few, err := gather(context.Background(), 3, 4)
	assert.NilError(t, err)
	many, err := gather(context.Background(), 60, 4)
	assert.NilError(t, err)
	assert.Equal(t, few.calls, many.calls)
}

// A quiet fleet must not tell whole words again and again; a relay would move
// more than all its other work.
func TestQuietExchange(t *testing.T) {
	f := newFleet(40)
	self, from := f.members[0], f.members[39]
	told := func() int {
		answer := self.exchange.Answer(toldBy(from))
		return len(answer.Peers)
	}
	assert.Assert(t, told() > 0)
	assert.Equal(t, told(), 0)
}
