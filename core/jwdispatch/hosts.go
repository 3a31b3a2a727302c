package jwdispatch

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwtarget"
)

// maxHosts is the maximum number of hosts in the list that a caller is given.
const maxHosts = 8

// Hosts returns the entry hosts that a workspace should use, the best first:
// those of its home region and then, if its data is not bound to it, those of
// this region and of other regions. Hosts that are leaving are not included.
func (d *Dispatcher) Hosts(workspace string) []netip.AddrPort {
	w, known := d.Board.Directory.Lookup(workspace)
	home := d.Self.Region
	if known {
		home = w.Region
	}
	return d.hosts(workspace, home, w.Bound)
}

// hosts returns the hosts of the home region and, if the data is not bound to
// it, those of other regions as well. Silent ones come last.
func (d *Dispatcher) hosts(workspace, home string, bound bool) []netip.AddrPort {
	groups := []func(jwpeer.Peer) bool{func(p jwpeer.Peer) bool { return p.Region == home }}
	if !bound {
		groups = append(groups,
			func(p jwpeer.Peer) bool { return p.Region != home && p.Region == d.Self.Region },
			func(p jwpeer.Peer) bool { return p.Region != home && p.Region != d.Self.Region })
	}
	var out, silent []netip.AddrPort
	for _, accept := range groups {
		responsive, rest := d.servingPeers(workspace, accept)
		for _, p := range responsive {
			out = append(out, p.CallerAddress)
		}
		for _, p := range rest {
			silent = append(silent, p.CallerAddress)
		}
	}
	out = append(out, silent...)
	return out[:min(len(out), maxHosts)]
}

// peersIn returns the serving nodes of a region without this node, silent ones
// last.
func (d *Dispatcher) peersIn(region, workspace string) []jwpeer.Peer {
	responsive, silent := d.servingPeers(workspace, func(p jwpeer.Peer) bool { return p.Region == region && p.Name != d.Self.Node })
	return append(responsive, silent...)
}

// silenceThreshold is how long a node may send nothing before others are
// preferred to it.
const silenceThreshold = 12 * time.Second

// servingPeers returns the serving nodes that accept selects, and separately
// those that are silent: they may have died, or be unreachable because of
// a network partition that callers do not notice.
//
// Each workspace has its own order, by rendezvous hashing. Its requests then
// reach the same few nodes, which use the same few targets, where its prompts
// are cached. Without a workspace the order is random.
func (d *Dispatcher) servingPeers(workspace string, accept func(jwpeer.Peer) bool) (responsive, silent []jwpeer.Peer) {
	now := d.Now()
	peers := d.Board.Peers.Select(func(p jwpeer.Peer) bool { return p.State == jwpeer.Serving && accept(p) })
	if workspace == "" {
		rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	} else {
		slices.SortFunc(peers, func(a, b jwpeer.Peer) int {
			return cmp.Compare(rank(workspace, b.Name), rank(workspace, a.Name))
		})
	}
	for _, p := range peers {
		switch {
		case p.Name == d.Self.Node:
			responsive = append(responsive, p)
		case d.Departed != nil && d.Departed(p):
		case d.Board.Peers.Silent(p.Name, now.Add(-silenceThreshold)):
			silent = append(silent, p)
		default:
			responsive = append(responsive, p)
		}
	}
	return responsive, silent
}

// rank returns the rendezvous hash of a workspace and a node; the node with the
// highest one comes first.
func rank(workspace, node string) uint64 {
	return jwtarget.Mix(xxhash.Sum64String(workspace), xxhash.Sum64String(node))
}

// urgency returns the RFC 9218 urgency of a class, 0 being the most urgent.
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
