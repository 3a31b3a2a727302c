package jwinstance

import (
	"math"
	"math/bits"
	"time"
)

// LoadBand says how busy a target is, to tell estimates for idle and for full targets apart.
type LoadBand string

// The bands: by the share of the target's slots that is taken.
const (
	LoadLow    LoadBand = "low"    // up to half of the slots
	LoadHigh   LoadBand = "high"   // up to all slots
	LoadQueued LoadBand = "queued" // more calls than slots
)

// bandOf returns the band of a target with a number of calls ahead of a request.
func bandOf(slots, ahead int) LoadBand {
	switch {
	case ahead >= slots:
		return LoadQueued
	case 2*ahead >= slots:
		return LoadHigh
	}
	return LoadLow
}

const (
	// errorWeight is the weight of a call in the mean error of the estimates.
	errorWeight = 0.02
	// initialError is the assumed mean error until calls have been measured.
	initialError = 50 * time.Millisecond
	// restWeight is the weight of an answer in the ratio of actual to maximum lengths.
	restWeight = 0.02
	// minRestSamples is the number of answers from which a ratio is known.
	minRestSamples = 10
	// maxRestWeight bounds the weight of an answer after a time without any.
	maxRestWeight = 0.2
	// restDecay is the time constant with which the ratio returns to 1 without further answers, and
	// maxRestAge is how long it counts at all.
	restDecay  = 30 * time.Second
	maxRestAge = 2 * restDecay
	// serviceGapWeight is the weight of a pause between two events in the mean of the service.
	serviceGapWeight = 0.01
	// maxRestRatio bounds a sample, as a single stall does not make answers longer.
	maxRestRatio = 3.0
	// minRestRatio is a lower bound of a sample, as the end of most answers takes some time.
	minRestRatio = 0.05
)

// errorOf returns the mean absolute error of the expected first event in a band.
func (s *serviceStats) errorOf(b LoadBand) time.Duration {
	if d, ok := s.errors[b]; ok {
		return d
	}
	return initialError
}

// observeError records the difference between an actual and an expected first event.
func (s *serviceStats) observeError(b LoadBand, d time.Duration) {
	if s.errors == nil {
		s.errors = make(map[LoadBand]time.Duration, 3)
	}
	mean := s.errorOf(b)
	s.errors[b] = mean + time.Duration(errorWeight*float64(d.Abs()-mean))
}

// lengthBands is the number of bands of restRatios.
const lengthBands = 16

// restRatios has the time from the first event to the end of answers relative to that of one with the
// maximum number of events, by the magnitude of that number: kinds of answers differ in how much of
// it they use.
type restRatios [lengthBands]restRatio

// restRatio is the measurement of one band. Without further answers it returns to 1, and it is not
// known once too much time has passed: requests that were rejected because of it could not correct it.
type restRatio struct {
	ratio   float64
	samples int       // answers that it was measured by
	at      time.Time // of the last of them
}

// band returns the ratio for a maximum number of events.
func (r *restRatios) band(events int) *restRatio {
	return &r[min(bits.Len(uint(max(events, 0))), lengthBands-1)]
}

// value returns the expected ratio, 0 while it is not known.
func (r *restRatio) value(now time.Time) float64 {
	age := max(now.Sub(r.at), 0)
	if r.samples < minRestSamples || age > maxRestAge {
		return 0
	}
	return 1 + math.Exp(-float64(age)/float64(restDecay))*(r.ratio-1)
}

// observe records the ratio of an answer. The first answers, and those after a time without any, count
// more.
func (r *restRatio) observe(now time.Time, ratio float64) {
	age := max(now.Sub(r.at), 0)
	if age > maxRestAge {
		r.samples = 0
	}
	r.samples++
	weight := max(restWeight, 1/float64(r.samples), min(1-math.Exp(-float64(age)/float64(restDecay)), maxRestWeight))
	r.ratio += weight * (min(max(ratio, minRestRatio), maxRestRatio) - r.ratio)
	r.at = now
}

// Rest returns the expected time from the first event to the end of an answer where the time between
// two events is reported to be gap; 0 while that is not known. Without traffic a region reports
// an initial value, so the mean that was measured here counts if it is shorter.
func (t *Table) Rest(now time.Time, n Need, gap time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(n.Service)
	if gap == 0 || s.gap < gap {
		gap = s.gap
	}
	return time.Duration(s.restRatios.band(n.Events).value(now) * float64(n.Events) * float64(gap))
}

// observeGap records a time between two events at a target of the service.
func (s *serviceStats) observeGap(d time.Duration) {
	if s.gap == 0 {
		s.gap = d
	}
	s.gap += time.Duration(serviceGapWeight * float64(d-s.gap))
}

// RecordEnd records that an answer was complete, rest after its first event, and its longest pause.
func (t *Table) RecordEnd(now time.Time, x *Target, c Choice, gapGoal, rest, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.ByPriority {
		return
	}
	s := t.statsOf(x.Service)
	if gapGoal > 0 {
		s.latePauses.observe(c.Gap, gapGoal, pause)
	}
	if c.maxRest > 0 {
		s.restRatios.band(c.Events).observe(now, float64(rest)/float64(c.maxRest))
	}
}
