package jwinstance

import (
	"math"
	"time"
)

// LoadReport is the load that a target reports in an answer. The zero value reports none.
type LoadReport struct {
	Reported bool
	Running  int     // requests that are running
	Waiting  int     // requests in the target's queue
	Slots    int     // requests that it runs at once
	Pace     float64 // time that work takes now, relative to the usual time; 0 if not reported
}

// SetLoad records the load that a target reported in an answer.
func (t *Table) SetLoad(now time.Time, x *Target, l LoadReport) {
	if !l.Reported {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x.load, x.loadAt = l, now
	t.observePace(now, x, l.Pace)
}

// observePace records a pace that a target reported to this node or to another one.
func (t *Table) observePace(at time.Time, x *Target, pace float64) {
	if pace <= 0 || t.IgnorePace {
		return
	}
	x.observePace(at, pace)
	if !t.pacedServices[x.Service] {
		if t.pacedServices == nil {
			t.pacedServices = make(map[string]bool)
		}
		t.pacedServices[x.Service] = true
	}
}

const (
	// paceDecay is the time constant with which the last reported pace loses its weight against the
	// target's mean: other work on a target's host comes and goes within half a second.
	paceDecay = 500 * time.Millisecond
	// meanPaceWeight is the weight of a report in the target's mean pace.
	meanPaceWeight = 0.03
	// maxPaceAge is how long a reported pace counts at all.
	maxPaceAge = 8 * paceDecay
)

// observePace records a reported pace, which other nodes may have received.
func (x *Target) observePace(at time.Time, pace float64) {
	if pace <= 0 || !at.After(x.paceAt) {
		return
	}
	if x.meanPace == 0 {
		x.meanPace = 1
	}
	x.meanPace += meanPaceWeight * (pace - x.meanPace)
	x.pace, x.paceAt = pace, at
}

// expectedPace returns the expected time that work takes at a target relative to the target's mean,
// by the last reported pace and its age.
func (x *Target) expectedPace(now time.Time) float64 {
	age := now.Sub(x.paceAt)
	if x.meanPace == 0 || age > maxPaceAge {
		return 1
	}
	a := float64(max(age, 0)) / float64(paceDecay)
	fade := 1 / (1 + a*(1+a/2)) // near exp(-a), as a decision computes it for every target
	return 1 + fade*(x.pace/x.meanPace-1)
}

// reportedPace returns the last pace in hundredths and its age in milliseconds, for a report to
// another node; 0 without a recent one.
func (x *Target) reportedPace(now time.Time) (pace int, age int64) {
	if d := now.Sub(x.paceAt); x.pace > 0 && d < reportMaxAge {
		return int(math.Round(100 * x.pace)), max(d.Milliseconds(), 0)
	}
	return 0, 0
}

// ReportsPace reports whether targets of a service have reported their pace.
func (t *Table) ReportsPace(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pacedServices[service]
}
