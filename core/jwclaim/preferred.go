package jwclaim

import "github.com/cespare/xxhash/v2"

// Peers returns which nodes of a region serve.
type Peers interface {
	Serving(region string) []string
}

// Preferred names the node of a region to which the calls of a key are best
// sent, so that its slot has one writer; empty when none is known. Any other
// node decides as rightly, at the cost of lost swaps.
func (k *Keeper) Preferred(a Ask) string {
	k.initOnce.Do(k.initialize)
	if k.Peers == nil {
		return ""
	}
	return preferred(slotPrefix(a.Region, k.slotNumber(k.keyHash(a))), k.Peers.Serving(a.Region))
}

// preferred is the node with the highest hash for the slot, so that few slots
// move when nodes come and go.
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
