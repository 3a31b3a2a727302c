package jwtarget

import (
	"net/netip"
	"slices"
	"time"
)

// departure is a word that a target leaves.
type departure struct {
	since      time.Time
	listed     bool      // the list has shown the target since
	delistedAt time.Time // when the list no longer showed it, zero before
}

// MarkLeaving notes that a target leaves since a time, by its own word or a
// peer's. A word older than the time at which the list showed the target gone
// is about an earlier target at the same address and is ignored: without this,
// peers would go on telling each other of it and lock out its successor.
func (t *Table) MarkLeaving(addr netip.AddrPort, since, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(since) > t.leavingTTL() {
		return
	}
	d, known := t.leaving[addr]
	if known && (d.delistedAt.IsZero() || since.Before(d.delistedAt)) {
		return
	}
	e, listed := t.targets[addr]
	t.setDeparture(addr, departure{since: since, listed: listed})
	if listed {
		t.chooseSubset(t.services[e.target.Service])
	}
}

// setDeparture keeps one word of leaving.
func (t *Table) setDeparture(addr netip.AddrPort, d departure) {
	if t.leaving == nil {
		t.leaving = make(map[netip.AddrPort]departure)
	}
	t.leaving[addr] = d
}

// Departure is a target that leaves, as told to peers.
type Departure struct {
	Address netip.AddrPort
	Since   time.Time
}

// Leaving returns the targets known to leave, for telling peers of the region.
func (t *Table) Leaving() []Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Departure
	for addr, d := range t.leaving {
		if d.delistedAt.IsZero() {
			out = append(out, Departure{Address: addr, Since: d.since})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return a.Address.Compare(b.Address) })
	return out
}

// updateDepartures compares the words of leaving with the newest list.
func (t *Table) updateDepartures(now time.Time) {
	for addr, e := range t.targets {
		if e.target.State == Leaving && !t.isLeaving(addr) {
			t.setDeparture(addr, departure{since: now, listed: true})
		}
	}
	for addr, d := range t.leaving {
		e, listed := t.targets[addr]
		if now.Sub(d.since) > t.leavingTTL() && (!listed || e.target.State != Leaving) {
			delete(t.leaving, addr)
			continue
		}
		if listed {
			d.listed = true
		} else if d.listed && d.delistedAt.IsZero() {
			d.delistedAt = now
		}
		t.leaving[addr] = d
	}
}

// isLeaving reports whether a target is known to leave and has not come back.
func (t *Table) isLeaving(addr netip.AddrPort) bool {
	d, known := t.leaving[addr]
	return known && d.delistedAt.IsZero()
}
