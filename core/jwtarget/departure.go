package jwtarget

import (
	"net/netip"
	"slices"
	"time"
)

// departure records that a target is leaving.
type departure struct {
	since      time.Time
	listed     bool      // whether the platform's list has shown the target since then
	delistedAt time.Time // when the list stopped showing the target; zero if it still does or never did
}

// MarkLeaving records that a target has been leaving since the given time, as
// announced by the target or reported by a peer. A report from before the
// platform's list stopped showing the target is about an earlier target at the
// same address and is ignored. Otherwise peers would keep passing it to each
// other, and the new target at that address would get no work.
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

// setDeparture stores the departure of a target.
func (t *Table) setDeparture(addr netip.AddrPort, d departure) {
	if t.leaving == nil {
		t.leaving = make(map[netip.AddrPort]departure)
	}
	t.leaving[addr] = d
}

// Departure is a leaving target, as reported to peers.
type Departure struct {
	Address netip.AddrPort
	Since   time.Time // when it was first reported as leaving
}

// Leaving returns the targets known to be leaving, sorted by address. The node
// reports them to its peers of the region.
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

// updateDepartures compares the recorded departures with the newest list: it adds
// the targets listed as leaving, notes which ones the list no longer shows, and
// drops those older than LeavingTTL unless the list still calls them leaving.
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

// isLeaving reports whether a target is known to be leaving and the platform's
// list has not stopped showing it since.
func (t *Table) isLeaving(addr netip.AddrPort) bool {
	d, known := t.leaving[addr]
	return known && d.delistedAt.IsZero()
}
