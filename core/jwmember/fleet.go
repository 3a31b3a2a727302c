package jwmember

import (
	"slices"
	"time"
)

// countDelay is how long a new node waits, after the recorded fleet size includes it, before
// it assumes that all others count it: they read the store at least every three seconds.
const countDelay = 4 * time.Second

// SetFleet sets the fleet size, the number of nodes in all regions, as recorded in the
// store. Unlike registrations, the record outlives all nodes: when all nodes start at once,
// most registrations are missing. known means that the record existed before this process.
func (t *Table) SetFleet(now time.Time, nodes int, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleetSize = nodes
	if !t.countedAt.IsZero() || nodes < t.countAll(now, "") {
		return
	}
	t.countedAt = now
	if !known {
		t.countedAt = now.Add(countDelay)
	}
}

// FleetSize returns the fleet size as recorded in the store, 0 if it is unknown.
func (t *Table) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleetSize
}

// Fleet returns the maximum number of nodes that may be running in all regions, and whether
// all others count this one. Equal shares of a limit of all nodes are computed from it.
func (t *Table) Fleet(now time.Time) (nodes int, counted bool) {
	n := t.Count(now, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(n, t.fleetSize), !t.countedAt.IsZero() && !now.Before(t.countedAt)
}

// WritesFleetSize reports whether this node is the one that writes the fleet size to the store:
// the first live node by name.
func (t *Table) WritesFleetSize(now time.Time) bool {
	live := t.Live(now, "")
	return len(live) > 0 && live[0].Name == t.Local().Name
}

// Rank returns how many live nodes come before this one in writing a key that all may write, all of them if this one
// isn't live yet. The order is that of rendezvous hashing, so that the nodes of a region that has lost the store
// are not the first ones together.
func (t *Table) Rank(now time.Time, key string) int {
	live := t.Live(now, "")
	self := t.Local().Name
	if !slices.ContainsFunc(live, func(m Member) bool { return m.Name == self }) {
		return len(live)
	}
	rank, score := 0, rendezvousScore(self, key)
	for _, m := range live {
		if m.Name != self && rendezvousScore(m.Name, key) > score {
			rank++
		}
	}
	return rank
}

// Predecessor records when an earlier process of this node started, taken from the
// registration that it left.
func (t *Table) Predecessor(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Start < t.Self.Start {
		t.previousStart = max(t.previousStart, m.Start)
		if t.Self.StoreRoundTrip == 0 {
			t.Self.StoreRoundTrip = m.StoreRoundTrip
		}
	}
}

// NoRecentPredecessor reports whether this node has no known earlier process that started less
// than the duration within before this one.
func (t *Table) NoRecentPredecessor(within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.previousStart == 0 || time.Duration(t.Self.Start-t.previousStart) >= within
}
