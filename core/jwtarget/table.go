package jwtarget

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// The values that a Table takes where its own fields are zero.
const (
	DefaultSubset         = 16
	DefaultLeavingTTL     = 10 * time.Minute
	DefaultInitialBackoff = time.Second
	DefaultMaxBackoff     = time.Minute
	DefaultCallTime       = time.Second
)

// averageWeight is the weight of one finished call in the running averages.
const averageWeight = 0.2

// Table holds the targets of one region as one node knows them.
//
// One mutex guards all of it and is held only for short loops over the targets
// of one service; no other lock is taken under it. Fields are set before use;
// all methods may be called at the same time.
type Table struct {
	Node           string        // name of this node, which decides its subset
	Region         string        // targets of other regions are not kept
	Subset         int           // targets used for each service, negative for all
	LeavingTTL     time.Duration // how long a word of leaving outlives a list that disagrees
	InitialBackoff time.Duration // rest of a target after one failed call; doubles with each further one
	MaxBackoff     time.Duration // longest rest

	mu       sync.Mutex
	targets  map[netip.AddrPort]*entry
	services map[string]*service
	leaving  map[netip.AddrPort]departure
}

// service is the part of a table that belongs to one service.
type service struct {
	all            []*entry                 // sorted by address
	subset         []*entry                 // this node's subset that may get work, sorted by address
	available      int                      // those of all that do not leave
	callTime       time.Duration            // usual time of a call, without its wait for a slot
	callTimeByKind map[string]time.Duration // the same by kind of call
	tokenInterval  time.Duration            // usual time between tokens over the targets
}

// entry is what the table knows of one target.
type entry struct {
	target             Target
	key                uint64
	load               Load
	inFlight           int         // calls of this node in flight
	startedSinceReport []time.Time // when those of them began that the last report has not seen
	endedSinceReport   []time.Time // when calls ended that the last report still counts
	slowdown           float64     // time taken by calls here over the time expected, 0 before the first
	slowdownUpdated    time.Time   // when the pace was last learnt
	failures           int
	backoffUntil       time.Time // gets no work until then
	probing            bool
}

// Set takes over the platform's list, which lags. Targets that stay keep their
// load and calls in flight; a target known to leave is not taken back because
// the list still calls it live.
func (t *Table) Set(list []Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make(map[netip.AddrPort]*entry, len(list))
	for _, target := range list {
		if target.Region != t.Region {
			continue
		}
		e := t.targets[target.Address]
		if e == nil {
			e = &entry{key: AddressKey(target.Address)}
		}
		e.target = target
		targets[target.Address] = e
	}
	t.targets = targets
	t.updateDepartures(now)
	t.rebuild()
}

// rebuild makes the lists by service anew.
func (t *Table) rebuild() {
	old := t.services
	t.services = make(map[string]*service)
	for _, e := range t.targets {
		s := t.services[e.target.Service]
		if s == nil {
			s = &service{}
			if before := old[e.target.Service]; before != nil {
				s.callTime, s.callTimeByKind, s.tokenInterval = before.callTime, before.callTimeByKind, before.tokenInterval
			}
			t.services[e.target.Service] = s
		}
		s.all = append(s.all, e)
	}
	for _, s := range t.services {
		slices.SortFunc(s.all, byAddress)
		t.chooseSubset(s)
	}
}

// chooseSubset fills the subset of a service with targets that do not leave.
func (t *Table) chooseSubset(s *service) {
	s.subset = s.subset[:0]
	for _, e := range s.all {
		if !t.isLeaving(e.target.Address) {
			s.subset = append(s.subset, e)
		}
	}
	s.available = len(s.subset)
	if n := t.subsetSize(); n >= 0 && n < len(s.subset) {
		node := NameKey(t.Node)
		slices.SortFunc(s.subset, func(a, b *entry) int {
			return compareKeys(Mix(node, b.key), Mix(node, a.key))
		})
		s.subset = s.subset[:n]
		slices.SortFunc(s.subset, byAddress)
	}
}

// Report takes over what a target said of its load. What began or ended while
// the report was under way is still counted apart from it.
func (t *Table) Report(addr netip.AddrPort, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[addr]
	if e == nil {
		return
	}
	e.load = load
	included := func(at time.Time) bool { return !at.After(load.Taken) }
	e.startedSinceReport = slices.DeleteFunc(e.startedSinceReport, included)
	e.endedSinceReport = slices.DeleteFunc(e.endedSinceReport, included)
	s := t.services[e.target.Service]
	if load.Token > 0 {
		s.tokenInterval = movingAverage(s.tokenInterval, load.Token)
	}
}

// Call is one call in flight; Begin makes it and End takes it back.
type Call struct {
	Address netip.AddrPort
	Kind    string        // calls of one kind take about as long, "" for any
	Work    time.Duration // expected time of the call once it has a slot
	Began   time.Time

	expectedWait float64 // expected wait for a slot, in times of a call
	probe        bool    // the single call that tries a target again after failures
}

// Result tells how a call ended as far as the target's health goes.
type Result string

// The results of a call.
const (
	Done     Result = "done"     // the whole answer came
	Refused  Result = "refused"  // the target is well but did not take the call
	Canceled Result = "canceled" // given up by the caller or the node
	Broken   Result = "broken"   // no connection, or it broke, or fell silent
)

// WorkOf returns the usual time of one kind of call once it has a slot, or 0
// before the first of that kind has ended.
func (t *Table) WorkOf(serviceName, kind string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return 0
	}
	return s.callTimeByKind[kind]
}

