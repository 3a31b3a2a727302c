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

// Started notes the first event of a call after the wait d.
func (t *Table) Started(x *Target, c Choice, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.work = max(x.work-c.Miss, 0)
	_ = d
}

// Done notes the end of a call; started tells whether Started was called.
func (t *Table) Done(x *Target, c Choice, p Prompt, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.calls--
	x.tokens -= p.Tokens + p.Output
	if !started {
		x.work = max(x.work-c.Miss, 0)
	}
}

// Said notes the load that a target reported.
func (t *Table) Said(x *Target, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.load, x.loadCalls = l, x.calls
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
