package jwinstance

import (
	"math"
	"time"
)

// fetchCost is what a fetch counts beside its time: the price of the memory
// moved, which is a twentieth of the worth of a prompt of some thousand tokens. It
// is saved while there is time to wait for the holder, and not near the goal,
// where an answer that comes late loses most of its worth.
func fetchCost(n Need, c Choice) time.Duration {
	spare := n.Goal/2 - c.Expected
	if !c.Fetch.IsValid() || spare <= 0 {
		return 0
	}
	return time.Duration(float64(maxFetchCost) * float64(spare) / float64(n.Goal/2))
}

// expected returns the wait for the first event of an engine or the answer of
// a plain service.
func (s *serviceStats) expected(x *Target, n Need, miss int, l load) time.Duration {
	slots := max(x.Slots, 1)
	if n.Prompt.Tokens == 0 && !s.engine {
		d := float64(s.plainLatency) * max(1, float64(l.calls+1)/float64(slots))
		return time.Duration(d * x.slowdown)
	}
	d := s.firstEvent.predict(l.unreadAhead, miss) + s.batchDelay(slots, l.calls)
	return time.Duration(float64(d) * x.slowdown)
}

// batchDelay returns what the calls at an engine add to the wait for a first event: each
// that runs slows the steps of the batch, and of those beyond its slots each waits
// until one ends.
func (s *serviceStats) batchDelay(slots, calls int) time.Duration {
	waiting := max(calls-slots+1, 0)
	return time.Duration(calls)*runningCallDelay + time.Duration(waiting)*s.slotTime/time.Duration(slots)
}

// later returns what counts beside the first event: the pace of the request's
// own events, and the delay of all that run there while its prompt is read.
func (s *serviceStats) streamCost(now time.Time, x *Target, n Need, miss int, l load) time.Duration {
	if n.Prompt.Tokens == 0 {
		return 0
	}
	d := PaceWeight * float64(n.Events) * float64(x.estimatedGap(now))
	d += InterferenceWeight * float64(l.calls) * float64(s.firstEvent.readTime(0, miss))
	if n.Capacity > 0 && float64(l.memoryTokens+n.Prompt.memoryTokens()) > preemptionThreshold*float64(n.Capacity) {
		d += float64(preemptionDelay)
	}
	return time.Duration(d)
}

// gapNow returns the estimated time between two events.
func (x *Target) estimatedGap(now time.Time) time.Duration {
	gap, at := x.gap, x.gapAt
	if x.reportedGapAt.After(at) {
		gap, at = x.reportedGap, x.reportedGapAt
	}
	if at.IsZero() {
		return initialGap
	}
	if now.Sub(at) > 8*gapDecay {
		return initialGap
	}
	fade := math.Exp(-float64(now.Sub(at)) / float64(gapDecay))
	return initialGap + time.Duration(fade*float64(gap-initialGap))
}

// pace returns what calls showed of a service.
func (t *Table) statsOf(service string) *serviceStats {
	if t.stats == nil {
		t.stats = make(map[string]*serviceStats)
	}
	s := t.stats[service]
	if s == nil {
		s = &serviceStats{plainLatency: initialPlainLatency, slotTime: initialSlotTime}
		t.stats[service] = s
	}
	return s
}
