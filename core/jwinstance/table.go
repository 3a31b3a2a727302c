package jwinstance

import (
	"net/netip"
	"sort"
	"sync"
	"time"

	"jujubewheel/core/jwbudget"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwtarget"
)

const (
	// goneUse is how long a target whose registration vanished without a
	// notice may still be used where no other is left: registrations lapse by
	// mistake while the store is away and are back about two seconds later.
	goneGracePeriod = 2 * time.Second
	// forget is how long a record outlives its registration, so that its
	// failures are still known when it comes back.
	recordRetention = 30 * time.Second
)

// Table holds the targets; set its fields before use.
type Table struct {
	Node   string                                        // name of the node itself, by which its subsets of many targets differ from others'
	Region string                                        // targets of other regions can't be reached and are only counted
	Warmup func(service string) (time.Duration, float64) // how long and how slowly a target starts
	// Nodes returns how many nodes of the region choose among its targets, and Rand draws
	// a number below n. Where they are set not all targets are compared; see draw.
	Nodes func() int
	Rand  func(n int) int
	Share func(service, target string) float64 // requests a second that this node may send to a cold target
	// LimitPart returns this node's part in the limit that a target names, knows which nodes
	// choose among others and it; where it isn't set the node is taken to be the only one.
	LimitPart func(rate float64, target string, knows func(node string) bool) jwbudget.LimitPart

	mu                sync.Mutex
	targets           map[string]*Target
	byRegion          map[string]map[string][]*Target // targets by service and region, nil after a change
	known             map[string][]*Target            // those that this node knows, by service
	subsets           map[subsetKey]*subset
	usableSlots       map[string]map[string]int // usable slots by service and region, nil after a change
	evacuated         map[string]bool           // data centres
	selfReported      map[string]bool           // names of targets that said in an answer that they leave, or a limit
	stats             map[string]*serviceStats  // by service
	placements        []Placement               // of this node, the latest last
	reports           map[string]nodeReport     // of the other nodes of the region, by name
	candidates        []int                     // scratch of draw
	limitedCandidates []int                     // the same, the targets that name a limit
	missingTokens     []int                     // scratch of best: tokens that each target lacks
}

// Target is one incarnation with all that is known of it. Its fields belong
// to the Table, but for its name, service and address, which never change;
// callers keep it to give it back.
type Target struct {
	Instance
	nameHash      uint64           // hash of its name
	seenAt        time.Time        // last registration
	changedAt     time.Time        // when its registration last changed
	goneAt        time.Time        // when its registration vanished, zero if it stands
	staleRevision jwstore.Revision // of the last registration that a store which came back held of before
	coldUntil     time.Time
	recentSends   []time.Time      // of the last second
	backoffUntil  time.Time        // not used before
	closedUntil   time.Time        // until when it wants nothing of this node
	failures      int              // in a row
	dialFailures  int              // connections not taken, in a row
	calls         int              // in flight from this node
	unread        tokensByPriority // prompt tokens of this node's calls without a first event
	memoryInUse   int              // memory held by this node's calls
	gap           time.Duration    // between two events, as this node saw it last
	gapAt         time.Time
	othersLoad    loadSum       // of the other nodes of the region
	reportedGap   time.Duration // between two events, as another node reported last
	reportedGapAt time.Time
	slowdown      float64 // its pace against the service's, 1 is usual
	cache         cache
	capacity      int // tokens of its memory, 0 if not known
	limit         targetLimit
}

// Change is what a registration changed of a target.
type Change string

// The changes by a registration.
const (
	Same         Change = ""
	Appeared     Change = "appeared"
	Restarted    Change = "beganAnew" // under the same name
	Returned     Change = "returned"  // its registration had vanished
	DrainStarted Change = "draining"
	Updated      Change = "renewed" // its slots, its place, or how long it is cold or stays
)

// drift is by how much the end of a time that targets count down in each registration
// may differ between two before that is a change.
const countdownTolerance = 500 * time.Millisecond

