package jwclaim

import "github.com/cespare/xxhash/v2"

// Peers lists the nodes of a region that serve calls.
type Peers interface {
	Serving(region string) []string
}

// Preferred returns the node of a region to which the calls of a key are best
// sent, so that its slot has one writer. It returns "" if no node is known.
// Every other node decides just as correctly, but loses more swaps.
func (k *Keeper) Preferred(a KeyedCall) string {
	k.initOnce.Do(k.initialize)
	if k.Peers == nil {
		return ""
	}
	return preferred(slotPrefix(a.Region, k.slotNumber(k.keyHash(a))), k.Peers.Serving(a.Region))
}

// preferred returns the node with the highest hash for the slot (rendezvous
// hashing), so that few slots move when nodes join or leave.
func preferred(prefix string, nodes []string) string {
	var best string
	var maxHash uint64
	for _, n := range nodes {
		h := xxhash.Sum64String(prefix + "\x00" + n)
		if best == "" || h > maxHash || (h == maxHash && n < best) {
			best, maxHash = n, h
		}
	}
	return best
}
