package jwinstance

import (
	"net/netip"
	"sort"
	"sync"
	"time"

	"jujubewheel/core/jwbudget"
	"jujubewheel/core/jwroom"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwtarget"
)

const (
	// goneGracePeriod is how long a target whose registration vanished without notice may still be
	// used if no other target is left. Registrations may expire by mistake while the store is
	// unavailable; they are back about two seconds later.
	goneGracePeriod = 2 * time.Second
	// recordRetention is how long the record of a target is kept after its registration is gone, so
	// that its failures are still known if it comes back.
	recordRetention = 30 * time.Second
)

// Table holds the known targets. Its exported fields must be set before use.
type Table struct {
	Node   string // name of this node, which determines its subsets of the targets
	Region string // targets of other regions can't be reached from here and are only counted
	// Warmup returns how long a starting target of a service is cold, and how many requests a
	// second it can handle during that time.
	Warmup func(service string) (time.Duration, float64)
	// Nodes returns how many nodes of the region choose among its targets; Rand returns a random
	// number from 0 up to but not including n. If Nodes is nil, all usable targets are compared;
	// see sampleCandidates.
	Nodes func() int

	// ReportInterval returns the time between two reports of another node of the region. If it is nil,
	// reports are taken to come often.
	ReportInterval func() time.Duration
	Rand           func(n int) int
	ColdRate       func(service, target string) float64 // requests a second that this node may send to a cold target
	// LimitShare returns this node's share of the rate limit that a target announces. The function
	// knows reports whether a node has the target among those that it chooses from. If LimitShare
	// is nil, this node is assumed to be the only one.
	LimitShare func(rate float64, target string, knows func(node string) bool) jwbudget.LimitShare
	IgnorePace bool // paces that targets report are neither used nor reported to other nodes

	mu                sync.Mutex
	targets           map[string]*Target
	marked            markedTargets
	byRegion          map[string]map[string][]*Target // targets by service and region, sorted by ID; nil if it must be rebuilt
	known             map[string][]*Target            // targets in this node's subsets, by service
	subsets           map[subsetKey]*subset
	usableSlots       map[string]map[string]int         // by service and region, nil after a change
	versions          map[string]map[string]*versionUse // of targets, by service and version
	evacuated         map[string]bool                   // data centres that get no requests
	selfReported      map[string]bool                   // IDs of targets that announced in an answer a limit or that they are leaving
	stats             map[string]*serviceStats          // by service
	view              reportView
	pacedServices     map[string]bool       // services whose targets report their pace
	placements        []Placement           // recent ones, of this node and reported by others, the latest last
	reports           map[string]nodeReport // last report of each other node of the region, by node name
	candidates        []int                 // buffer of collectCandidates: indexes of targets
	limitedCandidates []int                 // the same for the targets that announce a limit
	missingTokens     []int                 // buffer of best: prompt tokens that each known target has not cached
}

// Target is one incarnation of a target with all that is known about it. Its fields are guarded by
// the mutex of the Table, except ID, Service, Address, Version and StartedAt, which never change. Callers hold on to a
// Target only to pass it back to the Table.
type Target struct {
	Instance
	versionCounted bool             // in Table.versions
	nameHash       uint64           // hash of its ID, for rendezvous hashing
	seenAt         time.Time        // time of the last registration
	changedAt      time.Time        // when its registration last changed
	goneAt         time.Time        // when its registration vanished, zero while it exists
	staleRevision  jwstore.Revision // of the last registration that came from an older copy of the store, 0 if none
	coldUntil      time.Time        // when it stops being cold
	confirmation   confirmation
	// replacedRevision is the revision of the last registration that was known when another
	// incarnation answered at the address, 0 if none did.
	replacedRevision jwstore.Revision
	recentSends      []time.Time      // times of this node's sends within the last second, of the choice until they are written
	writing          int              // sends that are being written
	backoffUntil     time.Time        // not used before, after a failed dial or a refused request
	closedUntil      time.Time        // not used before, as the target asked for
	failures         int              // consecutive failures
	dialFailures     int              // consecutive failed dials
	calls            int              // in flight from this node
	callsByLevel     countsByPriority // of calls, those whose Choice has ByPriority
	unread           countsByPriority // prompt tokens of this node's calls that have no first event yet
	memoryInUse      int              // memory occupied by this node's calls, in tokens
	gap              time.Duration    // time between two events, as last seen by this node
	gapAt            time.Time
	othersLoad       loadSum       // load from the other nodes of the region
	reportedGap      time.Duration // time between two events, as last reported by another node
	reportedGapAt    time.Time
	slowdown         float64 // latency relative to the mean of the service at slowdownTime, 1 is usual; see slowdownAt
	slowdownTime     time.Time
	cache            cache
	capacity         int // memory of the target in tokens, 0 if not known
	limit            targetLimit
	lease            jwroom.Lease
	load             LoadReport // last load that the target reported to this node
	loadAt           time.Time
	pace             float64 // last reported pace
	paceAt           time.Time
	meanPace         float64 // moving average of the reported paces, 0 without any
}

