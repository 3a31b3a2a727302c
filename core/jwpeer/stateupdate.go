package jwpeer

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StateUpdate is a short update of a peer's state for a receiver that already knows the
// peer. Most updates only report that a node is alive or has a change in force, and a
// StateUpdate is a tenth of the size of a complete Peer.
type StateUpdate struct {
	ID           uint64 // hash of the part of the peer's state that the update doesn't carry
	Sequence     uint64
	Revision     uint64
	OldestChange uint64
	Age          time.Duration
}

// hashUpdateID returns the ID of the updates of a peer. It covers all that equalExceptUpdate
// compares: a receiver that missed the last complete state must not combine an older one with
// the sequence of the update, or it would ignore the complete state when it is sent again.
func hashUpdateID(p Peer) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		p.Name, p.Incarnation, string(p.State), p.Region, p.DataCentre, p.CallerAddress.String(), p.NodeAddress.String(),
	}, "\x00"))
}

// heartbeatIntervalPerNode is the time that each node of a group adds to the
// heartbeat interval, so that all heartbeats together stay within a node's budget
// for them.
const heartbeatIntervalPerNode = 500 * time.Millisecond

// HeartbeatInterval returns the time between two heartbeats of one node in a group
// of n nodes; it is at least minInterval.
func HeartbeatInterval(minInterval time.Duration, n int) time.Duration {
	return max(minInterval, heartbeatIntervalPerNode*time.Duration(max(n, minHeartbeatNodes)))
}

// minHeartbeatNodes is the size of a group up to which the interval stays the same.
const minHeartbeatNodes = 10

// recipient is what determines the states that a partner is sent.
type recipient struct {
	name              string
	region            string
	remote            bool   // whether the partner is in another region
	gatherer          bool   // whether it needs the revision in force at each node of the region
	sentVersion       uint64 // version of the table that the partner has, 0 for none
	remoteSentVersion uint64 // sentVersion for the updates that are sent when remoteDue
	remoteDue         bool   // whether updates of or for another region are due
}

// delta is what a partner has not been sent yet.
type delta struct {
	peers   []Peer
	updates []StateUpdate
	version uint64 // version of the table that the partner has afterwards
}

// deltaFor returns the states that the recipient has not been sent yet.
//
// A partner in another region is sent only the nodes of this region, at the
// heartbeat interval of the fleet; it learns of the others from their own regions.
// Within the region, a new incarnation, state or address is sent to all partners.
// Heartbeats are sent to all partners, too: those of this region at the interval
// of the region, those of other regions at the interval of the fleet. The revision
// in force at a node is sent to the gatherer only, because all other nodes of a
// region need only that of a relay.
func (t *Table) deltaFor(to recipient, now time.Time) delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := delta{version: t.version}
	ownRegion := t.selfRegion()
	to.remote = to.region != ownRegion
	for name, e := range t.peers {
		remotePeer := e.Region != ownRegion
		switch {
		case name == to.name, e.Incarnation == "", to.remote && remotePeer:
		case e.source == to.name && to.sentVersion > 0:
		case e.fullVersion > to.sentVersion:
			p := e.Peer
			p.Age = max(now.Sub(e.lastSeen), 0)
			out.peers = append(out.peers, p)
		case e.markDue(to, name == t.self, remotePeer):
			out.updates = append(out.updates, StateUpdate{
				ID: e.markID, Sequence: e.Sequence, Revision: e.Revision, OldestChange: e.OldestChange, Age: max(now.Sub(e.lastSeen), 0),
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

// receive stores the states that a partner sent. It returns false if an update is of
// an unknown peer, so that the partner must send everything again.
func (t *Table) receive(partner string, peers []Peer, updates []StateUpdate, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(partner, peers, now)
	allKnown := true
	for _, m := range updates {
		e := t.byMarkID[m.ID]
		if e == nil {
			allKnown = false
			continue
		}
		if e.Name == t.self || m.Sequence <= e.Sequence {
			continue
		}
		p := e.Peer
		p.Sequence, p.Revision, p.OldestChange, p.Age = m.Sequence, m.Revision, m.OldestChange, m.Age
		t.put(p, now)
		e.source = partner
	}
	return allKnown
}
