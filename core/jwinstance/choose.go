package jwinstance

import (
	"net/netip"
	"time"
)

const (
	// initialPlainLatency is the assumed latency of calls to a plain service until some have been
	// measured.
	initialPlainLatency = 20 * time.Millisecond
	// runningCallDelay is what each running request adds to the wait for the first event, as
	// prompts are read between the decoding steps of the others.
	runningCallDelay = 500 * time.Microsecond
	// LaterEventWeight is the cost of a millisecond of delay in later events relative to a
	// millisecond of delay until the first event. A caller who reads along does not wait for the
	// last event, but an answer that exceeds its deadline is lost entirely.
	LaterEventWeight = 0.05
	// InterferenceWeight is the relative cost of a millisecond by which another running request is
	// delayed.
	InterferenceWeight = 0.05
	// overloadInterferenceWeight is the same under overload control. Reading a prompt takes a step of
	// every running request, so that a target that reads many of them makes all of its streams late.
	overloadInterferenceWeight = 0.3
	// initialGap is the assumed time between two events until it has been measured; the estimate
	// returns to it as a measurement gets older.
	initialGap = 40 * time.Millisecond
	// gapDecay is the time constant with which a measured gap loses its weight.
	gapDecay = 1500 * time.Millisecond
	// preemptionThreshold is the fraction of an engine's memory above which it preempts requests.
	preemptionThreshold = 0.85
	// preemptionDelay is the time that a preempted request waits.
	preemptionDelay = 500 * time.Millisecond
	// initialSlotTime is the assumed time that a call occupies a slot until it has been measured.
	// One second at 32 slots adds about 30 ms of wait for each call that waits ahead.
	initialSlotTime = time.Second
	// fetchCostRatio is the cost of a token fetched from another target relative to one that is
	// read.
	fetchCostRatio = 0.25
	// remoteFetchCostRatio is the same for a target of another region: fetching saves the reading
	// but needs a round trip between the regions.
	remoteFetchCostRatio = 0.5
	// maxFetchCost is the extra cost of a fetch while all of the time until the goal is left. With
	// 100 ms and with 800 ms callers were served worse.
	maxFetchCost = 300 * time.Millisecond
	// minFetchTokens is the number of tokens from which a fetch is worth its setup.
	minFetchTokens = 256
)

// Need describes a request for which a target is wanted.
type Need struct {
	Service        string
	Prompt         Prompt
	Priority       int              // 0 is the most urgent
	FirstEventGoal time.Duration    // desired time to the first event, 0 if there is none
	GapGoal        time.Duration    // desired longest time between two events, 0 if there is none
	Events         int              // maximum number of events of the answer
	Capacity       int              // memory of a target in tokens, 0 if not known
	Homes          []string         // regions that may hold the prompt's data; all if empty
	ByPriority     bool             // overload control applies, and targets admit requests by priority
	WarmOnly       bool             // leave out cold targets, and those that announce a limit
	Exclude        map[string]bool  // IDs of targets that the request was already sent to
	AvoidAddresses []netip.AddrPort // addresses of targets that it must not run on now
	OnlyWithRoom   bool             // leave out targets of whose room this node's part is used up
	Pinned         bool             // only targets of Version may run it
	Version        string           // see Pinned
	Without        []string         // versions whose targets may not run it
}

// Choice is a chosen target, with the estimates on which the choice rests.
type Choice struct {
	Target        *Target
	Expected      time.Duration  // expected time until the first event
	Error         time.Duration  // mean absolute error of such estimates
	Load          LoadBand       // band in which Error was measured
	LoadAge       time.Duration  // age of the last load report of the target, 0 without one
	Rest          time.Duration  // expected time from the first event to the end of the answer, 0 while not known
	Events        int            // maximum number of events of the answer
	Gap           time.Duration  // expected time between two events
	Queue         time.Duration  // the part of Expected that the work before the request takes
	OwnReadTime   time.Duration  // the part of Expected that reading the request's own prompt takes
	Cost          time.Duration  // Expected plus penalties and the weighted delay of later events, its own and those of others
	MissTokens    int            // prompt tokens that the target has to read or, weighted, to fetch
	AheadTokens   int            // prompt tokens of other requests that the target reads before
	FetchFrom     netip.AddrPort // a target to fetch missing parts from, if valid
	Cold          bool           // whether the target is cold
	ColdLeft      time.Duration  // for how long it stays cold
	ColdRate      float64        // requests a second that this node may send to it while it is cold
	ColdSends     int            // of this node to it within the last second, with this one, while it is cold
	PriorityLevel int            // see Need.level
	MemoryTokens  int            // memory that the request occupies, in tokens
	Calls         int            // calls of this node in flight at the target, without this one
	TotalCalls    int            // the same for all nodes
	CallsAhead    int            // of TotalCalls, those that get a slot before the request
	ByPriority    bool           // see Need.ByPriority
	Age           time.Duration  // time since the registration of the target was last read
	maxRest       time.Duration  // the same for the maximum number of events
	sentAt        time.Time
}

