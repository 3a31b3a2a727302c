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

func hashMarkID(p Peer) uint64 { return xxhash.Sum64String(p.Name + "\x00" + p.Incarnation) }

// heartbeatIntervalPerNode is how much longer each further node makes the time between two
// words about one, so that all words together stay within a node's budget.
const heartbeatIntervalPerNode = 500 * time.Millisecond

// HeartbeatInterval is the time between two words about a node in a group of n.
func HeartbeatInterval(least time.Duration, n int) time.Duration {
	return max(least, heartbeatIntervalPerNode*time.Duration(max(n, minHeartbeatNodes)))
}

// minHeartbeatNodes is the size of a group up to which the pace stays the same.
const minHeartbeatNodes = 10

// recipient is one partner as far as it decides what it is sent.
type recipient struct {
	name              string
	region            string
	remote            bool   // in another region
	gatherer          bool   // needs the revision in force at each node of the region
	sentVersion       uint64 // version of the table that the partner has, 0 for none
	remoteSentVersion uint64 // the same for marks of other regions
	remoteDue         bool   // marks of other regions are due
}

// delta is what a partner lacks.
type delta struct {
	peers   []Peer
	marks   []Mark
	version uint64
}

// deltaFor returns what the audience has not been digest.
//
// Another region is sent the nodes here, at the pace of the fleet, and receives
// of the rest from themselves. Within the region a new start, state or address
// goes to all; that a node lives goes to all at the pace of the region, and of
// other regions at the pace of the fleet; the revision in force at a node goes to the gatherer
// only, since all other nodes of a region need no more than that of a relay.
func (t *Table) deltaFor(a recipient, now time.Time) delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := delta{version: t.version}
	here := t.selfRegion()
	a.remote = a.region != here
	for name, k := range t.peers {
		away := k.Region != here
		switch {
		case name == a.name, k.Incarnation == "", a.remote && away:
		case k.source == a.name && a.sentVersion > 0:
		case k.fullVersion > a.sentVersion:
			p := k.Peer
			p.Age = max(now.Sub(k.lastSeen), 0)
			out.peers = append(out.peers, p)
		case k.markDue(a, name == t.self, away):
			out.marks = append(out.marks, Mark{
				ID: k.markID, Sequence: k.Sequence, Revision: k.Revision, Base: k.Base, Age: max(now.Sub(k.lastSeen), 0),
			})
		}
	}
	return out
}

func (k *entry) markDue(a recipient, self, away bool) bool {
	switch {
	case self, a.gatherer && !away:
		return k.anyVersion > a.sentVersion
	case away, a.remote:
		return a.remoteDue && k.anyVersion > a.remoteSentVersion
	}
	return k.heartbeatVersion > a.sentVersion
}

// receive merges what a partner sent; false means that a mark names a peer that is
// not known here, so that the partner must report all again.
func (t *Table) receive(from string, peers []Peer, marks []Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(from, peers, now)
	all := true
	for _, m := range marks {
		k := t.byMarkID[m.ID]
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
		k.source = from
	}
	return all
}
