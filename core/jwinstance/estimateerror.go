package jwinstance

import (
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
	// maxRestRatio bounds a sample, as a single stall does not make answers longer.
	maxRestRatio = 3.0
	// minRestRatio keeps a ratio from vanishing.
	minRestRatio = 0.01
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

// rest returns the expected time from the first event to the end of an answer with at most the
// given number of events: answers are shorter than their callers allow.
func (s *serviceStats) rest(events int, gap time.Duration) time.Duration {
	return time.Duration(s.restRatios.of(events) * float64(events) * float64(gap))
}

// lengthBands is the number of bands of restRatios.
const lengthBands = 16

// restRatios has the time from the first event to the end of answers relative to that of one with the
// maximum number of events, by the magnitude of that number: kinds of answers differ in how much of
// it they use. 0 is a ratio that has not been measured.
type restRatios [lengthBands]float64

// band returns the index of the ratio for a maximum number of events.
func (r *restRatios) band(events int) int { return min(bits.Len(uint(max(events, 0))), lengthBands-1) }

// of returns the ratio for a maximum number of events.
func (r *restRatios) of(events int) float64 {
	if ratio := r[r.band(events)]; ratio > 0 {
		return ratio
	}
	return 1
}

// observe records an answer that took a multiple of the expected time.
func (r *restRatios) observe(events int, multiple float64) {
	old := r.of(events)
	r[r.band(events)] = max(old+restWeight*(min(multiple*old, maxRestRatio)-old), minRestRatio)
}

// RecordEnd records that an answer was complete, rest after its first event, and its longest pause.
func (t *Table) RecordEnd(x *Target, c Choice, gapGoal, rest, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Rest <= 0 || !c.ByPriority {
		return
	}
	s := t.statsOf(x.Service)
	if gapGoal > 0 {
		s.latePauses.observe(c.Gap, gapGoal, pause)
	}
	s.restRatios.observe(c.Events, float64(rest)/float64(c.Rest))
}
