package jwtarget

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// These are the defaults for fields of a Table that are zero, and for the
// duration of a call before the first one has ended.
const (
	DefaultSubset         = 16
	DefaultLeavingTTL     = 10 * time.Minute
	DefaultInitialBackoff = time.Second
	DefaultMaxBackoff     = time.Minute
	DefaultCallTime       = time.Second
)

// averageWeight is the weight of one finished call in the moving averages.
const averageWeight = 0.2

// Table holds what one node knows about the targets of its region.
//
// One mutex guards the whole table. It is held only for short loops over the
// targets of one service, and no other lock is taken while it is held. The
// exported fields must be set before use; the methods are safe for concurrent
// use.
type Table struct {
	Node           string        // name of this node, which determines its subset
	Region         string        // region of this node; targets of other regions are ignored
	Subset         int           // max targets used for each service, negative for all
	LeavingTTL     time.Duration // how long a target counts as leaving although the list says otherwise
	InitialBackoff time.Duration // time without calls after one failure; doubles with each further failure
	MaxBackoff     time.Duration // max time without calls after failures

	mu       sync.Mutex
	targets  map[netip.AddrPort]*entry
	services map[string]*service
	leaving  map[netip.AddrPort]departure
}

// service holds the targets and the averages of one service.
type service struct {
	all            []*entry                 // sorted by address
	subset         []*entry                 // the targets that this node uses, without the leaving ones, sorted by address
	available      int                      // number of targets in all that are not leaving
	callTime       time.Duration            // average duration of a call, without its wait for a slot
	callTimeByKind map[string]time.Duration // callTime for each kind of call
	tokenInterval  time.Duration            // average time between tokens over all targets
}

// entry holds what the table knows about one target.
type entry struct {
	target             Target
	key                uint64
	load               Load
	inFlight           int         // calls of this node in flight
	startedSinceReport []time.Time // start times of calls in flight that the last report does not include
	endedSinceReport   []time.Time // end times of calls that the last report still includes
	slowdown           float64     // average of call duration over callTimeByKind, 0 before the first call
	slowdownUpdated    time.Time   // when slowdown was last updated
	failures           int         // failures in a row
	backoffUntil       time.Time   // no calls before this time
	probing            bool        // a probe is in flight, see Call.probe
}

// Set replaces the targets by the platform's list, which may be out of date.
// Targets that stay in the list keep their load and their calls in flight. A
// target known to be leaving stays out of use although the list still calls it
// live.
func (t *Table) Set(list []Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newTargets := make(map[netip.AddrPort]*entry, len(list))
	for _, target := range list {
		if target.Region != t.Region {
			continue
		}
		e := t.targets[target.Address]
		if e == nil {
			e = &entry{key: AddressKey(target.Address)}
		}
		e.target = target
		newTargets[target.Address] = e
	}
	t.targets = newTargets
	t.updateDepartures(now)
	t.rebuild()
}

// rebuild groups the targets by service again. Services that existed before keep
// their averages.
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

// chooseSubset fills the subset of a service with targets that are not leaving,
// chosen by rendezvous hashing with the name of the node.
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

// Report stores the load report of a target. Calls that started or ended after
// load.RequestedAt, when the report was requested, are still counted in addition to it.
func (t *Table) Report(addr netip.AddrPort, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[addr]
	if e == nil {
		return
	}
	e.load = load
	included := func(at time.Time) bool { return !at.After(load.RequestedAt) }
	e.startedSinceReport = slices.DeleteFunc(e.startedSinceReport, included)
	e.endedSinceReport = slices.DeleteFunc(e.endedSinceReport, included)
	s := t.services[e.target.Service]
	if load.TokenInterval > 0 {
		s.tokenInterval = movingAverage(s.tokenInterval, load.TokenInterval)
	}
}

