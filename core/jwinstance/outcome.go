package jwinstance

import "time"

const (
	// silentRest is how long a target that could not be reached is left alone;
	// a registration made since ends the rest sooner.
	silentRest = 4 * time.Second
	// failRest is the first rest of a target that answers with failures; it
	// doubles with each further one up to silentRest.
	failRest = 100 * time.Millisecond
)

// pace is what calls showed of a service.
type pace struct {
	engine      bool    // its requests have prompts
	tokensPerMS float64 // prompt tokens that a target reads in a millisecond
	plain       time.Duration
}

const (
	// paceShare is the weight of a new sample in what calls showed.
	paceShare = 0.05
	// leastSample is the number of prompt tokens from which a first event
	// tells the rate at which they are read.
	leastSample = 1500
	// slowShare is the weight of a call in a target's own pace, and slowMost
	// bounds a single sample, as one stall is not a slow target.
	slowShare = 0.15
	slowMost  = 6
)

// Started notes the first event of a call after the wait d.
func (t *Table) Started(x *Target, c Choice, p Prompt, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.work = max(x.work-c.Miss, 0)
	s := t.pace(x.Service)
	if p.Tokens == 0 {
		if c.Cold {
			return
		}
		s.plain += time.Duration(paceShare * float64(min(d, slowMost*s.plain)-s.plain))
	} else {
		s.engine = true
		if n := c.Ahead + c.Miss; n >= leastSample && d > overhead && !c.Cold {
			rate := float64(n) / (float64(d-overhead) / float64(time.Millisecond))
			rate = min(max(rate, s.tokensPerMS/slowMost), s.tokensPerMS*slowMost)
			s.tokensPerMS += paceShare * (rate - s.tokensPerMS)
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

// Done notes the end of a call; started tells whether Started was called.
func (t *Table) Done(x *Target, c Choice, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.calls--
	x.tokens -= c.Held
	if !started {
		x.work = max(x.work-c.Miss, 0)
	}
}

// Served notes an answer that a target gave as it should.
func (t *Table) Served(x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures, x.rest = 0, time.Time{}
}

// Silent notes that a target could not be reached or broke off: it has
// probably crashed, and comes back cold.
func (t *Table) Silent(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures++
	x.rest = now.Add(silentRest)
	x.restBeat = x.Beat
}

// Failed notes an answer that was an error of the target's own.
func (t *Table) Failed(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.failures++
	if x.failures < 3 {
		return
	}
	d := failRest << min(x.failures-3, 5)
	x.rest = later(x.rest, now.Add(min(d, silentRest)))
	x.restBeat = 1 << 62
}

// Refused notes that a target had no room.
func (t *Table) Refused(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.rest = later(x.rest, now.Add(failRest))
	x.restBeat = 1 << 62
}

// Replaced notes that another incarnation answered at a target's address.
func (t *Table) Replaced(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.gone.IsZero() {
		x.gone = now.Add(-goneUse)
	}
}
