package jwtarget

import (
	"net/netip"
	"time"
)

// Candidate is a target that may get new work, with what is outstanding there.
type Candidate struct {
	Address     netip.AddrPort
	DataCentre  string
	Key         uint64  // hash of the address, for Mix
	Outstanding int     // calls running or waiting, by the last report and this node's calls since
	Slots       int     // calls it runs at once, at least 1
	Pace        float64 // time its calls take over the usual time, 1 for usual
	Probe       bool    // rested after failures: this is the single call that tries it again
}

// Candidates appends the targets of this node's subset that may get a new call
// to out, in the order of their addresses. When all of the subset rest, the
// other targets of the region stand in, whose load this node does not know; and
// when all of those rest too, the ones that failed only once.
//
// Without the last step a moment in which each connection broke, as when a
// switch restarts, would have every request refused for as long as targets rest,
// though all of them are well.
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

// isFallback reports whether a resting target may be tried when there is no other: one
// call at a time, until it fails again.
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
		Pace:        s.slowdownOf(e, now),
		Probe:       e.failures > 0,
	}
}

// appendAvailable adds those of the entries that may get a new call.
func (t *Table) appendAvailable(s *service, entries []*entry, now time.Time, out []Candidate) []Candidate {
	for _, e := range entries {
		if now.Before(e.backoffUntil) || e.probing || t.isLeaving(e.target.Address) {
			continue
		}
		out = append(out, e.candidate(s, now))
	}
	return out
}

// outstanding adds what this node did since the last report to the report,
// which would otherwise draw every call of the time between two reports to the
// one target that looked idle.
func (e *entry) outstanding() int {
	reported := max(e.load.Running+e.load.Waiting-len(e.endedSinceReport), 0)
	return max(reported+len(e.startedSinceReport), e.inFlight)
}

// expectedWait returns the expected expectedWait of a new call for a slot, in times of a call.
func (e *entry) expectedWait() float64 {
	return float64(max(e.outstanding()+1-e.slots(), 0)) / float64(e.slots())
}

// Bounds of a pace. Calls differ in length and batches in size, so small
// differences say nothing of the target and steering by them does harm; above
// slowThreshold the target itself is slow.
const (
	slowThreshold    = 1.5
	maxSlowdown      = 20
	maxDurationRatio = 5 // of one call
	// slowdownTTL is how long a pace is believed of a target that gets no calls.
	// The pace is learnt from calls alone: believed for ever, it would keep all
	// work from a target that was slow once, which stood idle while others queued.
	slowdownTTL = 20 * time.Second
)

// slowdownOf returns how slow a target is against the others of its service: by
// its own word on the time between tokens or by this node's calls, whichever
// is worse. A target that is slow but well reports no failure, so this alone
// keeps work from piling up there.
func (s *service) slowdownOf(e *entry, now time.Time) float64 {
	slowdown := 0.0
	if e.slowdown > 0 {
		slowdown = e.slowdownAt(now)
	}
	if s.tokenInterval > 0 && e.load.Token > 0 {
		slowdown = max(slowdown, float64(e.load.Token)/float64(s.tokenInterval))
	}
	if slowdown < slowThreshold {
		return 1
	}
	return min(slowdown, maxSlowdown)
}

// Room sums up what a service of the region can still take, as seen from the
// subset of one node.
type Room struct {
	Targets     int           // targets of the region that may get work, by the list
	Slots       int           // calls that the whole region runs at once, scaled up from the subset
	Outstanding int           // calls running or waiting in the region, scaled up likewise
	Wait        time.Duration // expected wait of a new call for a slot
	Work        time.Duration // usual time of a call
}

// Free returns the share of slots that are free, between 0 and 1.
func (r Room) Free() float64 {
	if r.Slots == 0 {
		return 0
	}
	return max(1-float64(r.Outstanding)/float64(r.Slots), 0)
}

// Room returns the room of a service; it is zero when no target may get work.
func (t *Table) Room(serviceName string, now time.Time) Room {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return Room{}
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
		return t.fallbackRoom(s)
	}
	r := Room{
		Targets:     s.available * usable / len(s.subset),
		Slots:       slots * s.available / len(s.subset),
		Outstanding: outstanding * s.available / len(s.subset),
		Work:        orDefault(s.callTime, DefaultCallTime),
	}
	queued := max(outstanding+1-slots, 0)
	r.Wait = time.Duration(float64(r.Work) * float64(queued) / float64(slots))
	return r
}

// fallbackRoom is the room when all targets rest: a call for each that may be tried.
func (t *Table) fallbackRoom(s *service) Room {
	n := 0
	for _, e := range s.all {
		if t.isFallback(e) {
			n++
		}
	}
	if n == 0 {
		return Room{}
	}
	return Room{Targets: n, Slots: n, Work: orDefault(s.callTime, DefaultCallTime)}
}

// defaultSlots stands for the slots of a target that has not reported yet.
const defaultSlots = 8

func (e *entry) slots() int {
	if e.load.Slots <= 0 {
		return defaultSlots
	}
	return e.load.Slots
}