// Call is one call to a target, from Begin, which returns it, to End, which
// receives it.
type Call struct {
	Address  netip.AddrPort
	Kind     string        // calls of the same kind have similar durations; may be empty
	CallTime time.Duration // expected duration of the call once it has a slot
	Began    time.Time

	expectedWait float64 // expected wait for a slot, as a multiple of the duration of a call
	probe        bool    // the only call allowed at a target that failed before, until its result is known
}

// Result states how a call ended, as far as it matters for the health of the target.
type Result string

// These are the results of a call.
const (
	Done     Result = "done"     // the complete answer was received
	Refused  Result = "refused"  // the target is healthy but refused the call
	Canceled Result = "canceled" // given up by the caller or the node
	Broken   Result = "broken"   // the connection failed or broke, or the target stopped sending
)

// CallTimeOf returns the average duration of one kind of call once it has a slot, or
// 0 before the first call of that kind has ended.
func (t *Table) CallTimeOf(serviceName, kind string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return 0
	}
	return s.callTimeByKind[kind]
}

// Begin counts a new call as outstanding. The caller must pass the Call that it
// returns to End.
func (t *Table) Begin(addr netip.AddrPort, callTime time.Duration, now time.Time) Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Call{Address: addr, CallTime: callTime, Began: now}
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

// End removes a call from the outstanding ones and updates the averages and the
// health of the target from its result.
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

// removeCall removes a call from the counts. They start at zero again for a new
// target at the same address, and a call of the earlier target may end after
// that; so inFlight is kept from going below zero.
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

// maxEndedSinceReport limits the memory used for a target that sends no reports.
const maxEndedSinceReport = 1024

// recordDuration updates the averages with the duration of a finished call. It
// first removes the expected wait for a slot. Otherwise callers that add the wait
// to the average would count it twice, and a target with a queue would look like
// a slow one.
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
		return // there are only calls of other kinds to compare with
	}
	// The duration is compared with the average of now, not with the one expected
	// when the call began. When calls become longer, all calls in flight exceed
	// the expected duration, and for a minute the averages of the targets would
	// differ by what is left of that excess.
	ratio := min(float64(duration)/float64(expected), maxDurationRatio)
	e.slowdown = averageSlowdown(e.slowdownAt(now), ratio)
	e.slowdownUpdated = now
}

// averageSlowdown moves a slowdown towards a new value. The average starts at 1,
// because the first call alone does not show whether the target is slow.
func averageSlowdown(old, value float64) float64 {
	if old == 0 {
		old = 1
	}
	return old + averageWeight*(value-old)
}

// slowdownAt returns the slowdown after its decay: without calls it returns
// linearly to 1 within slowdownTTL. It is 0 before the first call.
func (e *entry) slowdownAt(now time.Time) float64 {
	if e.slowdown == 0 {
		return 0
	}
	weight := max(1-float64(now.Sub(e.slowdownUpdated))/float64(slowdownTTL), 0)
	return 1 + weight*(e.slowdown-1)
}

// Failed records a failure outside a call, for example of a load request. The
// target then gets no calls for a backoff, which grows with each failure in a
// row.
func (t *Table) Failed(addr netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.targets[addr]; e != nil {
		t.recordFailure(e, now, false)
	}
}

// recordFailure starts the backoff of a target. Failures during a backoff are not
// counted, or one crash with many calls in flight would cause the longest backoff
// at once. The failure of a probe is always counted.
func (t *Table) recordFailure(e *entry, now time.Time, probe bool) {
	if now.Before(e.backoffUntil) && !probe {
		return
	}
	backoff := t.initialBackoff() << min(e.failures, 16)
	e.failures++
	e.backoffUntil = now.Add(min(backoff, t.maxBackoff()))
}

// Polled returns the targets whose load this node polls: its subset of each
// service, those in backoff included, sorted by address.
func (t *Table) Polled() []Target {
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

// State returns the state of a target; known is false if the list does not show
// the target.
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

// movingAverage returns the moving average after a new value; an average of 0 takes
// the value itself.
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
