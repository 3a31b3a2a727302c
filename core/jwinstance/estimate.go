package jwinstance

import (
	"math"
	"time"
)

// fetchCost returns the cost of a fetch besides its time: the price of the memory moved, about a
// twentieth of the value of a prompt of some thousand tokens. With much time left until the goal
// the cost counts in full, so that the request waits for the target that has the parts. It counts
// less the nearer the goal is, because a late answer loses most of its value.
func fetchCost(n Need, c Choice) time.Duration {
	spare := n.FirstEventGoal/2 - c.Expected
	if !c.FetchFrom.IsValid() || spare <= 0 {
		return 0
	}
	return time.Duration(float64(maxFetchCost) * float64(spare) / float64(n.FirstEventGoal/2))
}

// expected returns the expected wait for the first event of an engine, or for the answer of a plain
// service.
func (s *serviceStats) expected(x *Target, n Need, miss int, l load, slowdown float64) time.Duration {
	slots := max(x.Slots, 1)
	if n.Prompt.Tokens == 0 && !s.engine {
		d := float64(s.plainLatency) * max(1, float64(l.calls+1)/float64(slots))
		return time.Duration(d * slowdown)
	}
	d := s.firstEvent.predict(l.unreadAhead, miss) + s.batchDelay(slots, l.calls, l.callsAhead)
	return time.Duration(float64(d) * slowdown)
}

// slowdownAt returns the slowdown, which returns to 1 while no call confirms it.
func (x *Target) slowdownAt(now time.Time) float64 {
	age := now.Sub(x.slowdownTime)
	if age <= 0 || x.slowdown == 1 {
		return x.slowdown
	}
	return 1 + math.Exp(-age.Seconds()/slowdownDecay.Seconds())*(x.slowdown-1)
}

// batchDelay returns how much the calls in flight at an engine add to the wait for a first event.
// Each running call slows the steps of the batch, and each call ahead beyond the slots waits until
// another one ends.
func (s *serviceStats) batchDelay(slots, calls, ahead int) time.Duration {
	return time.Duration(calls)*runningCallDelay + s.slotWait(slots, ahead)
}

// slotWait returns the wait for a slot of an engine behind calls ahead.
func (s *serviceStats) slotWait(slots, ahead int) time.Duration {
	waiting := max(ahead-slots+1, 0)
	return time.Duration(waiting) * s.slotTime / time.Duration(slots)
}

// queue returns how long an engine works on other calls before it begins with a request.
func (s *serviceStats) queue(x *Target, l load) time.Duration {
	return s.firstEvent.readTime(l.unreadAhead, 0) + s.slotWait(max(x.Slots, 1), l.callsAhead)
}

// streamCost returns the weighted cost besides the wait for the first event: the time between the
// request's own events, the delay of all running requests while its prompt is read, and preemption
// if the memory would be nearly full.
func (s *serviceStats) streamCost(now time.Time, x *Target, n Need, miss int, l load) time.Duration {
	if n.Prompt.Tokens == 0 {
		return 0
	}
	gap := x.estimatedGap(now)
	d := LaterEventWeight * float64(n.Events) * float64(gap)
	weight := InterferenceWeight
	if n.ByPriority {
		d += float64(s.latePauses.cost(gap, n.GapGoal))
		weight = overloadInterferenceWeight
	}
	d += weight * float64(l.calls) * float64(s.firstEvent.readTime(0, miss))
	if n.Capacity > 0 && float64(l.memoryTokens+n.Prompt.memoryTokens()) > preemptionThreshold*float64(n.Capacity) {
		d += float64(preemptionDelay)
	}
	return time.Duration(d)
}

// estimatedGap returns the estimated time between two events: the latest measurement, which returns
// to initialGap as it gets older.
func (x *Target) estimatedGap(now time.Time) time.Duration { return x.gapOr(now, initialGap) }

// gapOr is like estimatedGap for another time to which the estimate returns.
func (x *Target) gapOr(now time.Time, usual time.Duration) time.Duration {
	gap, at := x.gap, x.gapAt
	if x.reportedGapAt.After(at) {
		gap, at = x.reportedGap, x.reportedGapAt
	}
	if at.IsZero() {
		return usual
	}
	if now.Sub(at) > 8*gapDecay {
		return usual
	}
	fade := math.Exp(-float64(now.Sub(at)) / float64(gapDecay))
	return usual + time.Duration(fade*float64(gap-usual))
}

// statsOf returns the measurements of a service, with initial values if there are none.
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
