package jwpeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerDataCentre is how many nodes of a data centre exchange state with other
// data centres on behalf of it.
const RelaysPerDataCentre = 2

// Relays returns the relays of a data centre: the nodes that exchange state with
// other data centres. They are chosen by rendezvous hashing among the active
// nodes, so all nodes that know the same peers choose the same relays without
// communicating. Nodes that know different peers may choose different relays; then
// some states are sent twice, and none is lost.
func Relays(peers []Peer, dataCentre string) []Peer {
	type scored struct {
		peer  Peer
		score uint64
	}
	var in []scored
	for _, p := range peers {
		if p.DataCentre == dataCentre && isActive(p) {
			in = append(in, scored{p, xxhash.Sum64String(dataCentre + "\x00" + p.Name)})
		}
	}
	slices.SortFunc(in, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.peer.Name, b.peer.Name)
	})
	if len(in) > RelaysPerDataCentre {
		in = in[:RelaysPerDataCentre]
	}
	out := make([]Peer, 0, len(in))
	for _, s := range in {
		out = append(out, s.peer)
	}
	return out
}

// IsRelay reports whether the node self is a relay of its data centre.
func IsRelay(peers []Peer, self Peer) bool {
	for _, p := range Relays(peers, self.DataCentre) {
		if p.Name == self.Name {
			return true
		}
	}
	return false
}

// isActive reports whether a node has not stopped, according to its state.
func isActive(p Peer) bool { return p.State == Joining || p.State == Serving || p.State == Leaving }