// Best returns the target of the region that is expected to answer soonest and counts the request
// as sent there. It returns false if there is no usable target. Done must be called for each Choice
// returned with true.
func (t *Table) Best(now time.Time, n Need) (c Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok = t.best(now, n, false)
	if !ok && !t.anyUsable(now, n) {
		c, ok = t.best(now, n, true)
	}
	if !ok {
		return c, false
	}
	if !c.FetchFrom.IsValid() {
		// The target may have evicted parts that it is assumed to keep, and would have to read them
		// again. With this address it can fetch them; parts that it still has are not fetched.
		if other, held := t.largestHolder(now, n, c.Target); held >= minFetchTokens {
			c.FetchFrom = other.Address
		}
	}
	x := c.Target
	c.Calls, c.Age = x.calls, now.Sub(x.seenAt)
	if !x.paceAt.IsZero() {
		c.LoadAge = now.Sub(x.paceAt)
	}
	t.addCalls(x, 1)
	c.sentAt = now
	c.PriorityLevel = n.level()
	x.unread[c.PriorityLevel] += c.MissTokens
	if c.ByPriority {
		x.callsByLevel[c.PriorityLevel]++
	}
	c.MemoryTokens = n.Prompt.memoryTokens()
	x.memoryInUse += c.MemoryTokens
	x.capacity = n.Capacity
	stats := t.statsOf(n.Service)
	stats.calls++
	stats.meanPrompt += promptWeight * (float64(n.Prompt.Tokens) - stats.meanPrompt)
	t.recordPlacement(now, x, n.Prompt)
	x.recordSend(now)
	if c.Cold {
		c.ColdLeft, c.ColdSends = max(x.coldUntil.Sub(now), 0), x.sendsWithinSecond(now)
		if t.ColdRate != nil {
			c.ColdRate = t.ColdRate(x.Service, x.ID)
		}
	}
	if x.limit.Announced {
		x.limit.bucket.Take()
	}
	return c, true
}

// anyUsable reports whether a registered target may take a request once it has room.
func (t *Table) anyUsable(now time.Time, n Need) bool {
	if !n.OnlyWithRoom {
		return false // the request would have got it
	}
	n.OnlyWithRoom = false
	_, ok := t.best(now, n, false)
	return ok
}

// Peek returns what Best would return among registered targets, without counting a request.
func (t *Table) Peek(now time.Time, n Need) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.best(now, n, false)
}

// Wait returns how long a request without a prompt would wait at the best target of the region.
// Cold targets don't count: they look idle, and other regions would send them far more than they
// can handle.
func (t *Table) Wait(now time.Time, service string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.best(now, Need{Service: service, Priority: priorityLevels, WarmOnly: true}, false)
	return c.Expected, ok
}