// Put takes a registration as it stands in the store and returns what it changed.
func (t *Table) Put(now time.Time, in Instance) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = make(map[string]*Target)
	}
	old := t.targets[in.ID]
	if old != nil && in.Leaving && in.Born == old.Born {
		t.leave(old)
	}
	if old != nil && in.Revision < old.Revision {
		return Same // by another node that lags behind
	}
	if old != nil && old.fromStaleStore(in) {
		if in.Born < old.Born || !old.goneAt.IsZero() {
			old.Revision, old.seenAt = in.Revision, now
			return Same
		}
		in.Draining = in.Draining || old.Draining
	}
	if old == nil || old.Born != in.Born || old.Address != in.Address || old.Service != in.Service {
		fresh := &Target{Instance: in, nameHash: jwtarget.NameKey(in.ID), seenAt: now, changedAt: now, slowdown: 1}
		if old != nil || in.Cold > 0 {
			fresh.coldUntil = now.Add(max(in.Cold, t.coldAfterRestart(old, in)))
		}
		t.targets[in.ID] = fresh
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
	if change != Same {
		regionChanged := old.Region != in.Region
		old.update(in)
		old.changedAt = now
		t.usableSlots = nil
		if regionChanged {
			t.invalidateIndex()
		}
	}
	old.Revision = in.Revision
	old.seenAt, old.goneAt = now, time.Time{}
	if in.Cold > 0 {
		old.coldUntil = now.Add(in.Cold)
	}
	return change
}

// fromCopy reports whether a registration may be one that a store which came back from an
// older copy still holds, though the target has left, drains or began anew since. What the
// target writes after the copy counts again.
func (x *Target) fromStaleStore(in Instance) bool {
	newerEra := jwstore.Era(in.Revision) > jwstore.Era(x.Revision)
	if newerEra && (x.Draining || !x.goneAt.IsZero() || in.Born < x.Born) {
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
		countdownDiffers(x.Cold, in.Cold, elapsed), countdownDiffers(x.Left, in.Left, elapsed):
		return Updated
	}
	return Same
}

// counted reports whether a time that was counted down differs from what is left of it.
func countdownDiffers(before, now, elapsed time.Duration) bool {
	return (max(before-elapsed, 0) - now).Abs() > countdownTolerance
}

// renew takes what another registration of the same incarnation may change. Its
// name, service and address stay: who sends to it reads them without the lock.
func (x *Target) update(in Instance) {
	x.DataCentre, x.Region, x.Slots = in.DataCentre, in.Region, in.Slots
	x.Draining, x.Cold, x.Left = in.Draining, in.Cold, in.Left
}

// coldAfterReturn is how long a target that began anew under its own name is
// taken for cold: it may not have said so yet.
func (t *Table) coldAfterRestart(old *Target, in Instance) time.Duration {
	if old == nil || t.Warmup == nil {
		return 0
	}
	d, _ := t.Warmup(in.Service)
	return d
}

// Remove notes that a registration is gone from the store at a revision.
func (t *Table) Remove(now time.Time, id string, revision jwstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.targets[id]; x != nil {
		x.markGone(now, revision)
		t.usableSlots = nil
	}
}

// Keep removes all targets but those named: this is the whole store at a
// revision, and what vanished before is gone too.
func (t *Table) Keep(now time.Time, ids map[string]bool, revision jwstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usableSlots = nil
	for id, x := range t.targets {
		if !ids[id] {
			x.markGone(now, revision)
		}
	}
}

func (x *Target) markGone(now time.Time, revision jwstore.Revision) {
	if x.goneAt.IsZero() && revision >= x.Revision {
		x.goneAt, x.Revision = now, revision
	}
}

// sweep drops records of targets that are gone for long.
func (t *Table) removeExpired(now time.Time) {
	for id, x := range t.targets {
		if !x.goneAt.IsZero() && now.Sub(x.goneAt) > recordRetention && x.calls == 0 {
			delete(t.targets, id)
			t.removeFromIndex(x)
		}
	}
}

// Evacuate sets whether a data centre is to get nothing. Its targets may come
// back cold without saying so at once, so they are taken for cold when the
// evacuation ends.
func (t *Table) Evacuate(now time.Time, dataCentre string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated == nil {
		t.evacuated = make(map[string]bool)
	}
	if t.evacuated[dataCentre] == on {
		return
	}
	t.evacuated[dataCentre] = on
	t.usableSlots = nil
	for _, x := range t.targets {
		if x.DataCentre != dataCentre || t.Warmup == nil {
			continue
		}
		if d, _ := t.Warmup(x.Service); d > 0 {
			x.coldUntil = laterTime(x.coldUntil, now.Add(d))
		}
	}
}

// Evacuated returns the data centres that get nothing, sorted.
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

// Cold notes that a target said how long it stays cold.
func (t *Table) Cold(now time.Time, x *Target, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.coldUntil = laterTime(x.coldUntil, now.Add(d))
}

// ServiceAt returns the service of the target at an address, "" for none.
func (t *Table) ServiceAt(a netip.AddrPort) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.targets {
		if x.Address == a && x.goneAt.IsZero() {
			return x.Service
		}
	}
	return ""
}

// Addresses returns where the targets of a service in the region are reached.
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

// Instances returns the registrations that stand, for a node that can't read
// the store itself, with how long each stays cold from now on.
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

// instance returns the registration with how long the target stays cold from now on.
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
