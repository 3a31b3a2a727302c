package jwmember

import (
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// suspectAfter is how long a registered node may stay unseen before it is
	// considered dead. Nodes of a region exchange state every second.
	suspectAfter = 3 * time.Second
	// registrationGrace is how long a newly registered node counts as live without
	// having been seen.
	registrationGrace = 2 * time.Second
	// indirectAge is the age given to a sighting that another node reports, and the
	// maximum age of the sightings that a node reports to others.
	indirectAge = time.Second
	// forgetAfter is how long an unregistered node is remembered after it was last
	// seen. Until then Count includes it, since it may still use its share.
	forgetAfter = time.Minute
	// countedFor is how long after seeing another node this one assumes that the
	// other counts it. It is below forgetAfter by more than any network delay
	// between the two.
	countedFor = 50 * time.Second
	// shareWindow is the one-second window over which shared limits hold, with a
	// margin.
	shareWindow = 1100 * time.Millisecond
)

// Member is a node's description of itself, as it registers and reports it.
type Member struct {
	Name           string         `json:"name"`
	Region         string         `json:"region"`
	DataCentre     string         `json:"dataCentre"`
	Callers        netip.AddrPort `json:"callers"`
	Nodes          netip.AddrPort `json:"nodes"`
	Start          int64          `json:"start"`   // start of the process in Unix nanoseconds; a later one is a new process
	ServingChanges int            `json:"change"`  // incremented whenever Serving changes
	Serving        bool           `json:"serving"` // false until a configuration is known and after a planned stop begins
	// StoreRoundTrip is the shortest round trip to the store in milliseconds, in steps of
	// roundTripStep; 0 if unknown.
	StoreRoundTrip int64 `json:"trip,omitempty"`
	// StoreLost is set while the node's calls of the store fail.
	StoreLost bool `json:"storeLost,omitempty"`
	// Capacity is that of its host, from its cores in hundredths of one or from its link, for
	// choosing relays.
	Capacity int `json:"capacity,omitempty"`
}

// Table holds this node and what it knows of the others. Set the exported fields
// before use; the methods are safe for concurrent use.
type Table struct {
	Self           Member
	RelayThreshold int // number of nodes in a region at which they start to report through relays; 0 means DefaultRelayThreshold

	mu            sync.Mutex
	members       map[string]*record
	resumedAt     time.Time // when the process last resumed after a pause, zero if it never did
	stoppedAt     time.Time // when this node stopped serving
	listedAt      time.Time // when this process first read its own registration in the store, zero if there is none
	firstListedAt time.Time // as listedAt, but kept when the registration is gone
	views         map[string]view
	fleetSize     int       // number of nodes in all regions as recorded in the store, 0 if unknown
	previousStart int64     // start time of this node's previous process in Unix nanoseconds, 0 if unknown
	countedAt     time.Time // from when on all other nodes count this one, zero if unknown
}

// record is what this node knows of another one.
type record struct {
	Member
	registered   bool
	registeredAt time.Time // when this process learned of the registration
	lastSeen     time.Time
	firstSeen    time.Time // when this process first saw the node directly
	lastFailed   time.Time // when it was last unreachable, to this node or as a relay reported
	stoppedAt    time.Time // when this node first learned of its planned stop, zero if it is not stopping
}

// StoppingNode is a node in a planned stop.
type StoppingNode struct {
	Member
	Since time.Duration // time since this node learned of the stop
}

// Put records the registration of a node and reports whether it comes from a
// later process than the known one.
func (t *Table) Put(now time.Time, m Member) (restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(m)
	if r == nil {
		return false
	}
	if !r.registered || r.Start < m.Start {
		r.registeredAt = now
	}
	t.invalidateViews()
	r.registered = true
	return r.merge(now, m)
}

// Seen records that a node reported its own state, and reports whether it is a
// later process than the known one.
func (t *Table) Seen(now time.Time, m Member) (restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(m)
	if r == nil {
		return false
	}
	if r.firstSeen.IsZero() {
		r.firstSeen = now
	}
	if !t.live(now, r) || r.Start != m.Start || r.ServingChanges != m.ServingChanges {
		t.invalidateViews()
	}
	r.lastSeen = now
	return r.merge(now, m)
}

// SeenByOther records that another node has seen the named nodes recently. It
// covers the nodes of other regions, which are too many to exchange state with
// each.
func (t *Table) SeenByOther(now time.Time, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		r := t.members[name]
		if at := now.Add(-indirectAge); r != nil && at.After(r.lastSeen) {
			if !t.live(now, r) {
				t.invalidateViews()
			}
			r.lastSeen = at
		}
	}
}

