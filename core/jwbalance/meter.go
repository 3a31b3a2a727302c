package jwbalance

import (
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
	Work  float64 `json:"work"`            // per second
	Trend float64 `json:"trend,omitempty"` // change of Work per second
}

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
