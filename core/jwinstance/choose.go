package jwinstance

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// firstPlain is the time of a call to a plain service until calls have
	// shown it.
	firstPlain = 20 * time.Millisecond
	// slotDelay is what one more running request adds to the wait for the
	// first event, as prompts are read between the steps of the others.
	slotDelay = 500 * time.Microsecond
	// PaceWeight is what a millisecond of later events counts against one until
	// the first event: a caller who reads along does not wait for the last one,
	// but an answer that outlasts its deadline is lost whole.
	PaceWeight = 0.05
	// InterferenceWeight is what a millisecond that a running request is delayed by
	// counts.
	InterferenceWeight = 0.05
	// firstGap is the time between two events until calls have shown it, and
	// what an older one fades to.
	firstGap = 40 * time.Millisecond
	// gapFade is how long a measured gap counts.
	gapFade = 1500 * time.Millisecond
	// fullShare is the part of an engine's memory above which it preempts.
	fullShare = 0.85
	// fullDelay is what a preempted request waits.
	fullDelay = 500 * time.Millisecond
	// firstHold is how long a call takes a slot until calls have shown it: a second
	// at 32 slots is 30 ms for each that waits ahead.
	firstHold = time.Second
	// fetchShare is what a token that is fetched from another target costs
	// against one that is read.
	fetchShare = 0.25
	// farFetchShare is the same from another region: it saves the reading but
	// takes the way there and back.
	farFetchShare = 0.5
	// mostFetchCost is what a fetch counts while there is all the time until the
	// goal; 100 and 800 ms gave less over twelve days a site.
	mostFetchCost = 300 * time.Millisecond
	// leastFetch is the number of tokens from which a fetch pays its set-up.
	leastFetch = 256
)

// Need is a request that looks for a target.
type Need struct {
	Service  string
	Prompt   Prompt
	Priority int              // 0 is the most urgent
	Goal     time.Duration    // for the first event, 0 if there is none
	Events   int              // events of the answer at most
	Capacity int              // tokens of memory of a target, 0 if not known
	Homes    []string         // regions that may hold its prompt, all where empty
	WarmOnly bool             // cold targets are no use
	Exclude  map[string]bool  // targets that it was sent to already
	Apart    []netip.AddrPort // targets that it must not run on now
}

// Choice is the target that was found.
type Choice struct {
	Target   *Target
	Expected time.Duration  // until the first event
	Own      time.Duration  // of that, what reading the request's own prompt takes
	Cost     time.Duration  // Expected and what later events, its own and those of others, are delayed
	Miss     int            // prompt tokens that it has to read
	Ahead    int            // prompt tokens to be read there before
	Fetch    netip.AddrPort // a target that has parts which this one lacks, if valid
	Cold     bool
	Rank     int           // of its urgency
	Held     int           // tokens of memory that the request takes
	Calls    int           // of this node at the target before this one
	Busy     int           // of all nodes
	Age      time.Duration // of the registration that the choice rests on
	sent     time.Time
}

// Best returns the target of the region that will probably answer soonest and
// counts the request as sent there; ok is false if there is none. Every call
// with ok needs a Done.
func (t *Table) Best(now time.Time, n Need) (c Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok = t.best(now, n, false)
	if !ok {
		c, ok = t.best(now, n, true)
	}
	if !ok {
		return c, false
	}
	if !c.Fetch.IsValid() {
		// It may have dropped what it is taken to keep, and would read that
		// once more; what it still has isn't fetched.
		if other, held := t.holder(now, n, c.Target); held >= leastFetch {
			c.Fetch = other.Address
		}
	}
	x := c.Target
	c.Calls, c.Age = x.calls, now.Sub(x.seenAt)
	x.calls++
	c.sent = now
	c.Rank = rank(n.Priority)
	x.work[c.Rank] += c.Miss
	c.Held = n.Prompt.held()
	x.tokens += c.Held
	x.capacity = n.Capacity
	t.place(now, x, n.Prompt)
	x.sent(now)
	return c, true
}

// Look returns what Best would, without sending anything.
func (t *Table) Look(now time.Time, n Need) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.best(now, n, false)
}

// Wait returns how long a request without a prompt would wait at the best
// target of the region. Cold ones don't count: they look idle, and other
// regions would send far more than they bear.
func (t *Table) Wait(now time.Time, service string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.best(now, Need{Service: service, Priority: ranks, WarmOnly: true}, false)
	return c.Expected, ok
}

// Gap returns the time between two events at the target of the region that is
// quickest at them.
func (t *Table) Gap(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	least := time.Duration(0)
	for _, x := range t.targets {
		if x.Service != service || x.Region != t.Region || !t.usable(now, x, false) {
			continue
		}
		if d := x.gapNow(now); least == 0 || d < least {
			least = d
		}
	}
	return least
}

// Read returns how long a target of a service takes to read a prompt's own tokens
// and those ahead of them.
func (t *Table) Read(service string, ahead, own int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace(service).curve.read(ahead, own)
}