// Change is what a registration changed about a target.
type Change string

// Possible changes by a registration.
const (
	Unchanged    Change = ""          // nothing
	Appeared     Change = "appeared"  // a target that was not known
	Restarted    Change = "beganAnew" // a new incarnation under the same name
	Returned     Change = "returned"  // its registration had vanished before
	DrainStarted Change = "draining"  // the target started to drain
	Updated      Change = "renewed"   // other slots or place, another cold or remaining time, or draining ended
)

// countdownTolerance is how much the end of a cold or remaining time, computed from two
// registrations, may differ without counting as a change. Targets count these times down in each
// registration.
const countdownTolerance = 500 * time.Millisecond

// Put applies a registration read from the store and returns what it changed.
func (t *Table) Put(now time.Time, in Instance) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = make(map[string]*Target)
	}
	old := t.targets[in.ID]
	if old != nil && in.Leaving && in.StartedAt == old.StartedAt {
		t.leave(old)
	}
	if old != nil && in.Revision < old.Revision {
		return Unchanged // from another node that lags behind
	}
	if old != nil && old.replacedRevision > 0 && in.Revision <= old.replacedRevision && in.StartedAt == old.StartedAt {
		return Unchanged // read once more: a target that runs would have written another one
	}
	if old != nil && old.fromStaleStore(in) {
		if in.StartedAt < old.StartedAt || !old.goneAt.IsZero() {
			old.Revision, old.seenAt = in.Revision, now
			return Unchanged
		}
		in.Draining = in.Draining || old.Draining
	}
	if old == nil || old.StartedAt != in.StartedAt || old.Address != in.Address || old.Service != in.Service || old.Version != in.Version {
		fresh := &Target{Instance: in, nameHash: jwtarget.NameKey(in.ID), seenAt: now, changedAt: now, slowdown: 1}
		if old != nil || in.Cold > 0 {
			t.setColdUntil(fresh, now.Add(max(in.Cold, t.coldAfterRestart(old, in))))
		}
		t.targets[in.ID] = fresh
		t.beginUse(now, fresh)
		if old != nil {
			t.endUse(now, old)
		}
		if old != nil {
			t.marked.forget(old)
		}
		t.marked.setAddress(fresh)
		if in.Leaving {
			t.markSelfReported(fresh)
		}
		if old != nil {
			t.replaceInIndex(old, fresh)
		} else {
			t.addToIndex(fresh)
		}
		if old != nil {
			return Restarted
		}
		return Appeared
	}
	change := old.compare(now, in)
	if change != Unchanged {
		regionChanged := old.Region != in.Region
		old.update(in)
		old.changedAt = now
		t.usableSlots = nil
		if regionChanged {
			t.invalidateIndex()
		}
	}
	old.Revision = in.Revision
	t.beginUse(now, old)
	old.seenAt, old.goneAt = now, time.Time{}
	if in.Cold > 0 {
		t.setColdUntil(old, now.Add(in.Cold))
	}
	return change
}

// fromStaleStore reports whether a registration may come from a store that was restored from an
// older copy, so that it does not show that the target has since left, drained or restarted.
// Registrations that the target writes after the restore count again.
func (x *Target) fromStaleStore(in Instance) bool {
	newerEra := jwstore.Era(in.Revision) > jwstore.Era(x.Revision)
	if newerEra && (x.Draining || !x.goneAt.IsZero() || in.StartedAt < x.StartedAt) {
		x.staleRevision = in.Revision
	}
	return x.staleRevision != 0 && in.Revision <= x.staleRevision
}

// compare returns what another registration of the same incarnation changes.
func (x *Target) compare(now time.Time, in Instance) Change {
	elapsed := now.Sub(x.changedAt)
	switch {
	case in.Draining && !x.Draining:
		return DrainStarted
	case !x.goneAt.IsZero():
		return Returned
	case in.Draining != x.Draining, in.Slots != x.Slots, in.DataCentre != x.DataCentre, in.Region != x.Region,
		countdownDiffers(x.Cold, in.Cold, elapsed), countdownDiffers(x.RemainingTime, in.RemainingTime, elapsed):
		return Updated
	}
	return Unchanged
}

// countdownDiffers reports whether a remaining time differs by more than countdownTolerance from an
// earlier one, less the time elapsed between the two.
func countdownDiffers(before, now, elapsed time.Duration) bool {
	return (max(before-elapsed, 0) - now).Abs() > countdownTolerance
}

