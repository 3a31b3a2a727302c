package jwinstance

import "time"

const (
	// unreachedRest is the first rest of a target that took no connection; it
	// doubles with each further one up to mostRest. One that crashed refuses at
	// once, and a silent one costs a request the dial's time-out.
	unreachedRest = 300 * time.Millisecond
	mostRest      = 2 * time.Second
	// mostClosed bounds how long a target is left alone at its own request.
	mostClosed = time.Hour
	// refusedRest is the rest of a target that had no room.
	refusedRest = 100 * time.Millisecond
	// failurePenalty is what each failure in a row adds to the expected wait:
	// others go first, but where all fail one is still tried.
	failurePenalty = 60 * time.Millisecond
	mostPenalty    = 8
)

// pace is what calls showed of a service.
type pace struct {
	engine bool // its requests have prompts
	curve  curve
	plain  time.Duration
	hold   time.Duration // of a slot of an engine, by one call
	prompt float64       // mean of the prompts sent, in tokens
}

const (
	// paceShare is the weight of a new sample in the time of plain calls.
	paceShare = 0.05
	// promptShare is the weight of one more request in the mean of the prompts.
	promptShare = 0.02
	// slowShare is the weight of a call in a target's own pace, and slowMost
	// bounds a single sample, as one stall is not a slow target.
	slowShare = 0.15
	slowMost  = 6
)

// Started notes the first event of a call after the wait d.
func (t *Table) Started(x *Target, c Choice, p Prompt, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.work[c.Rank] -= c.Miss
	s := t.pace(x.Service)
	if p.Tokens == 0 {
		if c.Cold {
			return
		}
		s.plain += time.Duration(paceShare * float64(min(d, slowMost*s.plain)-s.plain))
	} else {
		s.engine = true
		if !c.Cold {
			s.curve.learn(c.Ahead, c.Miss, max(d-s.batchDelay(max(x.Slots, 1), c.Busy), 0))
		}
	}
	ratio := min(float64(d)*x.slow/float64(max(c.Expected, time.Millisecond)), slowMost)
	x.slow = max(x.slow+slowShare*(ratio-x.slow), 0.5)
}

// gapShare is the weight of one more event in a target's gap.
const gapShare = 0.1

// Passed notes that events of a stream came after the pause d.
func (t *Table) Passed(now time.Time, x *Target, events int, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d /= time.Duration(max(events, 1))
	if x.gapAt.IsZero() || now.Sub(x.gapAt) > gapFade {
		x.gap = d
	}
	x.gap += time.Duration(gapShare * float64(d-x.gap))
	x.gapAt = now
}

// Done notes the end of a call; first is the wait that Started was called with, 0
// if it was not.
func (t *Table) Done(now time.Time, x *Target, c Choice, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pace(x.Service); first > 0 && p.engine {
		held := now.Sub(c.sent) - first + c.Own // without the wait for the slot
		p.hold += time.Duration(paceShare * float64(held-p.hold))
	}
	x.calls--
	x.tokens -= c.Held
	if first == 0 {
		x.work[c.Rank] -= c.Miss
	}
}

// Served notes an answer that a target gave as it should.
func (t *Table) Served(x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures, x.unreached, x.rest = 0, 0, time.Time{}
}

// Unreached notes that a target took no connection: it has crashed or its
// host is cut off.
func (t *Table) Unreached(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := unreachedRest << min(x.unreached, 3)
	x.unreached++
	x.rest = later(x.rest, now.Add(min(d, mostRest)))
}

// Failed notes a failure of the target's own, or an answer that was lost.
func (t *Table) Failed(x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures = min(x.failures+1, mostPenalty)
}

// Refused notes that a target had no room.
func (t *Table) Refused(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.rest = later(x.rest, now.Add(refusedRest))
}

// Closed notes for how long a target wants nothing more of this node. An answer to a
// request that was sent before doesn't end that.
func (t *Table) Closed(now time.Time, x *Target, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.closed = later(x.closed, now.Add(min(d, mostClosed)))
}

// Replaced notes that another incarnation answered at a target's address.
func (t *Table) Replaced(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.gone.IsZero() {
		x.gone = now.Add(-goneUse)
		t.slots = nil
	}
}
