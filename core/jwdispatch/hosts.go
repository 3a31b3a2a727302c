package jwdispatch

import (
	"math/rand/v2"
	"net/netip"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwpeer"
)

// mostHosts bounds the list that a caller is given.
const mostHosts = 8

// Hosts returns the entry hosts that a workspace should use, best first: those
// of its home region, then, if its data isn't bound, those of this region and
// of others. Hosts that are leaving are never among them.
func (d *Dispatcher) Hosts(workspace string) []netip.AddrPort {
	w, known := d.Board.Directory.Lookup(workspace)
	home := d.Self.Region
	if known {
		home = w.Region
	}
	groups := []func(jwpeer.Peer) bool{func(p jwpeer.Peer) bool { return p.Region == home }}
	if !w.Bound {
		groups = append(groups,
			func(p jwpeer.Peer) bool { return p.Region != home && p.Region == d.Self.Region },
			func(p jwpeer.Peer) bool { return p.Region != home && p.Region != d.Self.Region })
	}
	var out []netip.AddrPort
	for _, in := range groups {
		peers := d.Board.Peers.Select(func(p jwpeer.Peer) bool { return p.State == jwpeer.Serving && in(p) })
		// Shuffled, so that callers spread over the hosts.
		rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
		for _, p := range peers {
			if len(out) < mostHosts {
				out = append(out, p.Callers)
			}
		}
	}
	return out
}

// peersIn returns serving nodes of a region in random order.
func (d *Dispatcher) peersIn(region string) []jwpeer.Peer {
	peers := d.Board.Peers.Select(func(p jwpeer.Peer) bool {
		return p.Region == region && p.State == jwpeer.Serving && p.Name != d.Self.Node
	})
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	return peers
}

// urgency is the RFC 9218 urgency of a class, 0 being most urgent.
func urgency(c jwcatalogue.Class) int {
	switch c {
	case jwcatalogue.Confirmation:
		return 0
	case jwcatalogue.Lookup:
		return 1
	default:
		return 4
	}
}
