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
	mu      sync.Mutex
	self    string
	peers   map[string]*known
	version uint64
	changed chan struct{}
}

// MostAge is how old the word of a silent peer may be before it is forgotten.
const MostAge = time.Hour

// known is one peer with the moment its newest word came.
type known struct {
	Peer
	heard   time.Time
	version uint64 // table version of the last change others should hear soon
}

// SetSelf names the node this table belongs to and what it says of itself.
func (t *Table) SetSelf(p Peer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = p.Name
	t.put(p, now)
}

// Update changes what this node says of itself and returns it; the sequence
// rises so that the word goes out to others.
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

// Merge takes the newer words of the list and tells whether any was news that
// others should hear without waiting for the next period.
func (t *Table) Merge(peers []Peer, now time.Time) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.version
	for _, p := range peers {
		if p.Name == "" || p.Name == t.self {
			continue
		}
		k := t.peers[p.Name]
		if k != nil && !newer(p, k.Peer) || p.Age > MostAge {
			continue
		}
		t.put(p, now)
	}
	return t.version != before
}

// newer tells whether a is a later word of a peer than b. Incarnations sort by
// the time of their start, so a restarted node wins over its former self.
func newer(a, b Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func (t *Table) put(p Peer, now time.Time) {
	if t.peers == nil {
		t.peers = make(map[string]*known)
	}
	k := t.peers[p.Name]
	if k == nil {
		k = &known{}
		t.peers[p.Name] = k
	}
	if k.State != p.State || k.Revision != p.Revision || k.Incarnation != p.Incarnation {
		t.version++
		k.version = t.version
		if t.changed != nil {
			close(t.changed)
			t.changed = nil
		}
	}
	k.heard = now.Add(-max(p.Age, 0))
	k.Peer = p
	k.Age = 0
}

// Forget drops peers that said nothing since the given time, but never this
// node itself; it returns their names.
func (t *Table) Forget(before time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []string
	for name, k := range t.peers {
		if name != t.self && k.heard.Before(before) {
			delete(t.peers, name)
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

// Heard returns when the newest word of a peer came, the zero time for none.
func (t *Table) Heard(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.peers[name]; k != nil {
		return k.heard
	}
	return time.Time{}
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

// Told returns all known nodes with the age of their words.
func (t *Table) Told(now time.Time) []Peer {
	peers := t.Peers()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range peers {
		if k := t.peers[peers[i].Name]; k != nil {
			peers[i].Age = max(now.Sub(k.heard), 0)
		}
	}
	return peers
}

// Fresh returns the nodes heard of since the given time, sorted by name; this
// node itself is always fresh.
func (t *Table) Fresh(since time.Time) []Peer {
	t.mu.Lock()
	out := make([]Peer, 0, len(t.peers))
	for name, k := range t.peers {
		if name == t.self || !k.heard.Before(since) {
			out = append(out, k.Peer)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
