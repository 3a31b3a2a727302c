package jwpeer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Mark is a later state of a peer that the receiver knows, as far as it differs.
// Most words say only that a node lives or has a change in force; a mark is a
// tenth of a whole state.
type Mark struct {
	ID       uint64 // hash of name and incarnation
	Sequence uint64
	Revision uint64
	Base     uint64
	Age      time.Duration
}

func idOf(p Peer) uint64 { return xxhash.Sum64String(p.Name + "\x00" + p.Incarnation) }

// wordPace is how much longer each further node makes the time between two
// words about one, so that all words together stay within a node's budget.
const wordPace = 500 * time.Millisecond

// Pace is the time between two words about a node in a group of n.
func Pace(least time.Duration, n int) time.Duration {
	return max(least, wordPace*time.Duration(max(n, wordPaceFrom)))
}

// wordPaceFrom is the size of a group up to which the pace stays the same.
const wordPaceFrom = 10

// audience is one partner as far as it decides what it is sent.
type audience struct {
	name     string
	region   string
	away     bool   // in another region
	gatherer bool   // needs the revision in force at each node of the region
	since    uint64 // version of the table that the partner has, 0 for none
	wide     uint64 // the same for marks of other regions
	widely   bool   // marks of other regions are due
}

// telling is what a partner lacks.
type telling struct {
	peers   []Peer
	marks   []Mark
	version uint64
}

// lacks returns what the audience has not been digest.
//
// Another region is sent the nodes here, at the pace of the fleet, and receives
// of the rest from themselves. Within the region a new start, state or address
// goes to all; that a node lives goes to all at the pace of the region, and of
// other regions at the pace of the fleet; the revision in force at a node goes to the gatherer
// only, since all other nodes of a region need no more than that of a relay.
func (t *Table) lacks(a audience, now time.Time) telling {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := telling{version: t.version}
	here := t.region()
	a.away = a.region != here
	for name, k := range t.peers {
		away := k.Region != here
		switch {
		case name == a.name, k.Incarnation == "", a.away && away:
		case k.from == a.name && a.since > 0:
		case k.full > a.since:
			p := k.Peer
			p.Age = max(now.Sub(k.seen), 0)
			out.peers = append(out.peers, p)
		case k.due(a, name == t.self, away):
			out.marks = append(out.marks, Mark{
				ID: k.id, Sequence: k.Sequence, Revision: k.Revision, Base: k.Base, Age: max(now.Sub(k.seen), 0),
			})
		}
	}
	return out
}

func (k *known) due(a audience, self, away bool) bool {
	switch {
	case self, a.gatherer && !away:
		return k.any > a.since
	case away, a.away:
		return a.widely && k.any > a.wide
	}
	return k.beat > a.since
}

// take merges what a partner sent; false means that a mark names a peer that is
// not known here, so that the partner must report all again.
func (t *Table) take(from string, peers []Peer, marks []Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(from, peers, now)
	all := true
	for _, m := range marks {
		k := t.ids[m.ID]
		if k == nil {
			all = false
			continue
		}
		if k.Name == t.self || m.Sequence <= k.Sequence {
			continue
		}
		p := k.Peer
		p.Sequence, p.Revision, p.Base, p.Age = m.Sequence, m.Revision, m.Base, m.Age
		t.put(p, now)
		k.from = from
	}
	return all
}
