package jwinstance

import "time"

const (
	// initialDialBackoff is how long a target is not used after a failed dial. It doubles with each
	// further failure up to maxDialBackoff. A crashed target refuses connections at once, but one
	// that does not respond costs a request the dial timeout.
	initialDialBackoff = 300 * time.Millisecond
	maxDialBackoff     = 2 * time.Second
	// maxClosed limits how long a target is not used at its own request.
	maxClosed = time.Hour
	// refusedBackoff is how long a target is not used after it refused a request.
	refusedBackoff = 100 * time.Millisecond
	// failurePenalty is what each consecutive failure, up to maxPenalizedFailures, adds to the cost
	// of a target. Other targets are preferred, but if all of them fail one is still tried.
	failurePenalty       = 60 * time.Millisecond
	maxPenalizedFailures = 8
)

// serviceStats holds the measurements of the calls to a service.
type serviceStats struct {
	engine       bool          // whether its requests have prompts
	firstEvent   latencyModel  // wait for the first event of an engine
	plainLatency time.Duration // of a call to a plain service
	slotTime     time.Duration // time that a call occupies a slot of an engine
	calls        int           // of this node in flight
	gap          time.Duration // mean time between two events, 0 until measured
	restRatios   restRatios
	errors       map[LoadBand]time.Duration // mean absolute errors of the expected first event
	latePauses   latePauses
	meanPrompt   float64 // mean length of the prompts sent, in tokens
}

const (
	// callTimeWeight is the weight of a new sample in the moving averages of the latency of plain
	// calls and of the time that a call occupies a slot.
	callTimeWeight = 0.05
	// promptWeight is the weight of a new request in the mean length of the prompts.
	promptWeight = 0.02
	// slowdownWeight is the weight of a new call in the moving average of a target's slowdown.
	// maxSlowdownSample bounds each sample, as a single stall does not make a target slow.
	slowdownWeight    = 0.15
	maxSlowdownSample = 6
	// slowdownDecay is the time constant with which a slowdown that no call confirms loses its
	// weight. A target that was slow for a moment would otherwise not be used again as long as
	// others are free.
	slowdownDecay = 10 * time.Second
)

// RecordFirstEvent records that a call received its first event, or the answer of a plain service,
// after the wait d.
func (t *Table) RecordFirstEvent(x *Target, c Choice, p Prompt, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.unread[c.PriorityLevel] -= c.MissTokens
	stats := t.statsOf(x.Service)
	if p.Tokens == 0 {
		if c.Cold {
			return
		}
		stats.plainLatency += time.Duration(callTimeWeight * float64(min(d, maxSlowdownSample*stats.plainLatency)-stats.plainLatency))
	} else {
		stats.engine = true
		if !c.Cold {
			stats.observeError(c.Load, d-c.Expected)
			stats.firstEvent.observe(c.AheadTokens, c.MissTokens, max(d-stats.batchDelay(max(x.Slots, 1), c.TotalCalls, c.CallsAhead), 0))
		}
	}
	now := c.sentAt.Add(d)
	before := x.slowdownAt(c.sentAt)
	ratio := min(float64(d)*before/float64(max(c.Expected, time.Millisecond)), maxSlowdownSample)
	x.slowdown, x.slowdownTime = max(before+slowdownWeight*(ratio-before), 0.5), now
}

// gapWeight is the weight of a new sample in the moving average of a target's gap.
const gapWeight = 0.1

// RecordEvents records that a number of events of a stream arrived after a pause of d.
func (t *Table) RecordEvents(now time.Time, x *Target, events int, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d /= time.Duration(max(events, 1))
	if x.gapAt.IsZero() || now.Sub(x.gapAt) > gapDecay {
		x.gap = d
	}
	x.gap += time.Duration(gapWeight * float64(d-x.gap))
	x.gapAt = now
	t.statsOf(x.Service).observeGap(d)
}

// Done records the end of a call. The parameter first is the wait that was given to
// RecordFirstEvent, or 0 if RecordFirstEvent was not called.
func (t *Table) Done(now time.Time, x *Target, c Choice, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stats := t.statsOf(x.Service); first > 0 && stats.engine {
		held := now.Sub(c.sentAt) - first + c.OwnReadTime // without the wait for the slot
		stats.slotTime += time.Duration(callTimeWeight * float64(held-stats.slotTime))
	}
	t.addCalls(x, -1)
	t.statsOf(x.Service).calls--
	if c.ByPriority {
		x.callsByLevel[c.PriorityLevel]--
	}
	x.memoryInUse -= c.MemoryTokens
	if first == 0 {
		x.unread[c.PriorityLevel] -= c.MissTokens
	}
}

// Served records that a target answered properly, and resets its failures and its backoff.
func (t *Table) Served(x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures, x.dialFailures, x.backoffUntil = 0, 0, time.Time{}
}

// Resumed records that a target served the rest of a stream. It ends the target's backoff, but a target
// may break off each stream that it begins and serve the rest of each, so that its failures stay.
func (t *Table) Resumed(x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.dialFailures, x.backoffUntil = 0, time.Time{}
}

// Unreached records that a connection to a target could not be made: it has crashed or its host
// is unreachable.
func (t *Table) Unreached(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := initialDialBackoff << min(x.dialFailures, 3)
	x.dialFailures++
	x.backoffUntil = laterTime(x.backoffUntil, now.Add(min(d, maxDialBackoff)))
}

// Failed records a failure of the target itself, or a lost answer.
func (t *Table) Failed(x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures = min(x.failures+1, maxPenalizedFailures)
}

// Refused records that a target refused a request, as it had no capacity left.
func (t *Table) Refused(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.backoffUntil = laterTime(x.backoffUntil, now.Add(refusedBackoff))
}

// SetClosed records that a target asked this node not to send more requests for d, which is limited
// to maxClosed. Answers to requests that were sent before do not end that period.
func (t *Table) SetClosed(now time.Time, x *Target, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.closedUntil = laterTime(x.closedUntil, now.Add(min(d, maxClosed)))
}

// Replaced records that another incarnation answered at a target's address, so that this one is not
// used any more.
func (t *Table) Replaced(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replaced(now, x)
}

func (t *Table) replaced(now time.Time, x *Target) {
	x.replacedRevision = x.Revision
	if x.goneAt.IsZero() {
		t.usableSlots = nil
	}
	x.goneAt = now.Add(-goneGracePeriod)
	t.endUse(now, x)
}
