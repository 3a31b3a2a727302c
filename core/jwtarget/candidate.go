package jwtarget

import (
	"net/netip"
	"time"
)

// Candidate is a target that may get a new call, with the load that is known of it.
type Candidate struct {
	Address     netip.AddrPort
	DataCentre  string
	Key         uint64  // AddressKey of the address, for Mix
	Outstanding int     // calls running or waiting: the last report, corrected by this node's calls since
	Slots       int     // max calls that it runs at once, at least 1
	Slowdown    float64 // duration of its calls divided by the average duration; 1 unless it is clearly slow
	Probe       bool    // it failed before; the next call is the only one allowed until its result is known
}

// Candidates appends the targets of this node's subset that may get a new call
// to out, sorted by address. If no target of the subset may get one, it appends
// the other targets of the region, whose load this node does not know; if none
// of those may get one either, the targets that failed only once.
//
// The last step is for the case that all connections break at once, for example
// when a switch restarts. Without it every request would be rejected until the
// backoff ends, although all targets are healthy.
func (t *Table) Candidates(serviceName string, now time.Time, out []Candidate) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return out
	}
	out = t.appendAvailable(s, s.subset, now, out)
	if len(out) > 0 {
		return out
	}
	out = t.appendAvailable(s, s.all, now, out)
	if len(out) > 0 {
		return out
	}
	for _, e := range s.all {
		if t.isFallback(e) {
			out = append(out, e.candidate(s, now))
		}
	}
	return out
}

// isFallback reports whether a target in backoff may get a call when there is no
// other target: one call at a time, until it fails again.
func (t *Table) isFallback(e *entry) bool {
	return e.failures == 1 && !e.probing && !t.isLeaving(e.target.Address)
}

func (e *entry) candidate(s *service, now time.Time) Candidate {
	return Candidate{
		Address:     e.target.Address,
		DataCentre:  e.target.DataCentre,
		Key:         e.key,
		Outstanding: e.outstanding(),
		Slots:       e.slots(),
		Slowdown:    s.slowdownOf(e, now),
		Probe:       e.failures > 0,
	}
}

// appendAvailable appends those of the entries to out that may get a new call.
func (t *Table) appendAvailable(s *service, entries []*entry, now time.Time, out []Candidate) []Candidate {
	for _, e := range entries {
		if now.Before(e.backoffUntil) || e.probing || t.isLeaving(e.target.Address) {
			continue
		}
		out = append(out, e.candidate(s, now))
	}
	return out
}

// outstanding returns the number of calls that run or wait at the target: those
// of its last report, corrected by the calls that this node started or ended
// since. Without the correction, the target that looked idle in its last report
// would get every call until its next one.
func (e *entry) outstanding() int {
	reported := max(e.load.Running+e.load.Waiting-len(e.endedSinceReport), 0)
	return max(reported+len(e.startedSinceReport), e.inFlight)
}

// expectedWait returns how long a new call is expected to wait for a slot, as a
// multiple of the duration of a call.
func (e *entry) expectedWait() float64 {
	return float64(max(e.outstanding()+1-e.slots(), 0)) / float64(e.slots())
}

// These are the bounds of a slowdown. Calls differ in length and batches in
// size, so small differences say nothing about the target, and routing by them
// does harm. From slowThreshold on, the target itself counts as slow.
const (
	slowThreshold    = 1.5
	maxSlowdown      = 20
	maxDurationRatio = 5 // max ratio of the duration of one call to the average
	// slowdownTTL is the time in which the measured slowdown of a target that
	// gets no calls returns to 1. Only calls update the slowdown, so without
	// this limit a target that was slow once would never get work again and
	// would stay idle while calls wait at the others.
	slowdownTTL = 20 * time.Second
)

// slowdownOf returns how slow a target is compared with the others of its
// service, 1 for a normal one: by its reported time between tokens or by the
// durations of this node's calls, whichever is worse. A target that is slow but
// works reports no failure, so only this factor keeps calls from queueing there.
func (s *service) slowdownOf(e *entry, now time.Time) float64 {
	slowdown := 0.0
	if e.slowdown > 0 {
		slowdown = e.slowdownAt(now)
	}
	if s.tokenInterval > 0 && e.load.TokenInterval > 0 {
		slowdown = max(slowdown, float64(e.load.TokenInterval)/float64(s.tokenInterval))
	}
	if slowdown < slowThreshold {
		return 1
	}
	return min(slowdown, maxSlowdown)
}

// Capacity is the capacity and the load of one service in the region, estimated from
// the subset of targets that one node uses.
type Capacity struct {
	Targets     int           // targets of the region that may get work
	Slots       int           // max calls that the region runs at once, scaled up from the subset
	Outstanding int           // calls running or waiting in the region, scaled up from the subset
	Wait        time.Duration // expected wait of a new call for a slot
	CallTime    time.Duration // average duration of a call, without its wait for a slot
}

// Free returns the fraction of the slots that are free, from 0 to 1.
func (r Capacity) Free() float64 {
	if r.Slots == 0 {
		return 0
	}
	return max(1-float64(r.Outstanding)/float64(r.Slots), 0)
}

// Capacity returns the capacity and load of a service; it is zero if no target may
// get work.
func (t *Table) Capacity(serviceName string, now time.Time) Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return Capacity{}
	}
	slots, outstanding, usable := 0, 0, 0
	for _, e := range s.subset {
		if now.Before(e.backoffUntil) {
			continue
		}
		usable++
		slots += e.slots()
		outstanding += e.outstanding()
	}
	if usable == 0 {
		return t.fallbackCapacity(s)
	}
	r := Capacity{
		Targets:     s.available * usable / len(s.subset),
		Slots:       slots * s.available / len(s.subset),
		Outstanding: outstanding * s.available / len(s.subset),
		CallTime:    orDefault(s.callTime, DefaultCallTime),
	}
	queued := max(outstanding+1-slots, 0)
	r.Wait = time.Duration(float64(r.CallTime) * float64(queued) / float64(slots))
	return r
}

// fallbackCapacity returns the Capacity for the time in which all targets are in backoff:
// one slot for each target that isFallback.
func (t *Table) fallbackCapacity(s *service) Capacity {
	n := 0
	for _, e := range s.all {
		if t.isFallback(e) {
			n++
		}
	}
	if n == 0 {
		return Capacity{}
	}
	return Capacity{Targets: n, Slots: n, CallTime: orDefault(s.callTime, DefaultCallTime)}
}

// defaultSlots is the number of slots assumed for a target that has not reported
// any yet.
const defaultSlots = 8

func (e *entry) slots() int {
	if e.load.Slots <= 0 {
		return defaultSlots
	}
	return e.load.Slots
}
