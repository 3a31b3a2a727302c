package jwinstance

import "time"

const (
	// unreachedRest is the first rest of a target that took no connection; it
	// doubles with each further one up to mostRest. One that crashed refuses at
	// once, and a silent one costs a request the dial's time-out.
	initialDialBackoff = 300 * time.Millisecond
	maxDialBackoff     = 2 * time.Second
	// mostClosed bounds how long a target is left alone at its own request.
	maxClosed = time.Hour
	// refusedRest is the rest of a target that had no room.
	refusedBackoff = 100 * time.Millisecond
	// failurePenalty is what each failure in a row adds to the expected wait:
	// others go first, but where all fail one is still tried.
	failurePenalty       = 60 * time.Millisecond
	maxPenalizedFailures = 8
)

// pace is what calls showed of a service.
type serviceStats struct {
	engine       bool // its requests have prompts
	firstEvent   latencyModel
	plainLatency time.Duration
	slotTime     time.Duration // of a slot of an engine, by one call
	meanPrompt   float64       // mean of the prompts sent, in tokens
}

const (
	// paceShare is the weight of a new sample in the time of plain calls.
	callTimeWeight = 0.05
	// promptShare is the weight of one more request in the mean of the prompts.
	promptWeight = 0.02
	// slowShare is the weight of a call in a target's own pace, and slowMost
	// bounds a single sample, as one stall is not a slow target.
	slowdownWeight    = 0.15
	maxSlowdownSample = 6
)

// Started notes the first event of a call after the wait d.
func (t *Table) Started(x *Target, c Choice, p Prompt, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.unread[c.PriorityLevel] -= c.Miss
	stats := t.statsOf(x.Service)
	if p.Tokens == 0 {
		if c.Cold {
			return
		}
		stats.plainLatency += time.Duration(callTimeWeight * float64(min(d, maxSlowdownSample*stats.plainLatency)-stats.plainLatency))
	} else {
		stats.engine = true
		if !c.Cold {
			stats.firstEvent.observe(c.Ahead, c.Miss, max(d-stats.batchDelay(max(x.Slots, 1), c.TotalCalls), 0))
		}
	}
	ratio := min(float64(d)*x.slowdown/float64(max(c.Expected, time.Millisecond)), maxSlowdownSample)
	x.slowdown = max(x.slowdown+slowdownWeight*(ratio-x.slowdown), 0.5)
}

// gapShare is the weight of one more event in a target's gap.
const gapWeight = 0.1

// Passed notes that events of a stream came after the pause d.
func (t *Table) Passed(now time.Time, x *Target, events int, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d /= time.Duration(max(events, 1))
	if x.gapAt.IsZero() || now.Sub(x.gapAt) > gapDecay {
		x.gap = d
	}
	x.gap += time.Duration(gapWeight * float64(d-x.gap))
	x.gapAt = now
}

// Done notes the end of a call; first is the wait that Started was called with, 0
// if it was not.
func (t *Table) Done(now time.Time, x *Target, c Choice, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stats := t.statsOf(x.Service); first > 0 && stats.engine {
		held := now.Sub(c.sentAt) - first + c.Own // without the wait for the slot
		stats.slotTime += time.Duration(callTimeWeight * float64(held-stats.slotTime))
	}
	x.calls--
	x.memoryInUse -= c.MemoryTokens
	if first == 0 {
		x.unread[c.PriorityLevel] -= c.Miss
	}
}

// Served notes an answer that a target gave as it should.
func (t *Table) Served(x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures, x.dialFailures, x.backoffUntil = 0, 0, time.Time{}
}

// Unreached notes that a target took no connection: it has crashed or its
// host is cut off.
func (t *Table) Unreached(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := initialDialBackoff << min(x.dialFailures, 3)
	x.dialFailures++
	x.backoffUntil = laterTime(x.backoffUntil, now.Add(min(d, maxDialBackoff)))
}

// Failed notes a failure of the target's own, or an answer that was lost.
func (t *Table) Failed(x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures = min(x.failures+1, maxPenalizedFailures)
}

// Refused notes that a target had no room.
func (t *Table) Refused(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.backoffUntil = laterTime(x.backoffUntil, now.Add(refusedBackoff))
}

// Closed notes for how long a target wants nothing more of this node. An answer to a
// request that was sent before doesn't end that.
func (t *Table) Closed(now time.Time, x *Target, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.closedUntil = laterTime(x.closedUntil, now.Add(min(d, maxClosed)))
}

// Replaced notes that another incarnation answered at a target's address.
func (t *Table) Replaced(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.goneAt.IsZero() {
		x.goneAt = now.Add(-goneGracePeriod)
		t.usableSlots = nil
	}
}
