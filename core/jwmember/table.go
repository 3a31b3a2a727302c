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
	// taken for dead. Nodes of a region exchange state every second.
	suspectAfter = 3 * time.Second
	// registrationGrace is how long a new registration counts before the node is seen.
	registrationGrace = 2 * time.Second
	// indirectAge is how old the report may be that another node was seen.
	indirectAge = time.Second
	// forgetAfter is how long an unregistered, unresponsive node is remembered; it still
	// counts where shares have to be cautious.
	forgetAfter = time.Minute
	// countedFor is how long a node relies on being counted by another that it
	// seen: less than that one remembers it, by more than any way between them.
	countedFor = 50 * time.Second
	// shareWindow is what sums are kept within, with some room.
	shareWindow = 1100 * time.Millisecond
)

// Member is a node as it describes itself.
type Member struct {
	Name       string         `json:"name"`
	Region     string         `json:"region"`
	DataCentre string         `json:"dataCentre"`
	Callers    netip.AddrPort `json:"callers"`
	Nodes      netip.AddrPort `json:"nodes"`
	Start      int64          `json:"start"`              // Unix nanoseconds; a later one is a new process
	Change     int            `json:"change"`             // rises when Serving changes
	Serving    bool           `json:"serving"`            // false before a configuration is known and from a planned stop on
	Trip       int64          `json:"trip,omitempty"`     // milliseconds to the store and back, in steps of tripStep, 0 if not known
	Capacity   int            `json:"capacity,omitempty"` // what its host can do, in hundredths of a core or as its link allows, for the choice of relays
}

// Table holds the other nodes; set its fields before use.
type Table struct {
	Self           Member
	RelayThreshold int // nodes of a region from which on they report through relays, 0 for DefaultRelayThreshold

	mu            sync.Mutex
	members       map[string]*record
	resumedAt     time.Time // from the last pause of the process, zero before one
	stoppedAt     time.Time // when the node itself ceased to serve
	listedAt      time.Time // when this process read its own registration in the store, zero while it has not
	views         map[string]view
	fleetSize     int       // nodes of all regions as the store keeps it, 0 if that isn't known
	previousStart int64     // when the process before this one started, Unix nanoseconds, 0 if not known
	countedAt     time.Time // from when on all others count this node, zero if that isn't known
}

type record struct {
	Member
	registered   bool
	registeredAt time.Time // of the registration
	lastSeen     time.Time
	firstSeen    time.Time // first seen by this process
	lastFailed   time.Time // last attempt to reach it that failed
	stoppedAt    time.Time // when it was first seen that this process stops by plan, zero before
}

// Leaver is a node that stops by plan.
type Leaver struct {
	Member
	Since time.Duration // since its stop was seen of
}

// Put takes the registration of a node; it reports whether it is of a process
// that began anew.
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

// Seen notes that a node reported itself; it reports whether that is a process that
// began anew.
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
	if !t.live(now, r) || r.Start != m.Start || r.Change != m.Change {
		t.invalidateViews()
	}
	r.lastSeen = now
	return r.merge(now, m)
}

// SeenByOther notes that another node says that it seen these lately. Nodes of
// other regions are too many to exchange state with each.
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

// LocalSeen returns the names of the serving nodes of the own region that were
// seen lately, for SeenByOther elsewhere.
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

// Contact returns the node of another region that this one exchanges state with: by
// rendezvous among the live, so that each has about as many, or among all that
// are known where none is believed to live.
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

// Failed notes that a node could not be reached.
func (t *Table) Failed(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[name]; r != nil {
		r.lastFailed = now
		t.invalidateViews()
	}
}

// Resumed forgets who was seen: the node itself stood still, and by its clock
// that may look fresh. Those that live are seen within moments.
// They still count where shares have to be cautious.
func (t *Table) Resumed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumedAt = now
	t.invalidateViews()
}

// Listed notes that the node read a registration of its own name in the store;
// one of an earlier process says nothing about this one.
func (t *Table) Listed(now time.Time, m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Start == t.Self.Start && t.listedAt.IsZero() {
		t.listedAt = now
	}
}

// Remove notes that the registration of a node is gone.
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

// Keep removes all registrations but those named.
func (t *Table) Keep(now time.Time, names map[string]bool) {
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

// merge keeps what is newer: the store may still tell what a process that is
// stopping wrote before, and callers must not be sent there again. It tells
// whether the process is a later one.
func (r *record) merge(now time.Time, m Member) (restarted bool) {
	restarted = r.Start != 0 && m.Start > r.Start
	if m.Start > r.Start {
		r.stoppedAt = time.Time{}
	}
	if m.Start > r.Start || m.Start == r.Start && m.Change >= r.Change {
		r.Member = m
	}
	if r.stoppedAt.IsZero() && r.isStopping() {
		r.stoppedAt = now
	}
	return restarted
}

// isStopping reports whether a node has served and does not any more.
func (m *Member) isStopping() bool { return !m.Serving && m.Change > 0 }

// live reports whether a node is taken to run.
func (t *Table) live(now time.Time, r *record) bool {
	if !r.lastSeen.After(t.resumedAt) && !t.resumedAt.IsZero() {
		return false
	}
	if now.Sub(r.lastSeen) < suspectAfter && !r.lastFailed.After(r.lastSeen) {
		return true
	}
	return r.registered && now.Sub(r.registeredAt) < registrationGrace && !r.lastFailed.After(r.registeredAt)
}

// RecentlySeen reports whether a node was seen lately.
func (t *Table) RecentlySeen(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[name]
	return r != nil && now.Sub(r.lastSeen) < suspectAfter/2
}

// Leaving returns the nodes of a region that stop by plan and were seen, or seen
// of, since their stop, by name, the node itself among them.
func (t *Table) Leaving(now time.Time, region string) []Leaver {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Leaver
	if t.Self.isStopping() && t.Self.Region == region {
		list = append(list, Leaver{t.Self, now.Sub(t.stoppedAt)})
	}
	for _, r := range t.members {
		if r.Region == region && r.isStopping() && !r.stoppedAt.IsZero() && now.Sub(r.stoppedAt) < forgetAfter && !r.lastFailed.After(r.lastSeen) {
			list = append(list, Leaver{r.Member, now.Sub(r.stoppedAt)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Peers returns the nodes to talk to: all that are registered or were seen
// lately, serving or not.
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

// Serve sets whether the node itself serves.
func (t *Table) Serve(now time.Time, on bool) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Self.Serving != on {
		t.invalidateViews()
		t.Self.Serving = on
		t.Self.Change++
		if !on {
			t.stoppedAt = now
		}
	}
	return t.Self
}

// Locate sets where the node itself is reached.
func (t *Table) Locate(callers, nodes netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalidateViews()
	t.Self.Callers, t.Self.Nodes = callers, nodes
}

// Me returns the node itself.
func (t *Table) Me() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Self
}