// MissIn returns the prompt tokens that a region's targets probably have to
// read for a request, and how many of them there are. What another target of the
// region holds is fetched from it.
func (t *Table) MissIn(now time.Time, region string, n Need) (miss, targets int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	miss = n.Prompt.Tokens
	list := t.subset(subsetKey{n.Service, region, t.Node})
	for _, x := range list {
		if !t.usable(now, x, false) {
			continue
		}
		targets++
		miss = min(miss, x.cache.missing(n.Prompt))
	}
	targets = targets * len(t.places[n.Service][region]) / max(len(list), 1)
	return miss + int(fetchShare*float64(n.Prompt.Tokens-miss)), targets
}

// best finds the choice; last admits targets that vanished a moment ago.
func (t *Table) best(now time.Time, n Need, last bool) (Choice, bool) {
	var found Choice
	p := t.pace(n.Service)
	t.missing = t.missing[:0]
	for _, x := range t.of(n.Service) {
		t.missing = append(t.missing, x.cache.missing(n.Prompt))
	}
	holder, most := t.holder(now, n, nil)
	list := t.of(n.Service)
	for _, i := range t.draw(now, n, list, last) {
		x := list[i]
		cold := now.Before(x.coldUntil)
		c := Choice{Target: x, Cold: cold, Miss: t.missing[i]}
		if held := n.Prompt.Tokens - c.Miss; most-held >= leastFetch && holder != x {
			c.Fetch = holder.Address
			share := fetchShare
			if holder.Region != t.Region {
				share = farFetchShare
			}
			c.Miss -= int(float64(most-held) * (1 - share))
		}
		b := x.busy(n.Priority)
		c.Ahead, c.Busy = b.work, b.calls
		c.Expected = p.expected(x, n, c.Miss, b)
		c.Own = time.Duration(float64(p.curve.read(0, c.Miss)) * x.slow)
		c.Cost = fetchCost(n, c) + c.Expected + time.Duration(x.failures)*failurePenalty + p.later(now, x, n, c.Miss, b)
		if found.Target == nil || c.Cost < found.Cost {
			found = c
		}
	}
	return found, found.Target != nil
}

// sampleSize is how many of the targets are compared, where so many nodes choose
// among them. All nodes see the same idle target, and were all compared, each would
// send there before it learns of the others: the more is reported of loads, and the sooner,
// the worse it gets. With this an idle target is among those of two nodes in the mean.
// Two at least are compared, as two are far better than one.
func sampleSize(targets, nodes int) int {
	const least, seenBy = 2, 2
	return max(seenBy*targets/max(nodes, 1), least)
}

// draw returns the places in a list of the targets that are compared: of those that
// may take the request sampleSize at random, and the one that keeps most of the
// prompt.
func (t *Table) draw(now time.Time, n Need, list []*Target, last bool) []int {
	t.drawn = t.drawn[:0]
	for i, x := range list {
		if x.Region != t.Region || !t.usable(now, x, last) || n.Exclude[x.ID] || slices.Contains(n.Apart, x.Address) {
			continue
		}
		if now.Before(x.coldUntil) && (n.WarmOnly || !t.coldRoom(now, x)) {
			continue
		}
		t.drawn = append(t.drawn, i)
	}
	if t.Nodes == nil || n.WarmOnly || len(t.drawn) == 0 {
		return t.drawn
	}
	most := sampleSize(len(t.places[n.Service][t.Region]), t.Nodes())
	if most >= len(t.drawn) {
		return t.drawn
	}
	keeps := 0
	for k, i := range t.drawn {
		if t.missing[i] < t.missing[t.drawn[keeps]] {
			keeps = k
		}
	}
	t.drawn[0], t.drawn[keeps] = t.drawn[keeps], t.drawn[0]
	first := 1
	if t.missing[t.drawn[0]] == n.Prompt.Tokens {
		first = 0 // nobody keeps anything
	}
	for k := first; k < first+most && k < len(t.drawn); k++ {
		j := k + t.Rand(len(t.drawn)-k)
		t.drawn[k], t.drawn[j] = t.drawn[j], t.drawn[k]
	}
	return t.drawn[:min(first+most, len(t.drawn))]
}

// fetchCost is what a fetch counts beside its time: the price of the memory
// moved, which is a twentieth of the worth of a prompt of some thousand tokens. It
// is saved while there is time to wait for the holder, and not near the goal,
// where an answer that comes late loses most of its worth.
func fetchCost(n Need, c Choice) time.Duration {
	spare := n.Goal/2 - c.Expected
	if !c.Fetch.IsValid() || spare <= 0 {
		return 0
	}
	return time.Duration(float64(mostFetchCost) * float64(spare) / float64(n.Goal/2))
}