// update applies what another registration of the same incarnation may change. The ID, service and
// address stay, because senders read them without the lock.
func (x *Target) update(in Instance) {
	x.DataCentre, x.Region, x.Slots = in.DataCentre, in.Region, in.Slots
	x.Draining, x.Cold, x.RemainingTime = in.Draining, in.Cold, in.RemainingTime
}

// coldAfterRestart returns how long a target that restarted under its own name is assumed to be
// cold: it may not have reported that yet.
func (t *Table) coldAfterRestart(old *Target, in Instance) time.Duration {
	if old == nil || t.Warmup == nil {
		return 0
	}
	d, _ := t.Warmup(in.Service)
	return d
}

// Remove records that a registration was gone from the store at a revision.
func (t *Table) Remove(now time.Time, id string, revision jwstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.targets[id]; x != nil {
		t.markGone(now, x, revision)
		t.usableSlots = nil
	}
}

// RemoveExcept marks all targets as gone except those with the given IDs, which are all that the
// store held at the revision. This covers removals that this node did not see.
func (t *Table) RemoveExcept(now time.Time, ids map[string]bool, revision jwstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usableSlots = nil
	for id, x := range t.targets {
		if !ids[id] {
			t.markGone(now, x, revision)
		}
	}
}

// markGone records that the registration is gone, unless a later revision is known.
func (t *Table) markGone(now time.Time, x *Target, revision jwstore.Revision) {
	if x.goneAt.IsZero() && revision >= x.Revision {
		x.goneAt, x.Revision = now, revision
		t.endUse(now, x)
		t.marked.gone.add(x)
	}
}

// removeExpired deletes the records of targets that have been gone for longer than recordRetention
// and have no calls in flight.
func (t *Table) removeExpired(now time.Time) {
	for x := range t.marked.gone {
		switch {
		case x.goneAt.IsZero():
			delete(t.marked.gone, x) // it came back
		case now.Sub(x.goneAt) > recordRetention && x.calls == 0:
			delete(t.targets, x.ID)
			t.marked.forget(x)
			t.removeFromIndex(x)
		}
	}
}

// Evacuate sets whether a data centre is evacuated, that is, gets no requests. Its targets may come
// back cold without reporting it at once, so they are assumed to be cold from the time of the
// change. It reports whether that changed anything.
func (t *Table) Evacuate(now time.Time, dataCentre string, on bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated == nil {
		t.evacuated = make(map[string]bool)
	}
	if t.evacuated[dataCentre] == on {
		return false
	}
	t.evacuated[dataCentre] = on
	t.usableSlots = nil
	for _, x := range t.targets {
		if x.DataCentre != dataCentre || t.Warmup == nil {
			continue
		}
		if d, _ := t.Warmup(x.Service); d > 0 {
			t.setColdUntil(x, laterTime(x.coldUntil, now.Add(d)))
		}
	}
	return true
}

// Evacuated returns the names of the evacuated data centres, sorted.
func (t *Table) Evacuated() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, on := range t.evacuated {
		if on {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// SetCold records that a target reported in an answer that it remains cold for d.
func (t *Table) SetCold(now time.Time, x *Target, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setColdUntil(x, laterTime(x.coldUntil, now.Add(d)))
}

// RevisionOf returns the revision as of which the registration of a target is known, 0 if it isn't.
func (t *Table) RevisionOf(id string) jwstore.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.targets[id]; x != nil {
		return x.Revision
	}
	return 0
}

// ServiceAt returns the service of the target at an address, or "" if there is none.
func (t *Table) ServiceAt(a netip.AddrPort) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.marked.byAddress[a]; x != nil && x.goneAt.IsZero() {
		return x.Service
	}
	return ""
}

// Addresses returns the addresses of the registered targets of a service in this region.
func (t *Table) Addresses(service string) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []netip.AddrPort
	t.buildIndex()
	for _, x := range t.byRegion[service][t.Region] {
		if x.goneAt.IsZero() {
			list = append(list, x.Address)
		}
	}
	return list
}

// Instances returns the existing registrations, for a node that can't read the store itself. The
// Cold field of each is the time it remains cold from now.
func (t *Table) Instances(now time.Time) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Instance, 0, len(t.targets))
	for _, x := range t.targets {
		if x.goneAt.IsZero() {
			list = append(list, x.registration(now))
		}
	}
	return list
}

// registration returns the registration, with Cold set to the time that the target remains cold
// from now.
func (x *Target) registration(now time.Time) Instance {
	in := x.Instance
	in.Cold = max(x.coldUntil.Sub(now), 0)
	return in
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