// Gap returns the shortest estimated time between two events among the usable targets of a service
// in the region, or 0 if there are none.
func (t *Table) Gap(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := time.Duration(0)
	t.buildIndex()
	for _, x := range t.byRegion[service][t.Region] {
		if !t.usable(now, x, false) {
			continue
		}
		if d := x.estimatedGap(now); shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// ReadTime returns how long a target of a service takes to read own prompt tokens of a request
// after ahead tokens of others.
func (t *Table) ReadTime(service string, ahead, own int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statsOf(service).firstEvent.readTime(ahead, own)
}

// Queue returns the part of a wait for the first event of a request without a prompt that the work
// before it takes.
func (t *Table) Queue(service string, wait time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(wait-t.statsOf(service).firstEvent.predict(0, 0), 0)
}

// MissIn returns an estimate of the prompt tokens that the targets of a region have to read for a
// request, and the estimated number of usable targets there. Tokens that another target of that
// region has cached are fetched from it, and count by fetchCostRatio.
func (t *Table) MissIn(now time.Time, region string, n Need) (miss, targets int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	miss = n.Prompt.Tokens
	list := t.subset(subsetKey{n.Service, region, t.Node})
	for _, x := range list {
		if !t.usable(now, x, false) || !n.fits(x) {
			continue
		}
		targets++
		miss = min(miss, x.cache.missingTokens(n.Prompt))
	}
	targets = targets * len(t.byRegion[n.Service][region]) / max(len(list), 1)
	return miss + int(fetchCostRatio*float64(n.Prompt.Tokens-miss)), targets
}

// best returns the target with the lowest cost. With allowGone it also considers targets that
// vanished within goneGracePeriod.
func (t *Table) best(now time.Time, n Need, allowGone bool) (Choice, bool) {
	var choice Choice
	stats := t.statsOf(n.Service)
	t.missingTokens = t.missingTokens[:0]
	list := t.listFor(n)
	for _, x := range list {
		t.missingTokens = append(t.missingTokens, x.cache.missingTokens(n.Prompt))
	}
	holder, maxHeld := t.largestHolder(now, n, nil)
	for _, i := range t.selectCompared(now, n, list, allowGone) {
		x := list[i]
		cold := x.isCold(now)
		c := Choice{Target: x, Cold: cold, MissTokens: t.missingTokens[i]}
		if held := n.Prompt.Tokens - c.MissTokens; maxHeld-held >= minFetchTokens && holder != x {
			c.FetchFrom = holder.Address
			ratio := fetchCostRatio
			if holder.Region != t.Region {
				ratio = remoteFetchCostRatio
			}
			c.MissTokens -= int(float64(maxHeld-held) * (1 - ratio))
		}
		l := x.loadFor(n)
		c.AheadTokens, c.TotalCalls, c.CallsAhead, c.ByPriority = l.unreadAhead, l.calls, l.callsAhead, n.ByPriority
		slowdown := x.slowdownAt(now)
		c.Expected = stats.expected(x, n, c.MissTokens, l, slowdown)
		c.Queue = time.Duration(float64(stats.queue(x, l)) * slowdown)
		c.OwnReadTime = time.Duration(float64(stats.firstEvent.readTime(0, c.MissTokens)) * slowdown)
		if n.ByPriority {
			c.scale(x.expectedPace(now))
		}
		c.Cost = fetchCost(n, c) + c.Expected + time.Duration(x.failures)*failurePenalty + stats.streamCost(now, x, n, c.MissTokens, l)
		if choice.Target == nil || c.Cost < choice.Cost {
			choice = c
		}
	}
	if choice.Target == nil {
		return choice, false
	}
	choice.Events = n.Events
	choice.Gap = choice.Target.estimatedGap(now)
	if stats.gap > 0 {
		choice.maxRest = time.Duration(n.Events) * choice.Target.gapOr(now, stats.gap)
	}
	choice.Rest = time.Duration(stats.restRatios.band(n.Events).value(now) * float64(choice.maxRest))
	choice.Load = bandOf(max(choice.Target.Slots, 1), choice.CallsAhead)
	choice.Error = stats.errorOf(choice.Load)
	return choice, true
}

// scale multiplies the times until the first event by a target's pace.
func (c *Choice) scale(pace float64) {
	for _, d := range []*time.Duration{&c.Expected, &c.Queue, &c.OwnReadTime} {
		*d = time.Duration(float64(*d) * pace)
	}
}

// load is the load of a target from all nodes of the region.
type load struct {
	calls        int // in flight
	callsAhead   int // of these, those that get a slot before a given request
	unreadAhead  int // prompt tokens to be read before a given request
	memoryTokens int // memory in use, in tokens
}

// loadFor returns the load of a target as seen by a request.
func (x *Target) loadFor(n Need) load {
	level := n.level()
	l := load{
		calls:        x.calls + x.othersLoad.calls,
		unreadAhead:  x.unread.upTo(level) + x.othersLoad.unread.upTo(level),
		memoryTokens: x.memoryInUse + x.othersLoad.memoryTokens,
	}
	l.callsAhead = l.calls
	for i := level + 1; n.ByPriority && i < priorityLevels; i++ {
		l.callsAhead -= x.callsByLevel[i] + x.othersLoad.callsByLevel[i]
	}
	return l
}
