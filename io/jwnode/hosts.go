package jwnode

import (
	"time"

	"jujubewheel/core/jwhost"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwtarget"
)

// applyHosts updates the tables of targets and peers from the platform's host
// list.
func (n *Node) applyHosts(hosts []jwhost.Host, now time.Time) {
	var targets []jwtarget.Target
	var peers []jwpeer.Peer
	for _, h := range hosts {
		switch h.Role {
		case jwhost.Target:
			if h.Region == n.Settings.Region {
				targets = append(targets, targetOf(h))
			}
		case jwhost.Node:
			if h.Name != n.Settings.Node && !h.Leaving {
				peers = append(peers, peerOf(h))
			}
		}
	}
	n.board.Targets.Set(targets, now)
	n.addPeers(peers, now)
}

// addSeeds adds the seed nodes of the settings to the table of peers.
func (n *Node) addSeeds(now time.Time) {
	var peers []jwpeer.Peer
	for _, s := range n.Settings.Seeds {
		if s.Node == n.Settings.Node {
			continue
		}
		peers = append(peers, jwpeer.Peer{
			Name: s.Node, Region: n.Settings.Region, DataCentre: n.Settings.DataCentre, NodeAddress: s.Address, State: jwpeer.Joining,
		})
	}
	n.addPeers(peers, now)
}

// addPeers adds listed nodes to the table of peers, so that exchanges with them
// can begin. A state that a node reported itself always takes precedence over
// the list.
func (n *Node) addPeers(peers []jwpeer.Peer, now time.Time) {
	var added []jwpeer.Peer
	for _, p := range peers {
		if known, ok := n.board.Peers.Get(p.Name); !ok || known.NodeAddress != p.NodeAddress && known.Incarnation == "" {
			added = append(added, p)
		}
	}
	n.board.Peers.Merge(added, now)
}

func targetOf(h jwhost.Host) jwtarget.Target {
	t := jwtarget.Target{
		Address: h.Address, Service: h.Service, Region: h.Region, DataCentre: h.DataCentre, State: jwtarget.Live,
	}
	if h.Leaving {
		t.State = jwtarget.Leaving
	}
	return t
}

func peerOf(h jwhost.Host) jwpeer.Peer {
	return jwpeer.Peer{
		Name: h.Name, Region: h.Region, DataCentre: h.DataCentre,
		CallerAddress: h.Address, NodeAddress: h.NodeAddress, State: jwpeer.Joining,
	}
}
