package jwinstance

import (
	"net/netip"
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
	p := t.pace(n.Service)
	p.prompt += promptShare * (float64(n.Prompt.Tokens) - p.prompt)
	t.place(now, x, n.Prompt)
	x.sent(now)
	if x.limit.Named {
		x.limit.bucket.Take()
	}
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
// regions would send far more than they take.
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
