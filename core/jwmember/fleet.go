package jwmember

import "time"

// countDelay is how long after the fleet's size rose a new node takes it that all others
// count it: they read the store at least every three seconds.
const countDelay = 4 * time.Second

// SetFleet takes the size of the fleet as the store keeps it, which outlives all nodes:
// after a start of all at once the registrations of most are missing. known says that
// the size was there before this process.
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

// FleetSize returns the size of the fleet as the store keeps it, 0 if it isn't known.
func (t *Table) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleetSize
}

// Fleet returns how many nodes there may be in all regions, and whether the others
// count this one among them. Even parts of what all share are made from it.
func (t *Table) Fleet(now time.Time) (nodes int, counted bool) {
	n := t.Count(now, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(n, t.fleetSize), !t.countedAt.IsZero() && !now.Before(t.countedAt)
}

// KeepsFleet reports whether the node itself writes the size of the fleet: the first of
// the live by name does.
func (t *Table) KeepsFleet(now time.Time) bool {
	live := t.Live(now, "")
	return len(live) > 0 && live[0].Name == t.Me().Name
}

// Predecessor notes when a process of the node before this one started, by its
// registration.
func (t *Table) Predecessor(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Start < t.Self.Start {
		t.previousStart = max(t.previousStart, m.Start)
	}
}

// Fresh reports whether no process of the node is known to have started within a time
// before this one.
func (t *Table) Fresh(within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.previousStart == 0 || time.Duration(t.Self.Start-t.previousStart) >= within
}