// Begin counts a call as outstanding; every Begin needs its End.
func (t *Table) Begin(addr netip.AddrPort, work time.Duration, now time.Time) Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Call{Address: addr, Work: work, Began: now}
	if e := t.targets[addr]; e != nil {
		c.expectedWait = e.expectedWait()
		e.inFlight++
		e.startedSinceReport = append(e.startedSinceReport, now)
		if e.failures > 0 {
			c.probe, e.probing = true, true
		}
	}
	return c
}

// End takes a call out of the outstanding ones and learns from how it ended.
func (t *Table) End(c Call, result Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[c.Address]
	if e == nil {
		return
	}
	e.removeCall(c, now)
	if c.probe {
		e.probing = false
	}
	switch result {
	case Done:
		t.recordDuration(e, c, now)
	case Refused:
		e.failures = 0
	case Broken:
		t.recordFailure(e, now, c.probe)
	}
}

// removeCall takes a call out of the counts. A call of an earlier target at the
// same address may end after the counts began anew, hence the floor.
func (e *entry) removeCall(c Call, now time.Time) {
	e.inFlight = max(e.inFlight-1, 0)
	if i := slices.Index(e.startedSinceReport, c.Began); i >= 0 {
		e.startedSinceReport = slices.Delete(e.startedSinceReport, i, i+1)
		return
	}
	if len(e.endedSinceReport) < maxEndedSinceReport {
		e.endedSinceReport = append(e.endedSinceReport, now)
	}
}

// maxEndedSinceReport bounds what is kept of a target whose reports stay away.
const maxEndedSinceReport = 1024

// recordDuration takes the time of a finished call into the averages. The wait for a
// slot is taken out first: counted as work it would be counted twice by all
// who add the wait, and a target with a queue would pass for a slow one.
func (t *Table) recordDuration(e *entry, c Call, now time.Time) {
	e.failures = 0
	duration := time.Duration(float64(now.Sub(c.Began)) / (1 + c.expectedWait))
	s := t.services[e.target.Service]
	s.callTime = movingAverage(s.callTime, duration)
	if s.callTimeByKind == nil {
		s.callTimeByKind = make(map[string]time.Duration)
	}
	expected := s.callTimeByKind[c.Kind]
	s.callTimeByKind[c.Kind] = movingAverage(expected, duration)
	if expected == 0 {
		return // nothing to compare with but calls of other kinds
	}
	// What was expected when the call began is no measure: when calls become
	// longer, all that are in flight exceed it, and what is left of that in the
	// averages differs from target to target for a minute.
	ratio := min(float64(duration)/float64(expected), maxDurationRatio)
	e.slowdown = averageSlowdown(e.slowdownAt(now), ratio)
	e.slowdownUpdated = now
}

// averageSlowdown moves a pace towards a new value. It starts at the usual one:
// the first call of a target alone does not tell whether the target is slow.
func averageSlowdown(old, value float64) float64 {
	if old == 0 {
		old = 1
	}
	return old + averageWeight*(value-old)
}

// slowdownAt returns the pace as far as it is still believed: it returns to the
// usual one in paceFor without calls.
func (e *entry) slowdownAt(now time.Time) float64 {
	if e.slowdown == 0 {
		return 0
	}
	weight := max(1-float64(now.Sub(e.slowdownUpdated))/float64(slowdownTTL), 0)
	return 1 + weight*(e.slowdown-1)
}

// Failed notes a failure outside a call, such as a load report that could not
// be had; the target rests, longer with each failure in a row.
func (t *Table) Failed(addr netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.targets[addr]; e != nil {
		t.recordFailure(e, now, false)
	}
}

// recordFailure makes a target rest. Calls that break together count as one failure:
// else one crash with many calls in flight would rest its target for the
// longest pause at once. A call that tried a resting target counts by itself.
func (t *Table) recordFailure(e *entry, now time.Time, probe bool) {
	if now.Before(e.backoffUntil) && !probe {
		return
	}
	backoff := t.initialBackoff() << min(e.failures, 16)
	e.failures++
	e.backoffUntil = now.Add(min(backoff, t.maxBackoff()))
}

// Used returns the targets whose load this node asks for: its subset of every
// service, resting ones included.
func (t *Table) Used() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Target
	for _, s := range t.services {
		for _, e := range s.subset {
			out = append(out, e.target)
		}
	}
	slices.SortFunc(out, func(a, b Target) int { return a.Address.Compare(b.Address) })
	return out
}

// State returns what the table holds of a target; known is false for a target
// that the list does not show.
func (t *Table) State(addr netip.AddrPort, now time.Time) (state State, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[addr]
	switch {
	case e == nil:
		return "", false
	case t.isLeaving(addr):
		return Leaving, true
	case e.failures > 0 || now.Before(e.backoffUntil):
		return Failed, true
	}
	return Live, true
}

func (t *Table) subsetSize() int {
	if t.Subset == 0 {
		return DefaultSubset
	}
	return t.Subset
}

func (t *Table) leavingTTL() time.Duration { return orDefault(t.LeavingTTL, DefaultLeavingTTL) }
func (t *Table) initialBackoff() time.Duration {
	return orDefault(t.InitialBackoff, DefaultInitialBackoff)
}
func (t *Table) maxBackoff() time.Duration { return orDefault(t.MaxBackoff, DefaultMaxBackoff) }

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d <= 0 {
		return defaultValue
	}
	return d
}

// movingAverage moves a running movingAverage towards a new value.
func movingAverage(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(averageWeight*float64(value-old))
}

func byAddress(a, b *entry) int { return a.target.Address.Compare(b.target.Address) }

func compareKeys(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