// LocalSeen returns the names, sorted, of the serving nodes of this node's region
// that were seen recently. Other nodes pass them to SeenByOther.
func (t *Table) LocalSeen(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, r := range t.members {
		if r.Serving && r.Region == t.Self.Region && now.Sub(r.lastSeen) < indirectAge && !r.lastFailed.After(r.lastSeen) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Contact returns the node of another region that this one exchanges state with,
// and false if none is known. Rendezvous hashing over the live nodes spreads the
// contacts; if no node is live, it chooses among all known ones.
func (t *Table) Contact(now time.Time, region string) (Member, bool) {
	list := t.Live(now, region)
	if len(list) == 0 {
		for _, m := range t.Peers(now) {
			if m.Region == region {
				list = append(list, m)
			}
		}
	}
	var best Member
	maxScore := uint64(0)
	for _, m := range list {
		if s := rendezvousScore(t.Self.Name, m.Name); best.Name == "" || s > maxScore {
			best, maxScore = m, s
		}
	}
	return best, best.Name != ""
}

// Answered records that a node answered a call that says nothing of its state.
func (t *Table) Answered(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[name]; r != nil {
		r.lastSeen = now
		t.invalidateViews()
	}
}

// MarkUnreachable records that a node could not be reached.
func (t *Table) MarkUnreachable(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[name]; r != nil {
		r.lastFailed = now
		t.invalidateViews()
	}
}

// Resumed discards all sightings after this process was paused: its clock may
// have stopped too, so that old sightings look recent. Live nodes are seen again
// soon. Count still includes all of them.
func (t *Table) Resumed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumedAt = now
	t.invalidateViews()
}

// RegistrationRead records that this node read a registration under its own name in the
// store. One of an earlier process is ignored: it does not show that this process is registered.
func (t *Table) RegistrationRead(now time.Time, m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Start != t.Self.Start {
		return
	}
	if t.listedAt.IsZero() {
		t.listedAt = now
	}
	if t.firstListedAt.IsZero() {
		t.firstListedAt = now
	}
}

// Remove records that the registration of a node is gone.
func (t *Table) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == t.Self.Name {
		t.listedAt = time.Time{}
	}
	if r := t.members[name]; r != nil {
		r.registered = false
		t.invalidateViews()
	}
}

// RemoveExcept removes all registrations except the named ones, and forgets unregistered
// nodes that were not seen for a minute.
func (t *Table) RemoveExcept(now time.Time, names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalidateViews()
	if !names[t.Self.Name] {
		t.listedAt = time.Time{}
	}
	for name, r := range t.members {
		if !names[name] {
			r.registered = false
		}
		if !r.registered && now.Sub(r.lastSeen) > forgetAfter {
			delete(t.members, name)
		}
	}
}

// recordOf returns the record of a node and creates it if needed. It returns nil
// for a node without a name and for this node.
func (t *Table) recordOf(m Member) *record {
	if m.Name == "" || m.Name == t.Self.Name {
		return nil
	}
	if t.members == nil {
		t.members = make(map[string]*record)
	}
	r := t.members[m.Name]
	if r == nil {
		r = &record{}
		t.members[m.Name] = r
	}
	return r
}

// merge adopts m if it is not older than the known state: the store may still
// hold what a stopping process wrote before its stop, and callers must not be sent
// there again. It reports whether m comes from a later process.
func (r *record) merge(now time.Time, m Member) (restarted bool) {
	restarted = r.Start != 0 && m.Start > r.Start
	if m.Start > r.Start {
		r.stoppedAt = time.Time{}
	}
	if m.Start > r.Start || m.Start == r.Start && m.ServingChanges >= r.ServingChanges {
		r.Member = m
	}
	if r.stoppedAt.IsZero() && r.isStopping() {
		r.stoppedAt = now
	}
	return restarted
}

// isStopping reports whether a node has served before and no longer does.
func (m *Member) isStopping() bool { return !m.Serving && m.ServingChanges > 0 }

// live reports whether a node is considered to be running.
func (t *Table) live(now time.Time, r *record) bool {
	if !r.lastSeen.After(t.resumedAt) && !t.resumedAt.IsZero() {
		return false
	}
	if now.Sub(r.lastSeen) < suspectAfter && !r.lastFailed.After(r.lastSeen) {
		return true
	}
	return r.registered && now.Sub(r.registeredAt) < registrationGrace && !r.lastFailed.After(r.registeredAt)
}

// Known returns what another node reported last, also if it is considered dead.
func (t *Table) Known(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[name]
	if r == nil || !r.Nodes.IsValid() {
		return Member{}, false
	}
	return r.Member, true
}

// RecentlySeen reports whether a node was seen within half of suspectAfter.
func (t *Table) RecentlySeen(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[name]
	return r != nil && now.Sub(r.lastSeen) < suspectAfter/2
}

// StoppingInRegion returns the nodes of a region whose planned stop was learned of within
// the last minute and that were not unreachable since they were last seen, sorted
// by name. It includes this node while it is stopping.
func (t *Table) StoppingInRegion(now time.Time, region string) []StoppingNode {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []StoppingNode
	if t.Self.isStopping() && t.Self.Region == region {
		list = append(list, StoppingNode{t.Self, now.Sub(t.stoppedAt)})
	}
	for _, r := range t.members {
		if r.Region == region && r.isStopping() && !r.stoppedAt.IsZero() && now.Sub(r.stoppedAt) < forgetAfter && !r.lastFailed.After(r.lastSeen) {
			list = append(list, StoppingNode{r.Member, now.Sub(r.stoppedAt)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// StoppingFor returns how long ago this node learned of the planned stop of another one; ok is false if that isn't stopping.
func (t *Table) StoppingFor(now time.Time, name string) (since time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[name]
	if r == nil || !r.isStopping() || r.stoppedAt.IsZero() {
		return 0, false
	}
	return now.Sub(r.stoppedAt), true
}

// Peers returns the nodes to exchange state with, sorted by name: all that are
// registered or were seen within a minute, serving or not.
func (t *Table) Peers(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, r := range t.members {
		if r.registered || now.Sub(r.lastSeen) < forgetAfter {
			list = append(list, r.Member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Serve sets whether this node serves, and returns its updated description.
func (t *Table) Serve(now time.Time, on bool) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Self.Serving != on {
		t.invalidateViews()
		t.Self.Serving = on
		t.Self.ServingChanges++
		if !on {
			t.stoppedAt = now
		}
	}
	return t.Self
}

// SetAddresses sets the addresses at which callers and other nodes reach this node.
func (t *Table) SetAddresses(callers, nodes netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalidateViews()
	t.Self.Callers, t.Self.Nodes = callers, nodes
}

// Local returns the description of this node.
func (t *Table) Local() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Self
}
