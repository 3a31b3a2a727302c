package jwpeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerDataCentre is how many nodes of a data centre carry news between
// it and the others.
const RelaysPerDataCentre = 2

// Relays returns the nodes of a data centre that carry news for it, chosen by
// rendezvous hash over those that take part, so that every node names the same
// ones without asking. Two nodes that see different peers may name different
// relays: the news then travels twice, nothing is lost.
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

// IsRelay reports whether the node of this name is among the relays of its data
// centre.
func IsRelay(peers []Peer, self Peer) bool {
	for _, p := range Relays(peers, self.DataCentre) {
		if p.Name == self.Name {
			return true
		}
	}
	return false
}

func isActive(p Peer) bool { return p.State == Joining || p.State == Serving || p.State == Leaving }
