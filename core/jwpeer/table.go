package jwpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Table holds the newest known state of each node, this one included. One lock
// guards it, and no other lock is taken while it is held.
type Table struct {
	mu            sync.Mutex
	self          string // name of this node
	peers         map[string]*entry
	byMarkID      map[uint64]*entry
	version       uint64        // rises with each stored state
	urgentVersion uint64        // version of the last state that others should receive soon
	changed       chan struct{} // closed at the next urgent state; nil if no goroutine waits for it
}

// MaxAge is the max age of a peer's state. Received states that are older are
// ignored, and the node forgets peers whose newest state is older.
const MaxAge = time.Hour

// entry holds the newest state of one peer, when it was published, and the
// versions of the table at which the peer's last state of each kind was stored.
type entry struct {
	Peer
	markID           uint64
	lastSeen         time.Time // when the peer published the newest state, by the local clock
	source           string    // partner that sent the newest state, empty if no partner did
	anyVersion       uint64    // last state of any kind
	fullVersion      uint64    // last state with a change that a StateUpdate can't carry: incarnation, state or address
	heartbeatVersion uint64    // last state with no change but its sequence and OldestChange
}

// SetSelf stores the state of this node and makes it the owner of the table.
func (t *Table) SetSelf(p Peer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = p.Name
	t.put(p, now)
}

// Update changes the state of this node and returns it. It raises the sequence, so
// that the new state is sent to others.
func (t *Table) Update(now time.Time, change func(*Peer)) Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.peers[t.self]
	if e == nil {
		return Peer{}
	}
	p := e.Peer
	change(&p)
	p.Sequence++
	t.put(p, now)
	return p
}

// Self returns the state of this node.
func (t *Table) Self() Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.peers[t.self]; e != nil {
		return e.Peer
	}
	return Peer{}
}

// Merge stores those of the states that are newer than the known ones. It reports
// whether any of them should be sent on without waiting for the next period.
func (t *Table) Merge(peers []Peer, now time.Time) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.urgentVersion
	t.merge("", peers, now)
	return t.urgentVersion != before
}

func (t *Table) merge(partner string, peers []Peer, now time.Time) {
	for _, p := range peers {
		if p.Name == "" || p.Name == t.self {
			continue
		}
		e := t.peers[p.Name]
		if e != nil && !newer(p, e.Peer) || p.Age > MaxAge {
			continue
		}
		t.put(p, now)
		t.peers[p.Name].source = partner
	}
}

// newer reports whether a is a later state of a peer than b. Incarnations sort by
// the time of their start, so the state of a restarted node replaces those from
// before the restart.
func newer(a, b Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// put stores p as the newest state of its peer.
func (t *Table) put(p Peer, now time.Time) {
	if t.peers == nil {
		t.peers = make(map[string]*entry)
		t.byMarkID = make(map[uint64]*entry)
	}
	e := t.peers[p.Name]
	if e == nil {
		e = &entry{}
		t.peers[p.Name] = e
	}
	t.version++
	e.anyVersion = t.version
	switch {
	case !equalExceptUpdate(e.Peer, p):
		e.fullVersion = t.version
		t.reindex(e, p)
		t.signalChange()
	case e.Revision != p.Revision:
		t.signalChange()
	default:
		e.heartbeatVersion = t.version
	}
	e.lastSeen = now.Add(-max(p.Age, 0))
	e.source = ""
	e.Peer = p
	e.Age = 0
}

// equalExceptUpdate reports whether two states of a peer differ in nothing but the
// fields that a StateUpdate carries.
func equalExceptUpdate(a, b Peer) bool {
	a.Revision, a.OldestChange, a.Sequence, a.Age = b.Revision, b.OldestChange, b.Sequence, b.Age
	return a == b
}

// reindex stores the entry under the StateUpdate ID of its new state.
func (t *Table) reindex(e *entry, p Peer) {
	if t.byMarkID[e.markID] == e {
		delete(t.byMarkID, e.markID)
	}
	e.markID = hashUpdateID(p)
	t.byMarkID[e.markID] = e
}

// signalChange marks the current version as urgent and closes the channel of Changed.
func (t *Table) signalChange() {
	t.urgentVersion = t.version
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Forget removes the peers whose newest state is from before the given time, but
// never this node. It returns their names in sorted order.
func (t *Table) Forget(before time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var forgotten []string
	for name, e := range t.peers {
		if name != t.self && e.lastSeen.Before(before) {
			delete(t.peers, name)
			delete(t.byMarkID, e.markID)
			forgotten = append(forgotten, name)
		}
	}
	slices.Sort(forgotten)
	return forgotten
}

// Changed returns a channel that is closed at the next change of a peer, except for
// states that change nothing but the sequence and OldestChange.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// Get returns the state of the peer with the given name and whether it is known.
func (t *Table) Get(name string) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.peers[name]
	if e == nil {
		return Peer{}, false
	}
	return e.Peer, true
}

// LastSeen returns when a peer published its newest known state, or the zero time
// for an unknown peer.
func (t *Table) LastSeen(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.peers[name]; e != nil {
		return e.lastSeen
	}
	return time.Time{}
}

// Len returns the number of known nodes, this one included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// Peers returns all known nodes, this one included, sorted by name.
func (t *Table) Peers() []Peer {
	return t.Select(func(Peer) bool { return true })
}

// Select returns the known nodes that keep accepts, sorted by name.
func (t *Table) Select(keep func(Peer) bool) []Peer {
	t.mu.Lock()
	out := make([]Peer, 0, len(t.peers))
	for _, e := range t.peers {
		if keep(e.Peer) {
			out = append(out, e.Peer)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Fresh returns the nodes whose newest state is not from before the given time,
// sorted by name. This node is always included. With many nodes the heartbeat
// interval is longer, so older states are accepted accordingly.
func (t *Table) Fresh(since time.Time) []Peer {
	t.mu.Lock()
	limit := t.freshnessLimit(since)
	out := make([]Peer, 0, len(t.peers))
	for name, e := range t.peers {
		if name == t.self || !e.lastSeen.Before(limit(e)) {
			out = append(out, e.Peer)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Silent reports whether the newest state of a node is from before the given time,
// adjusted to the number of nodes as in Fresh. An unknown node is silent.
func (t *Table) Silent(name string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.peers[name]
	return e == nil || name != t.self && e.lastSeen.Before(t.freshnessLimit(since)(e))
}

// freshnessLimit returns a function that gives the earliest time at which the newest
// state of a peer still counts as fresh.
func (t *Table) freshnessLimit(since time.Time) func(*entry) time.Time {
	ownRegion := t.selfRegion()
	localLimit := since.Add(-extraDelay(t.activeInRegion(ownRegion)))
	remoteLimit := since.Add(-extraDelay(len(t.peers)))
	return func(e *entry) time.Time {
		if e.Region == ownRegion {
			return localLimit
		}
		return remoteLimit
	}
}

// extraDelay returns how much longer three heartbeat intervals are for n nodes than
// for a few.
func extraDelay(n int) time.Duration { return 3 * (HeartbeatInterval(0, n) - HeartbeatInterval(0, 0)) }

func (t *Table) selfRegion() string {
	if e := t.peers[t.self]; e != nil {
		return e.Region
	}
	return ""
}

func (t *Table) activeInRegion(region string) int {
	n := 0
	for _, e := range t.peers {
		if e.Region == region && isActive(e.Peer) {
			n++
		}
	}
	return n
}
