package jwpart

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwdelta"
	"jujubewheel/core/jwworkspace"
)

// ID identifies a part of a prompt.
type ID uint64

const (
	// strongPoints and weakPoints are what a crash counts against a part, see Suspect.Weak.
	strongPoints = 2
	weakPoints   = 1
	// pointsToBar is the number of points from which on a part is barred if no other part has as many,
	// and pointsToBarAll that from which on parts are barred that can't be told apart.
	pointsToBar    = 3 * strongPoints
	pointsToBarAll = 5 * strongPoints
	// simultaneous is the time between two crashes within which they count as one: targets that fail
	// together, such as those of one rack, have another cause than what they run.
	simultaneous = 100 * time.Millisecond
	// doubtfulAfter and harmlessAfter are how long a target must have been answering a request for its
	// crash to be probably, or certainly, not due to the request.
	doubtfulAfter = 500 * time.Millisecond
	harmlessAfter = 2 * time.Second
	// remember is how long a crash counts if no bar rests on it, and rememberBarred if one does.
	remember       = 10 * time.Minute
	rememberBarred = 24 * time.Hour
	// sameCrash is the time between two reports within which they are about one crash of an incarnation.
	// A target that has restarted may not have registered yet.
	sameCrash = time.Second
	// maxCrashes and maxSuspects limit the crashes remembered, and the suspects of each.
	maxCrashes  = 256
	maxSuspects = 128
)

// trialWaits are the times from the last crash of a barred part to its trials, each of which runs one
// request in the whole fleet. A part that has crashed targets in all of them stays barred.
var trialWaits = [...]time.Duration{4 * time.Second, time.Minute, 10 * time.Minute}

// Table holds the requests in flight, the crashes of targets, and the bars that follow from them. Its
// mutex guards it; no other lock is acquired while it is held. The zero value is ready to use.
type Table struct {
	mu       sync.Mutex
	inFlight map[netip.AddrPort]map[*Run]struct{}
	crashes  []*crash
	cleared  map[ID]clearance // of suspects of the crashes
	early    map[ID]time.Time // clearances that came before the crashes that they may be about
	known    recentParts      // served at this node
	points   map[ID]int       // of the suspects of the crashes, those that were not cleared since
	bars     map[ID]*Bar      // derived from the crashes and clearances by judge
	trials   map[ID]*Run      // in flight at this node
	changes  uint64           // number of the last change, see Update
	peers    jwdelta.Peers
}

// crash is the crash of one target.
type crash struct {
	incarnation string // of the target
	at          time.Time
	suspects    map[ID]Suspect
	number      uint64 // of its last change
}

// clearance is when a part was last shown to be harmless.
type clearance struct {
	at     time.Time
	number uint64 // of its last change
}

// Run is a request in flight at a target.
type Run struct {
	table   *Table
	parts   []ID
	homes   jwworkspace.Regions // regions that may hold its data, all if empty
	target  netip.AddrPort
	begunAt time.Time // of its answer, zero before that
}

// Bar says why requests with a part are not run.
type Bar struct {
	Part     ID
	Crashes  int       // of targets with the part
	Last     time.Time // the last one
	points   int
	evidence int  // of points, those before the first trial
	trials   int  // that ended in a crash
	tied     bool // it can't be told apart from another part
}

// trialAt returns when the part is tried again, and false if it no longer is. The first trial is for
// parts that were barred on little evidence.
func (b *Bar) trialAt() (time.Time, bool) {
	i := b.trials
	if b.evidence >= pointsToBarAll && !b.tied {
		i++
	}
	if i >= len(trialWaits) {
		return time.Time{}, false
	}
	return b.Last.Add(trialWaits[i]), true
}

