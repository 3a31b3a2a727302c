package jwobserver

import (
	"net/netip"
	"time"

	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwaudit"
)

// The states of regions and platform services in the audit trail.
const (
	reachable = "reachable"
	lost      = "lost"
	answering = "answering"
	failing   = "failing"
)

// maxApplied is how many catalogue changes are recorded one by one at a time.
// More, such as at the start of a node, give one record.
const maxApplied = 64

// recordPeers records state changes of the other nodes of this region. Nodes of
// other regions are recorded there: if each node recorded all, the fleet would
// write every change once for each of its nodes.
func (o *Observer) recordPeers(peers []jwpeer.Peer) {
	now := make(map[string]jwpeer.State)
	for _, p := range peers {
		if p.Region != o.Region || p.Name == o.Node {
			continue
		}
		now[p.Name] = p.State
		if before, known := o.peers[p.Name]; o.peers != nil && (!known || before != p.State) {
			o.Audit.Add(jwaudit.Record{Kind: jwaudit.PeerState, Subject: p.Name, From: string(before), To: string(p.State)})
		}
	}
	for name, before := range o.peers {
		if _, known := now[name]; !known {
			o.Audit.Add(jwaudit.Record{Kind: jwaudit.PeerState, Subject: name, From: string(before), To: "forgotten"})
		}
	}
	o.peers = now
}

func (o *Observer) recordTargets(now map[netip.AddrPort]jwtarget.State) {
	for address, state := range now {
		if before, known := o.targets[address]; o.targets != nil && (!known || before != state) {
			o.Audit.Add(jwaudit.Record{
				Kind: jwaudit.TargetState, Subject: address.String(), From: string(before), To: string(state),
			})
		}
	}
	for address, before := range o.targets {
		if _, known := now[address]; !known {
			o.Audit.Add(jwaudit.Record{
				Kind: jwaudit.TargetState, Subject: address.String(), From: string(before), To: "unlisted",
			})
		}
	}
	o.targets = now
}

// recordRegions records when no messages from a region arrive any more, and when
// they arrive again. A network partition and the loss of all its nodes look the
// same here.
func (o *Observer) recordRegions(now time.Time, peers []jwpeer.Peer) {
	reachableNow := make(map[string]bool)
	for _, p := range o.Board.Peers.Fresh(now.Add(-o.RegionTimeout)) {
		reachableNow[p.Region] = true
	}
	known := make(map[string]bool)
	for _, p := range peers {
		known[p.Region] = true
	}
	for _, region := range o.Regions {
		switch {
		case region == o.Region:
		case reachableNow[region]:
			o.recordState(jwaudit.RegionState, region, reachable, "")
		case known[region] || o.states[region] != "":
			o.recordState(jwaudit.RegionState, region, lost, "nothing heard for "+o.RegionTimeout.String())
		}
	}
}

func (o *Observer) recordPlatform(now time.Time) {
	if _, takenAt := o.Board.Hosts.Hosts(); !takenAt.IsZero() {
		state, detail := answering, ""
		if now.Sub(takenAt) > o.MaxListAge {
			state, detail = failing, "the list is older than "+o.MaxListAge.String()
		}
		o.recordState(jwaudit.PlatformState, "hosts", state, detail)
	}
	if o.Store == nil {
		return
	}
	before, calls := o.calls, o.Store.Calls()
	o.calls = calls
	failures := calls.Failures - before.Failures
	ended := calls.Reads + calls.Writes + calls.Waits - before.Reads - before.Writes - before.Waits
	switch {
	case failures > 0 && failures >= ended:
		o.recordState(jwaudit.PlatformState, "keyValue", failing, "every call failed")
	case ended > failures:
		o.recordState(jwaudit.PlatformState, "keyValue", answering, "")
	}
}

// recordState records a state that differs from the last one of the subject. If the
// first state is reachable or answering, it is not recorded.
func (o *Observer) recordState(kind jwaudit.Kind, subject, state, detail string) {
	if o.states == nil {
		o.states = make(map[string]string)
	}
	before := o.states[subject]
	o.states[subject] = state
	healthy := state == reachable || state == answering
	if before == state || before == "" && healthy {
		return
	}
	o.Audit.Add(jwaudit.Record{Kind: kind, Subject: subject, From: before, To: state, Detail: detail})
}

// recordCatalogue records the changes that came into force here.
func (o *Observer) recordCatalogue() {
	now := o.Board.Catalogue.Revision()
	if now == o.revision {
		return
	}
	from := o.revision
	o.revision = now
	if now-from > maxApplied {
		o.Audit.Add(jwaudit.Record{Kind: jwaudit.Applied, Subject: "catalogue", Revision: now, Detail: "whole catalogue"})
		return
	}
	changes, checkpoint := o.Board.Catalogue.Changes(from, maxApplied)
	if checkpoint != nil {
		o.Audit.Add(jwaudit.Record{Kind: jwaudit.Applied, Subject: "catalogue", Revision: now, Detail: "whole catalogue"})
		return
	}
	for _, c := range changes {
		o.Audit.Add(jwaudit.Record{
			Kind: jwaudit.Applied, Subject: c.Entry, Revision: c.N, Author: c.Author, Detail: c.Reason,
		})
		o.revision = c.N
	}
}
