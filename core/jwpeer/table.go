package jwpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Table holds what this node knows of all nodes, itself included.
// One lock guards it; it is a leaf in the lock order of the board.
type Table struct {
	mu            sync.Mutex
	self          string
	peers         map[string]*entry
	byMarkID      map[uint64]*entry
	version       uint64 // rises with every state
	urgentVersion uint64 // version of the last state that others should get soon
	changed       chan struct{}
}

// MostAge is how old the state of an unresponsive peer may be before it is forgotten.
const MostAge = time.Hour

// entry is one peer with the moment its newest state came and the versions of
// the table at its last words of each kind.
type entry struct {
	Peer
	markID           uint64
	lastSeen         time.Time
	source           string // partner that brought the newest report
	anyVersion       uint64 // a report of any kind
	fullVersion      uint64 // one that a mark can't carry: a new start, state or address
	heartbeatVersion uint64 // one that says no more than that the peer lives
}

// SetSelf names the node this table belongs to and what it says of itself.
func (t *Table) SetSelf(p Peer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = p.Name
	t.put(p, now)
}

// Update changes what this node says of itself and returns it; the sequence
// rises so that the state goes out to others.
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

// Self returns what this node says of itself.
func (t *Table) Self() Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.peers[t.self]; e != nil {
		return e.Peer
	}
	return Peer{}
}

// Merge takes the newer states of the list and reports whether any was news that
// others should get without waiting for the next period.
func (t *Table) Merge(peers []Peer, now time.Time) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.urgentVersion
	t.merge("", peers, now)
	return t.urgentVersion != before
}

func (t *Table) merge(source string, peers []Peer, now time.Time) {
	for _, p := range peers {
		if p.Name == "" || p.Name == t.self {
			continue
		}
		e := t.peers[p.Name]
		if e != nil && !newer(p, e.Peer) || p.Age > MostAge {
			continue
		}
		t.put(p, now)
		t.peers[p.Name].source = source
	}
}

// newer reports whether a is a later state of a peer than b. Incarnations sort by
// the time of their start, so a restarted node wins over its former self.
func newer(a, b Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

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
	case !equalExceptMark(e.Peer, p):
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

// equalExceptMark reports whether two words of a peer differ in nothing that a mark
// leaves out.
func equalExceptMark(a, b Peer) bool {
	a.Revision, a.Base, a.Sequence, a.Age = b.Revision, b.Base, b.Sequence, b.Age
	return a == b
}

func (t *Table) reindex(e *entry, p Peer) {
	if t.byMarkID[e.markID] == e {
		delete(t.byMarkID, e.markID)
	}
	e.markID = hashMarkID(p)
	t.byMarkID[e.markID] = e
}

func (t *Table) signalChange() {
	t.urgentVersion = t.version
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Forget drops peers that said nothing since the given time, but never this
// node itself; it returns their names.
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

// Changed returns a channel that closes at the next change of a state, a
// revision or an incarnation.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// Get returns the peer of a name.
func (t *Table) Get(name string) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.peers[name]
	if e == nil {
		return Peer{}, false
	}
	return e.Peer, true
}

// LastSeen returns when the newest state of a peer came, the zero time for none.
func (t *Table) LastSeen(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.peers[name]; e != nil {
		return e.lastSeen
	}
	return time.Time{}
}

// Len returns how many nodes are known, this one included.
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

// Fresh returns the nodes seen of since the given time, sorted by name; this
// node itself is always fresh. Where there are many nodes their words come at a
// slower pace, so that they may be older by as much.
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

// Silent reports whether a node has not been seen since the given time, which
// is put off for many nodes as by Fresh; an unknown one is silent.
func (t *Table) Silent(name string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.peers[name]
	return e == nil || name != t.self && e.lastSeen.Before(t.freshnessLimit(since)(e))
}

// freshnessLimit returns the time before which the newest state of a peer is too old.
func (t *Table) freshnessLimit(since time.Time) func(*entry) time.Time {
	selfRegion := t.selfRegion()
	localLimit := since.Add(-extraDelay(t.activeInRegion(selfRegion)))
	remoteLimit := since.Add(-extraDelay(len(t.peers)))
	return func(e *entry) time.Time {
		if e.Region == selfRegion {
			return localLimit
		}
		return remoteLimit
	}
}

// extraDelay is by how much three words at the pace of n nodes take longer than
// at the pace of a few.
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
