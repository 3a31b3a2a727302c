package jwinstance

import (
	"net/netip"
	"time"
)

const (
	// firstPlain is the time of a call to a plain service until calls have
	// shown it.
	initialPlainLatency = 20 * time.Millisecond
	// slotDelay is what one more running request adds to the wait for the
	// first event, as prompts are read between the steps of the others.
	runningCallDelay = 500 * time.Microsecond
	// PaceWeight is what a millisecond of later events counts against one until
	// the first event: a caller who reads along does not wait for the last one,
	// but an answer that outlasts its deadline is lost whole.
	PaceWeight = 0.05
	// InterferenceWeight is what a millisecond that a running request is delayed by
	// counts.
	InterferenceWeight = 0.05
	// firstGap is the time between two events until calls have shown it, and
	// what an older one fades to.
	initialGap = 40 * time.Millisecond
	// gapFade is how long a measured gap counts.
	gapDecay = 1500 * time.Millisecond
	// fullShare is the part of an engine's memory above which it preempts.
	preemptionThreshold = 0.85
	// fullDelay is what a preempted request waits.
	preemptionDelay = 500 * time.Millisecond
	// firstHold is how long a call takes a slot until calls have shown it: a second
	// at 32 slots is 30 ms for each that waits ahead.
	initialSlotTime = time.Second
	// fetchShare is what a token that is fetched from another target costs
	// against one that is read.
	fetchCostRatio = 0.25
	// farFetchShare is the same from another region: it saves the reading but
	// takes the way there and back.
	remoteFetchCostRatio = 0.5
	// mostFetchCost is what a fetch counts while there is all the time until the
	// goal; 100 and 800 ms gave less over twelve days a site.
	maxFetchCost = 300 * time.Millisecond
	// leastFetch is the number of tokens from which a fetch pays its set-up.
	minFetchTokens = 256
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
	Target        *Target
	Expected      time.Duration  // until the first event
	Own           time.Duration  // of that, what reading the request's own prompt takes
	Cost          time.Duration  // Expected and what later events, its own and those of others, are delayed
	Miss          int            // prompt tokens that it has to read
	Ahead         int            // prompt tokens to be read there before
	Fetch         netip.AddrPort // a target that has parts which this one lacks, if valid
	Cold          bool
	PriorityLevel int           // of its urgency
	MemoryTokens  int           // tokens of memory that the request takes
	Calls         int           // of this node at the target before this one
	TotalCalls    int           // of all nodes
	Age           time.Duration // of the registration that the choice rests on
	sentAt        time.Time
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
		if other, held := t.largestHolder(now, n, c.Target); held >= minFetchTokens {
			c.Fetch = other.Address
		}
	}
	x := c.Target
	c.Calls, c.Age = x.calls, now.Sub(x.seenAt)
	x.calls++
	c.sentAt = now
	c.PriorityLevel = priorityLevel(n.Priority)
	x.unread[c.PriorityLevel] += c.Miss
	c.MemoryTokens = n.Prompt.memoryTokens()
	x.memoryInUse += c.MemoryTokens
	x.capacity = n.Capacity
	stats := t.statsOf(n.Service)
	stats.meanPrompt += promptWeight * (float64(n.Prompt.Tokens) - stats.meanPrompt)
	t.recordPlacement(now, x, n.Prompt)
	x.recordSend(now)
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
	c, ok := t.best(now, Need{Service: service, Priority: priorityLevels, WarmOnly: true}, false)
	return c.Expected, ok
}

// Gap returns the time between two events at the target of the region that is
// quickest at them.
func (t *Table) Gap(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := time.Duration(0)
	for _, x := range t.targets {
		if x.Service != service || x.Region != t.Region || !t.usable(now, x, false) {
			continue
		}
		if d := x.estimatedGap(now); shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// Read returns how long a target of a service takes to read a prompt's own tokens
// and those ahead of them.
func (t *Table) Read(service string, ahead, own int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statsOf(service).firstEvent.readTime(ahead, own)
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
		miss = min(miss, x.cache.missingTokens(n.Prompt))
	}
	targets = targets * len(t.byRegion[n.Service][region]) / max(len(list), 1)
	return miss + int(fetchCostRatio*float64(n.Prompt.Tokens-miss)), targets
}

// best finds the choice; last admits targets that vanished a moment ago.
func (t *Table) best(now time.Time, n Need, allowGone bool) (Choice, bool) {
	var choice Choice
	stats := t.statsOf(n.Service)
	t.missingTokens = t.missingTokens[:0]
	for _, x := range t.knownTargets(n.Service) {
		t.missingTokens = append(t.missingTokens, x.cache.missingTokens(n.Prompt))
	}
	holder, maxHeld := t.largestHolder(now, n, nil)
	list := t.knownTargets(n.Service)
	for _, i := range t.selectCompared(now, n, list, allowGone) {
		x := list[i]
		cold := now.Before(x.coldUntil)
		c := Choice{Target: x, Cold: cold, Miss: t.missingTokens[i]}
		if held := n.Prompt.Tokens - c.Miss; maxHeld-held >= minFetchTokens && holder != x {
			c.Fetch = holder.Address
			share := fetchCostRatio
			if holder.Region != t.Region {
				share = remoteFetchCostRatio
			}
			c.Miss -= int(float64(maxHeld-held) * (1 - share))
		}
		l := x.loadFor(n.Priority)
		c.Ahead, c.TotalCalls = l.unreadAhead, l.calls
		c.Expected = stats.expected(x, n, c.Miss, l)
		c.Own = time.Duration(float64(stats.firstEvent.readTime(0, c.Miss)) * x.slowdown)
		c.Cost = fetchCost(n, c) + c.Expected + time.Duration(x.failures)*failurePenalty + stats.streamCost(now, x, n, c.Miss, l)
		if choice.Target == nil || c.Cost < choice.Cost {
			choice = c
		}
	}
	return choice, choice.Target != nil
}

// load is what a target has to do, by the report of all nodes of the region.
type load struct {
	calls        int // in flight
	unreadAhead  int // prompt tokens to be read before a request
	memoryTokens int // tokens of memory
}

// busy returns the load of a target as a request of a priority meets it.
func (x *Target) loadFor(priority int) load {
	return load{
		x.calls + x.othersLoad.calls,
		x.unread.upTo(priority) + x.othersLoad.unread.upTo(priority),
		x.memoryInUse + x.othersLoad.memoryTokens,
	}
}
