package jwmember

import (
	"hash/fnv"
	"time"
)

// rendezvousScore orders names for rendezvous hashing.
func rendezvousScore(name, key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + key))
	return h.Sum64()
}

// CountedByAll reports whether every node that may share a sum with this one counts
// it. Otherwise the others may use the whole sum without it; see spec/share. It
// takes two things. The node has read its own registration in the store: of two
// that start at once, the one that registered last then knows of the other,
// however slow the store is. And it has exchanged state with every registered node of its
// region, lately, and so long ago that what was used among fewer, also by a
// process before this one, has left the window.
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

// ListedFor returns how long ago this process read its own registration in the store, 0 if
// it has not or the registration is gone: the others learn of it at about that time.
func (t *Table) ListedFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedAt.IsZero() {
		return 0
	}
	return now.Sub(t.listedAt)
}

// Owns reports whether the node itself is the one of its region that a name
// falls to, by rendezvous hashing over the live nodes.
func (t *Table) Owns(now time.Time, name string) bool {
	return t.OwnsAmong(now, name, func(string) bool { return true })
}

// OwnsAmong reports the same of the live nodes that may own the name.
func (t *Table) OwnsAmong(now time.Time, name string, mayOwn func(node string) bool) bool {
	best, maxScore := "", uint64(0)
	for _, m := range t.Live(now, t.Self.Region) {
		if s := rendezvousScore(m.Name, name); (best == "" || s > maxScore) && mayOwn(m.Name) {
			best, maxScore = m.Name, s
		}
	}
	return best == "" || best == t.Self.Name
}