// Begin records a request in flight at a target, and reports whether it may be sent there. It may not
// if one of its parts is barred, unless it is a trial, see Check, and no other one of that part is in
// flight. End must be called for each Run; a nil Run is that of a request without parts.
func (t *Table) Begin(now time.Time, parts []ID, target netip.AddrPort, homes jwworkspace.Regions, trial bool) (r *Run, ok bool) {
	if len(parts) == 0 {
		return nil, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r = &Run{table: t, parts: parts, target: target, homes: homes}
	barred := t.barredOf(parts)
	if len(barred) > 0 {
		if !trial || !t.trialDue(now, barred) {
			return nil, false
		}
		if t.trials == nil {
			t.trials = make(map[ID]*Run)
		}
		t.trials[barred[0]] = r
	}
	if t.inFlight == nil {
		t.inFlight = make(map[netip.AddrPort]map[*Run]struct{})
	}
	runs := t.inFlight[target]
	if runs == nil {
		runs = make(map[*Run]struct{})
		t.inFlight[target] = runs
	}
	runs[r] = struct{}{}
	return r, true
}

// barredOf returns those of the parts that are barred.
func (t *Table) barredOf(parts []ID) (barred []ID) {
	for _, p := range parts {
		if t.bars[p] != nil {
			barred = append(barred, p)
		}
	}
	return barred
}

// trialDue reports whether a trial may run now with a request of which these parts are barred. A request
// with several would tell nothing of each.
func (t *Table) trialDue(now time.Time, barred []ID) bool {
	if len(barred) != 1 || t.trials[barred[0]] != nil {
		return false
	}
	at, ok := t.bars[barred[0]].trialAt()
	return ok && !now.Before(at)
}

// Check returns the bar of one of the parts, and when a request with them is worth sending again. It
// returns nil if one may run, and then whether that is the trial of a part. owns reports whether this
// node is the one of the fleet that runs the trials of a part with such a request. The early trial runs
// one request in the fleet, so that no caller should come back for it.
func (t *Table) Check(now time.Time, parts []ID, owns func(ID) bool) (b *Bar, trial bool, retryAfter time.Duration) {
	b, due, retryAfter := t.check(now, parts)
	if due && owns(b.Part) {
		return nil, true, 0
	}
	return b, false, retryAfter
}

// check is Check without regard to who runs the trials; due is whether one may run now.
func (t *Table) check(now time.Time, parts []ID) (b *Bar, due bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	barred := t.barredOf(parts)
	if len(barred) == 0 {
		return nil, false, 0
	}
	for _, p := range barred {
		bar := t.bars[p]
		until, ok := bar.trialAt()
		if !ok {
			until = bar.Last.Add(rememberBarred)
		}
		if b == nil || until.Sub(now) > retryAfter {
			b, retryAfter = bar, until.Sub(now)
		}
	}
	c := *b
	return &c, t.trialDue(now, barred), max(retryAfter, trialWaits[1])
}

// Bars returns the number of barred parts.
func (t *Table) Bars() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.bars)
}

// Begun records that the answer of a request has begun.
func (r *Run) Begun(now time.Time) {
	if r == nil {
		return
	}
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.begunAt.IsZero() {
		r.begunAt = now
	}
}

// End removes a request in flight. served means that the target has answered it completely. End returns
// the parts of which that ended the bar.
func (r *Run) End(now time.Time, served bool) (released []ID) {
	if r == nil {
		return nil
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight[r.target], r)
	if len(t.inFlight[r.target]) == 0 {
		delete(t.inFlight, r.target)
	}
	for _, p := range r.parts {
		if t.trials[p] == r {
			delete(t.trials, p)
		}
	}
	if !served {
		return nil
	}
	t.known.add(now, r.parts)
	before := t.bars
	if _, contested := t.clearAll(now, now, r.parts); contested {
		t.judge(now)
	}
	return missing(before, t.bars)
}

// clearAll records that parts were harmless at a time. It reports whether that changed anything, and
// whether the bars may depend on it. A clearance that ends no suspicion is dropped: nodes date it by
// when they received it, and would report it to each other forever.
func (t *Table) clearAll(now, at time.Time, parts []ID) (changed, contested bool) {
	for _, p := range parts {
		if t.points[p] == 0 || !t.endsSuspicion(p, at) {
			continue
		}
		contested = contested || t.isContested(p)
		t.setCleared(now, p, at)
		t.recount(p)
		changed = true
	}
	return changed, contested
}

// recount counts the points of one part anew; the order of its crashes matters only for bars.
func (t *Table) recount(p ID) {
	points := 0
	for _, c := range t.crashes {
		if t.isSuspect(c, p) {
			points += c.suspects[p].points()
		}
	}
	if points == 0 {
		delete(t.points, p)
		return
	}
	t.points[p] = points
}

// endsSuspicion reports whether a part is a suspect of a crash no later than a time.
func (t *Table) endsSuspicion(p ID, at time.Time) bool {
	for _, c := range t.crashes {
		if t.isSuspect(c, p) && !c.at.After(at) {
			return true
		}
	}
	return false
}

