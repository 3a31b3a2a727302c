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
	if t.reportsPace(x, l.Pace) {
		x.observePace(now, l.Pace)
	}
}

// reportsPace reports whether a target reported its pace, to this node or to another one, and
// remembers that targets of the service do.
func (t *Table) reportsPace(x *Target, pace float64) bool {
	if pace <= 0 || t.IgnorePace {
		return false
	}
	if !t.pacedServices[x.Service] {
		if t.pacedServices == nil {
			t.pacedServices = make(map[string]bool)
		}
		t.pacedServices[x.Service] = true
	}
	return true
}

const (
	// paceDecay is the time constant with which the last reported pace loses its weight against the
	// target's mean: other work on a target's host comes and goes within half a second.
	paceDecay = 500 * time.Millisecond
	// meanPaceWeight is the weight of a report in the target's mean pace.
	meanPaceWeight = 0.03
	// maxPaceAge is how long a reported pace counts at all.
	maxPaceAge = 8 * paceDecay
	// paceReportTolerance is by how much a pace that another node reports must be newer than the known
	// one: a smaller difference is due to the transmission time, see coldReportTolerance.
	paceReportTolerance = 50 * time.Millisecond
	// minPace and maxPace bound a reported pace, as a wrong one must not attract all requests.
	minPace = 0.25
	maxPace = 8.0
)

// observePace records a pace that the target reported to this node.
func (x *Target) observePace(now time.Time, pace float64) {
	x.setPace(now, pace)
	x.meanPace += meanPaceWeight * (x.pace - x.meanPace)
}

// mergePace records a pace that the target reported to another node.
func (x *Target) mergePace(at time.Time, pace float64) {
	if at.Sub(x.paceAt) > paceReportTolerance {
		x.setPace(at, pace)
	}
}

func (x *Target) setPace(at time.Time, pace float64) {
	if x.meanPace == 0 {
		x.meanPace = 1
	}
	x.pace, x.paceAt = min(max(pace, minPace), maxPace), at
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
