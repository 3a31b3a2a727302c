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
	goneUse = 2 * time.Second
	// forget is how long a record outlives its registration, so that its
	// failures are still known when it comes back.
	forget = 30 * time.Second
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

	mu        sync.Mutex
	targets   map[string]*Target
	places    map[string]map[string][]*Target // targets by service and region, nil after a change
	known     map[string][]*Target            // those that this node knows, by service
	subsets   map[subsetKey]*subset
	slots     map[string]map[string]int // usable slots by service and region, nil after a change
	evacuated map[string]bool           // data centres
	declared  map[string]bool           // names of targets that said in an answer that they leave, or a limit
	paces     map[string]*pace          // by service
	placed    []Placement               // of this node, the latest last
	reports   map[string]nodeReport     // of the other nodes of the region, by name
	drawn     []int                     // scratch of draw
	limited   []int                     // the same, the targets that name a limit
	missing   []int                     // scratch of best: tokens that each target lacks
}

// Target is one incarnation with all that is known of it. Its fields belong
// to the Table, but for its name, service and address, which never change;
// callers keep it to give it back.
type Target struct {
	Instance
	key           uint64           // hash of its name
	seenAt        time.Time        // last registration
	changed       time.Time        // when its registration last changed
	gone          time.Time        // when its registration vanished, zero if it stands
	copied        jwstore.Revision // of the last registration that a store which came back held of before
	coldUntil     time.Time
	sends         []time.Time   // of the last second
	rest          time.Time     // not used before
	closed        time.Time     // until when it wants nothing of this node
	failures      int           // in a row
	unreached     int           // connections not taken, in a row
	calls         int           // in flight from this node
	work          work          // prompt tokens of this node's calls without a first event
	tokens        int           // memory held by this node's calls
	gap           time.Duration // between two events, as this node saw it last
	gapAt         time.Time
	others        sum           // of the other nodes of the region
	reportedGap   time.Duration // between two events, as another node reported last
	reportedGapAt time.Time
	slow          float64 // its pace against the service's, 1 is usual
	cache         cache
	capacity      int // tokens of its memory, 0 if not known
	limit         targetLimit
}

// Change is what a registration changed of a target.
type Change string

// The changes by a registration.
const (
	Same     Change = ""
	Appeared Change = "appeared"
	Began    Change = "beganAnew" // under the same name
	Returned Change = "returned"  // its registration had vanished
	Leaving  Change = "draining"
	Renewed  Change = "renewed" // its slots, its place, or how long it is cold or stays
)

// drift is by how much the end of a time that targets count down in each registration
// may differ between two before that is a change.
const drift = 500 * time.Millisecond

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
	if old != nil && old.fromCopy(in) {
		if in.Born < old.Born || !old.gone.IsZero() {
			old.Revision, old.seenAt = in.Revision, now
			return Same
		}
		in.Draining = in.Draining || old.Draining
	}
	if old == nil || old.Born != in.Born || old.Address != in.Address || old.Service != in.Service {
		fresh := &Target{Instance: in, key: jwtarget.NameKey(in.ID), seenAt: now, changed: now, slow: 1}
		if old != nil || in.Cold > 0 {
			fresh.coldUntil = now.Add(max(in.Cold, t.coldAfterReturn(old, in)))
		}
		t.targets[in.ID] = fresh
		if in.Leaving {
			t.declare(fresh)
		}
		if old != nil {
			t.replace(old, fresh)
		} else {
			t.insert(fresh)
		}
		if old != nil {
			return Began
		}
		return Appeared
	}
	change := old.compare(now, in)
	if change != Same {
		moved := old.Region != in.Region
		old.renew(in)
		old.changed = now
		t.slots = nil
		if moved {
			t.reindex()
		}
	}
	old.Revision = in.Revision
	old.seenAt, old.gone = now, time.Time{}
	if in.Cold > 0 {
		old.coldUntil = now.Add(in.Cold)
	}
	return change
}

// fromCopy reports whether a registration may be one that a store which came back from an
// older copy still holds, though the target has left, drains or began anew since. What the
// target writes after the copy counts again.
func (x *Target) fromCopy(in Instance) bool {
	risen := jwstore.Era(in.Revision) > jwstore.Era(x.Revision)
	if risen && (x.Draining || !x.gone.IsZero() || in.Born < x.Born) {
		x.copied = in.Revision
	}
	return x.copied != 0 && in.Revision <= x.copied
}

// compare returns what another registration of the same incarnation changes.
func (x *Target) compare(now time.Time, in Instance) Change {
	passed := now.Sub(x.changed)
	switch {
	case in.Draining && !x.Draining:
		return Leaving
	case !x.gone.IsZero():
		return Returned
	case in.Draining != x.Draining, in.Slots != x.Slots, in.DataCentre != x.DataCentre, in.Region != x.Region,
		counted(x.Cold, in.Cold, passed), counted(x.Left, in.Left, passed):
		return Renewed
	}
	return Same
}

// counted reports whether a time that was counted down differs from what is left of it.
func counted(before, now, passed time.Duration) bool {
	return (max(before-passed, 0) - now).Abs() > drift
}

// renew takes what another registration of the same incarnation may change. Its
// name, service and address stay: who sends to it reads them without the lock.
func (x *Target) renew(in Instance) {
	x.DataCentre, x.Region, x.Slots = in.DataCentre, in.Region, in.Slots
	x.Draining, x.Cold, x.Left = in.Draining, in.Cold, in.Left
}

// coldAfterReturn is how long a target that began anew under its own name is
// taken for cold: it may not have said so yet.
func (t *Table) coldAfterReturn(old *Target, in Instance) time.Duration {
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
		x.remove(now, revision)
		t.slots = nil
	}
}

// Keep removes all targets but those named: this is the whole store at a
// revision, and what vanished before is gone too.
func (t *Table) Keep(now time.Time, ids map[string]bool, revision jwstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slots = nil
	for id, x := range t.targets {
		if !ids[id] {
			x.remove(now, revision)
		}
	}
}

func (x *Target) remove(now time.Time, revision jwstore.Revision) {
	if x.gone.IsZero() && revision >= x.Revision {
		x.gone, x.Revision = now, revision
	}
}

// sweep drops records of targets that are gone for long.
func (t *Table) sweep(now time.Time) {
	for id, x := range t.targets {
		if !x.gone.IsZero() && now.Sub(x.gone) > forget && x.calls == 0 {
			delete(t.targets, id)
			t.remove(x)
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
	t.slots = nil
	for _, x := range t.targets {
		if x.DataCentre != dataCentre || t.Warmup == nil {
			continue
		}
		if d, _ := t.Warmup(x.Service); d > 0 {
			x.coldUntil = later(x.coldUntil, now.Add(d))
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
	x.coldUntil = later(x.coldUntil, now.Add(d))
}

// ServiceAt returns the service of the target at an address, "" for none.
func (t *Table) ServiceAt(a netip.AddrPort) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.targets {
		if x.Address == a && x.gone.IsZero() {
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
	t.index()
	for _, x := range t.places[service][t.Region] {
		if x.gone.IsZero() {
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
		if x.gone.IsZero() {
			list = append(list, x.instance(now))
		}
	}
	return list
}

// instance returns the registration with how long the target stays cold from now on.
func (x *Target) instance(now time.Time) Instance {
	in := x.Instance
	in.Cold = max(x.coldUntil.Sub(now), 0)
	return in
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