// Crashed records that an incarnation of a target crashed, and returns the parts that this bars. It must
// be called before End is called for the requests that failed.
func (t *Table) Crashed(now time.Time, target netip.AddrPort, incarnation string) (barred []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]*Run, 0, len(t.inFlight[target]))
	var harmless []ID
	for r := range t.inFlight[target] {
		if !r.begunAt.IsZero() && now.Sub(r.begunAt) >= harmlessAfter {
			harmless = append(harmless, r.parts...)
			continue
		}
		runs = append(runs, r)
	}
	// Those whose answers have begun last come first, after those that have not begun.
	slices.SortFunc(runs, func(a, b *Run) int {
		if a.begunAt.IsZero() != b.begunAt.IsZero() {
			if a.begunAt.IsZero() {
				return -1
			}
			return 1
		}
		return b.begunAt.Compare(a.begunAt)
	})
	var suspects []Suspect
	for _, r := range runs {
		for _, p := range r.parts {
			if !slices.Contains(harmless, p) {
				weak := t.known.has(p) || !r.begunAt.IsZero() && now.Sub(r.begunAt) >= doubtfulAfter
				suspects = append(suspects, Suspect{Part: p, Homes: r.homes, Weak: weak})
			}
		}
	}
	if len(suspects) == 0 {
		return nil
	}
	before := t.bars
	t.addCrash(now, now, incarnation, suspects)
	t.clearAll(now, now, harmless)
	t.judge(now)
	return missing(t.bars, before)
}

// addCrash adds suspects of a crash and reports whether any of them is new.
func (t *Table) addCrash(now, at time.Time, incarnation string, suspects []Suspect) (changed bool) {
	c := t.crashOf(incarnation, at)
	if c == nil {
		if len(t.crashes) >= maxCrashes {
			t.evict()
		}
		c = &crash{incarnation: incarnation, at: at, suspects: make(map[ID]Suspect, len(suspects))}
		t.crashes = append(t.crashes, c)
	}
	for _, x := range suspects {
		old, known := c.suspects[x.Part]
		if !known && len(c.suspects) >= maxSuspects {
			continue
		}
		if !known {
			t.applyEarly(now, x.Part)
			old = x
		}
		merged := old.merge(x)
		if !known || merged.Weak != old.Weak || len(merged.Homes) != len(old.Homes) {
			c.suspects[x.Part] = merged
			changed = true
		}
	}
	if changed {
		c.number = t.nextChange(now)
	}
	return changed
}

// crashOf returns the crash of an incarnation at a time, or nil if it is not known.
func (t *Table) crashOf(incarnation string, at time.Time) *crash {
	for _, c := range t.crashes {
		if c.incarnation == incarnation && c.at.Sub(at).Abs() <= sameCrash {
			return c
		}
	}
	return nil
}

// applyEarly applies a clearance that came before the crash that it may be about.
func (t *Table) applyEarly(now time.Time, p ID) {
	at, ok := t.early[p]
	if !ok {
		return
	}
	delete(t.early, p)
	if at.After(t.cleared[p].at) {
		t.setCleared(now, p, at)
	}
}

func (t *Table) setCleared(now time.Time, p ID, at time.Time) {
	if t.cleared == nil {
		t.cleared = make(map[ID]clearance)
	}
	t.cleared[p] = clearance{at: at, number: t.nextChange(now)}
}

// evict removes the oldest crash on which no bar rests, or the oldest one.
func (t *Table) evict() {
	oldest, resting := -1, false
	for i, c := range t.crashes {
		rests := t.supportsBar(c)
		if oldest < 0 || resting && !rests || resting == rests && c.at.Before(t.crashes[oldest].at) {
			oldest, resting = i, rests
		}
	}
	t.crashes = slices.Delete(t.crashes, oldest, oldest+1)
}

// supportsBar reports whether a suspect of a crash is barred.
func (t *Table) supportsBar(c *crash) bool {
	for p := range t.bars {
		if _, ok := c.suspects[p]; ok {
			return true
		}
	}
	return false
}

// missing returns the keys of a that b is missing.
func missing(a, b map[ID]*Bar) []ID {
	var list []ID
	for p := range a {
		if b[p] == nil {
			list = append(list, p)
		}
	}
	slices.Sort(list)
	return list
}
