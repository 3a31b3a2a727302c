package jwbalance

import (
	"encoding/json"
	"math"
	"time"
)

const (
	// fastWindow and slowWindow are the time constants of the two averages of a meter.
	fastWindow = 400 * time.Millisecond
	slowWindow = 1200 * time.Millisecond
)

// Rate is work per second and its change. A unit of work is one second of one target of usual speed.
type Rate struct {
	Work  float64 // per second
	Trend float64 // change of Work per second
}

// MarshalJSON encodes the rate as a list of both numbers, since nodes send many of them.
func (r Rate) MarshalJSON() ([]byte, error) {
	return json.Marshal([2]float64{rounded(r.Work), rounded(r.Trend)})
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (r *Rate) UnmarshalJSON(b []byte) error {
	var list [2]float64
	err := json.Unmarshal(b, &list)
	r.Work, r.Trend = list[0], list[1]
	return err
}

// rounded returns x with three decimals.
func rounded(x float64) float64 { return math.Round(1000*x) / 1000 }

// At returns the work per second expected after d, if the trend lasts.
func (r Rate) At(d time.Duration) float64 { return max(r.Work+r.Trend*d.Seconds(), 0) }

func (r Rate) plus(o Rate) Rate { return Rate{r.Work + o.Work, r.Trend + o.Trend} }

// meter measures a Rate by two averages whose weights decay exponentially. The zero value has
// counted nothing.
type meter struct {
	fast, slow float64
	at         time.Time
}

// add counts work that arrived at the given time.
func (m *meter) add(now time.Time, work float64) {
	m.decay(now)
	m.fast += work / fastWindow.Seconds()
	m.slow += work / slowWindow.Seconds()
}

// rate returns the present rate. Both averages of a growing rate are behind it by their time
// constants, so their difference is the trend.
func (m *meter) rate(now time.Time) Rate {
	m.decay(now)
	trend := (m.fast - m.slow) / (slowWindow - fastWindow).Seconds()
	return Rate{max(m.fast+trend*fastWindow.Seconds(), 0), trend}
}

// decay lets the averages decay up to now. A clock that went back changes nothing.
func (m *meter) decay(now time.Time) {
	d := now.Sub(m.at).Seconds()
	if d <= 0 {
		return
	}
	if !m.at.IsZero() {
		m.fast *= math.Exp(-d / fastWindow.Seconds())
		m.slow *= math.Exp(-d / slowWindow.Seconds())
	}
	m.at = now
}