// holder returns the target that holds most of the prompt that best was asked
// for, but for one, and how many tokens; one of another region only where it holds clearly more.
func (t *Table) holder(now time.Time, n Need, but *Target) (*Target, int) {
	var holder *Target
	most := 0
	if len(n.Prompt.Parts) == 0 {
		return nil, 0
	}
	for i, x := range t.of(n.Service) {
		held := n.Prompt.Tokens - t.missing[i]
		if x == but || held <= most {
			continue
		}
		if x.Region != t.Region {
			held -= leastFetch
			if len(n.Homes) > 0 && !slices.Contains(n.Homes, x.Region) {
				continue
			}
		}
		if held > most && x.gone.IsZero() && !now.Before(x.rest) {
			holder, most = x, held
		}
	}
	return holder, most
}

// load is what a target has to do, by the report of all nodes of the region.
type load struct {
	calls int // in flight
	work  int // prompt tokens to be read before a request
	held  int // tokens of memory
}

// busy returns the load of a target as a request of a priority meets it.
func (x *Target) busy(priority int) load {
	return load{
		x.calls + x.others.calls,
		x.work.before(priority) + x.others.work.before(priority),
		x.tokens + x.others.held,
	}
}

func (t *Table) usable(now time.Time, x *Target, last bool) bool {
	if x.Draining || t.evacuated[x.DataCentre] || now.Before(x.rest) {
		return false
	}
	if x.gone.IsZero() {
		return true
	}
	return last && now.Sub(x.gone) < goneUse
}

// coldRoom tells whether this node may send one more request to a cold target
// within a second.
func (t *Table) coldRoom(now time.Time, x *Target) bool {
	if t.Warmup == nil || t.Share == nil {
		return true
	}
	d, rate := t.Warmup(x.Service)
	if d == 0 || rate == 0 {
		return true
	}
	x.forgetSends(now)
	return float64(len(x.sends)+1) <= t.Share(x.Service, x.ID)
}

// mostSends bounds how many sends are remembered; no share of a cold target is
// as large.
const mostSends = 64

// sent remembers a send, also to a warm target: one that turns out to have
// gone cold has taken what it got within the last second.
func (x *Target) sent(now time.Time) {
	if len(x.sends) == mostSends {
		x.sends = append(x.sends[:0], x.sends[1:]...)
	}
	x.sends = append(x.sends, now)
}

func (x *Target) forgetSends(now time.Time) {
	old := 0
	for old < len(x.sends) && now.Sub(x.sends[old]) >= time.Second+50*time.Millisecond {
		old++
	}
	x.sends = append(x.sends[:0], x.sends[old:]...)
}

// expected returns the wait for the first event of an engine or the answer of
// a plain service.
func (p *pace) expected(x *Target, n Need, miss int, b load) time.Duration {
	slots := max(x.Slots, 1)
	if n.Prompt.Tokens == 0 && !p.engine {
		d := float64(p.plain) * max(1, float64(b.calls+1)/float64(slots))
		return time.Duration(d * x.slow)
	}
	d := p.curve.expect(b.work, miss) + p.crowd(slots, b.calls)
	return time.Duration(float64(d) * x.slow)
}

// crowd returns what the calls at an engine add to the wait for a first event: each
// that runs slows the steps of the batch, and of those beyond its slots each waits
// until one ends.
func (p *pace) crowd(slots, calls int) time.Duration {
	waiting := max(calls-slots+1, 0)
	return time.Duration(calls)*slotDelay + time.Duration(waiting)*p.hold/time.Duration(slots)
}

// later returns what counts beside the first event: the pace of the request's
// own events, and the delay of all that run there while its prompt is read.
func (p *pace) later(now time.Time, x *Target, n Need, miss int, b load) time.Duration {
	if n.Prompt.Tokens == 0 {
		return 0
	}
	d := PaceWeight * float64(n.Events) * float64(x.gapNow(now))
	d += InterferenceWeight * float64(b.calls) * float64(p.curve.read(0, miss))
	if n.Capacity > 0 && float64(b.held+n.Prompt.held()) > fullShare*float64(n.Capacity) {
		d += float64(fullDelay)
	}
	return time.Duration(d)
}

// gapNow returns the estimated time between two events.
func (x *Target) gapNow(now time.Time) time.Duration {
	gap, at := x.gap, x.gapAt
	if x.reportedGapAt.After(at) {
		gap, at = x.reportedGap, x.reportedGapAt
	}
	if at.IsZero() {
		return firstGap
	}
	if now.Sub(at) > 8*gapFade {
		return firstGap
	}
	fade := math.Exp(-float64(now.Sub(at)) / float64(gapFade))
	return firstGap + time.Duration(fade*float64(gap-firstGap))
}

// pace returns what calls showed of a service.
func (t *Table) pace(service string) *pace {
	if t.paces == nil {
		t.paces = make(map[string]*pace)
	}
	p := t.paces[service]
	if p == nil {
		p = &pace{plain: firstPlain, hold: firstHold}
		t.paces[service] = p
	}
	return p
}
