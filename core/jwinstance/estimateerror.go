package jwinstance

import (
	"math"
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
	// minRestSamples is the number of answers from which the ratio is known.
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

// restRatioAt returns the expected ratio of actual to maximum lengths. Without further answers it
// returns to 1, and it is not known, so 0, once too much time has passed: requests that were rejected
// because of it could not correct it.
func (s *serviceStats) restRatioAt(now time.Time) float64 {
	age := max(now.Sub(s.restAt), 0)
	if s.restSamples < minRestSamples || age > maxRestAge {
		return 0
	}
	return 1 + math.Exp(-float64(age)/float64(restDecay))*(s.restRatio-1)
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
	return time.Duration(s.restRatioAt(now) * float64(n.Events) * float64(gap))
}

// observeRest records the ratio of an answer's length to its maximum. The first answers, and those
// after a time without any, count more.
func (s *serviceStats) observeRest(now time.Time, ratio float64) {
	age := max(now.Sub(s.restAt), 0)
	if age > maxRestAge {
		s.restSamples = 0
	}
	s.restSamples++
	weight := max(restWeight, 1/float64(s.restSamples), min(1-math.Exp(-float64(age)/float64(restDecay)), maxRestWeight))
	s.restRatio += weight * (min(max(ratio, minRestRatio), maxRestRatio) - s.restRatio)
	s.restAt = now
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
		s.observeRest(now, float64(rest)/float64(c.maxRest))
	}
}
