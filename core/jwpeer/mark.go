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
func HeartbeatInterval(minInterval time.Duration, n int) time.Duration {
	return max(minInterval, heartbeatIntervalPerNode*time.Duration(max(n, minHeartbeatNodes)))
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
func (t *Table) deltaFor(to recipient, now time.Time) delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := delta{version: t.version}
	selfRegion := t.selfRegion()
	to.remote = to.region != selfRegion
	for name, e := range t.peers {
		remotePeer := e.Region != selfRegion
		switch {
		case name == to.name, e.Incarnation == "", to.remote && remotePeer:
		case e.source == to.name && to.sentVersion > 0:
		case e.fullVersion > to.sentVersion:
			p := e.Peer
			p.Age = max(now.Sub(e.lastSeen), 0)
			out.peers = append(out.peers, p)
		case e.markDue(to, name == t.self, remotePeer):
			out.marks = append(out.marks, Mark{
				ID: e.markID, Sequence: e.Sequence, Revision: e.Revision, Base: e.Base, Age: max(now.Sub(e.lastSeen), 0),
			})
		}
	}
	return out
}

func (e *entry) markDue(to recipient, self, remotePeer bool) bool {
	switch {
	case self, to.gatherer && !remotePeer:
		return e.anyVersion > to.sentVersion
	case remotePeer, to.remote:
		return to.remoteDue && e.anyVersion > to.remoteSentVersion
	}
	return e.heartbeatVersion > to.sentVersion
}

// receive merges what a partner sent; false means that a mark names a peer that is
// not known here, so that the partner must report all again.
func (t *Table) receive(source string, peers []Peer, marks []Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(source, peers, now)
	allKnown := true
	for _, m := range marks {
		e := t.byMarkID[m.ID]
		if e == nil {
			allKnown = false
			continue
		}
		if e.Name == t.self || m.Sequence <= e.Sequence {
			continue
		}
		p := e.Peer
		p.Sequence, p.Revision, p.Base, p.Age = m.Sequence, m.Revision, m.Base, m.Age
		t.put(p, now)
		e.source = source
	}
	return allKnown
}
