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
	k := t.peers[t.self]
	if k == nil {
		return Peer{}
	}
	p := k.Peer
	change(&p)
	p.Sequence++
	t.put(p, now)
	return p
}

// Self returns what this node says of itself.
func (t *Table) Self() Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.peers[t.self]; k != nil {
		return k.Peer
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

func (t *Table) merge(from string, peers []Peer, now time.Time) {
	for _, p := range peers {
		if p.Name == "" || p.Name == t.self {
			continue
		}
		k := t.peers[p.Name]
		if k != nil && !newer(p, k.Peer) || p.Age > MostAge {
			continue
		}
		t.put(p, now)
		t.peers[p.Name].source = from
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
	k := t.peers[p.Name]
	if k == nil {
		k = &entry{}
		t.peers[p.Name] = k
	}
	t.version++
	k.anyVersion = t.version
	switch {
	case !equalExceptMark(k.Peer, p):
		k.fullVersion = t.version
		t.reindex(k, p)
		t.signalChange()
	case k.Revision != p.Revision:
		t.signalChange()
	default:
		k.heartbeatVersion = t.version
	}
	k.lastSeen = now.Add(-max(p.Age, 0))
	k.source = ""
	k.Peer = p
	k.Age = 0
}

// equalExceptMark reports whether two words of a peer differ in nothing that a mark
// leaves out.
func equalExceptMark(a, b Peer) bool {
	a.Revision, a.Base, a.Sequence, a.Age = b.Revision, b.Base, b.Sequence, b.Age
	return a == b
}

func (t *Table) reindex(k *entry, p Peer) {
	if t.byMarkID[k.markID] == k {
		delete(t.byMarkID, k.markID)
	}
	k.markID = hashMarkID(p)
	t.byMarkID[k.markID] = k
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
	var gone []string
	for name, k := range t.peers {
		if name != t.self && k.lastSeen.Before(before) {
			delete(t.peers, name)
			delete(t.byMarkID, k.markID)
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
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
	k := t.peers[name]
	if k == nil {
		return Peer{}, false
	}
	return k.Peer, true
}

// LastSeen returns when the newest state of a peer came, the zero time for none.
func (t *Table) LastSeen(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.peers[name]; k != nil {
		return k.lastSeen
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
	for _, k := range t.peers {
		if keep(k.Peer) {
			out = append(out, k.Peer)
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
	allowed := t.freshnessLimit(since)
	out := make([]Peer, 0, len(t.peers))
	for name, k := range t.peers {
		if name == t.self || !k.lastSeen.Before(allowed(k)) {
			out = append(out, k.Peer)
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
	k := t.peers[name]
	return k == nil || name != t.self && k.lastSeen.Before(t.freshnessLimit(since)(k))
}

// freshnessLimit returns the time before which the newest state of a peer is too old.
func (t *Table) freshnessLimit(since time.Time) func(*entry) time.Time {
	region := t.selfRegion()
	home := since.Add(-extraDelay(t.activeInRegion(region)))
	away := since.Add(-extraDelay(len(t.peers)))
	return func(k *entry) time.Time {
		if k.Region == region {
			return home
		}
		return away
	}
}

// extraDelay is by how much three words at the pace of n nodes take longer than
// at the pace of a few.
func extraDelay(n int) time.Duration { return 3 * (HeartbeatInterval(0, n) - HeartbeatInterval(0, 0)) }

func (t *Table) selfRegion() string {
	if k := t.peers[t.self]; k != nil {
		return k.Region
	}
	return ""
}

func (t *Table) activeInRegion(region string) int {
	n := 0
	for _, k := range t.peers {
		if k.Region == region && isActive(k.Peer) {
			n++
		}
	}
	return n
}
