package jwmember

import (
	"cmp"
	"slices"
	"time"

	"jujubewheel/core/jwtarget"
)

// rendezvousScore returns the weight of a name for a key in rendezvous hashing; the name
// with the highest score is chosen.
func rendezvousScore(name, key string) uint64 {
	return jwtarget.Mix(jwtarget.NameKey(name), jwtarget.NameKey(key))
}

// CountedByAll reports whether every node that may share a limit with this one counts
// it. Until then the others may use the whole limit among themselves; see spec/share. Two
// conditions must hold. First, this node has read its own registration in the store: of
// two nodes that start at once, the one that registered last then knows of the other,
// however slow the store is. Second, it has exchanged state with every registered node of
// its region, both recently and for the first time at least shareWindow ago, so that what
// was used while fewer nodes were counted, also by an earlier process of this node, has
// left the window.
func (t *Table) CountedByAll(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedAt.IsZero() || now.Sub(t.listedAt) < shareWindow {
		return false
	}
	for _, r := range t.members {
		if !r.registered || r.Region != t.Self.Region {
			continue
		}
		if now.Sub(r.lastSeen) > countedFor || now.Sub(r.firstSeen) < shareWindow {
			return false
		}
	}
	return true
}

// RegisteredFor returns how long ago this process first read its own registration in the store,
// 0 if it has not or the registration is gone. The others learn of the node at about that
// time.
func (t *Table) RegisteredFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedAt.IsZero() {
		return 0
	}
	return now.Sub(t.listedAt)
}

// FirstRegisteredFor is like RegisteredFor, but also counts while the registration is gone. That is
// how long this process has known of all nodes that may share a limit with it.
func (t *Table) FirstRegisteredFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstListedAt.IsZero() {
		return 0
	}
	return now.Sub(t.firstListedAt)
}

// Owns reports whether this node owns a name in its region, by rendezvous hashing over the
// live nodes.
func (t *Table) Owns(now time.Time, name string) bool {
	return t.OwnsAmong(now, name, func(string) bool { return true })
}

// OwnsAmong is like Owns, but considers only the live nodes for which mayOwn returns true.
// It reports true if there is none.
func (t *Table) OwnsAmong(now time.Time, name string, mayOwn func(node string) bool) bool {
	best, maxScore := "", uint64(0)
	for _, m := range t.Live(now, t.Self.Region) {
		if s := rendezvousScore(m.Name, name); (best == "" || s > maxScore) && mayOwn(m.Name) {
			best, maxScore = m.Name, s
		}
	}
	return best == "" || best == t.Self.Name
}

// Owners returns up to n live nodes of a region that own a name, by rendezvous hashing, the first
// owner first. All nodes that see the same nodes live agree on them.
func (t *Table) Owners(now time.Time, name, region string, n int) []Member {
	key := jwtarget.NameKey(name)
	scores, owners := make([]uint64, 0, n+1), make([]Member, 0, n+1)
	for _, m := range t.Live(now, region) {
		score := jwtarget.Mix(jwtarget.NameKey(m.Name), key)
		i, _ := slices.BinarySearchFunc(scores, score, func(a, b uint64) int { return cmp.Compare(b, a) })
		if i >= n {
			continue
		}
		scores, owners = slices.Insert(scores, i, score), slices.Insert(owners, i, m)
		scores, owners = scores[:min(n, len(scores))], owners[:min(n, len(owners))]
	}
	return owners
}

// RankRegions sorts regions by their scores for a name in rendezvous hashing, the highest first.
func RankRegions(regions []string, name string) []string {
	list := slices.Clone(regions)
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(rendezvousScore(b, name), rendezvousScore(a, name)) })
	return list
}
