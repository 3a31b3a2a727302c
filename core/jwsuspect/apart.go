package jwsuspect

import (
	"net/netip"
	"slices"
	"time"

	"jujubewheel/core/jwtarget"
)

// SetMembers takes over the live nodes of the region, this one included.
func (t *Table) SetMembers(nodes []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = slices.Clone(nodes)
}

// Apart returns those of the targets on which a suspect must not run now. Were
// two suspects on one target when it crashes, the innocent one would be barred
// with the other. So a suspect keeps off targets that crashed with it, off
// those with another suspect of this node in flight, and off those that
// another node uses for its suspects: each target belongs to one node of the
// region by rendezvous hashing. Where nothing would be left, as in a service
// with one target, the rules but the second give way.
func (t *Table) Apart(f Fingerprint, targets []netip.AddrPort, now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var occupied, crashed, foreign []netip.AddrPort
	for _, target := range targets {
		switch {
		case t.hasOtherSuspect(f, target, now):
			occupied = append(occupied, target)
		case t.crashedWith(f, target):
			crashed = append(crashed, target)
		case t.suspectOwner(target) != t.Node:
			foreign = append(foreign, target)
		}
	}
	kept := len(targets) - len(occupied)
	out := occupied
	if kept > len(crashed) {
		out = append(out, crashed...)
		kept -= len(crashed)
		if kept > len(foreign) {
			out = append(out, foreign...)
		}
	}
	return out
}

// hasOtherSuspect reports whether another suspect is in flight on a target.
func (t *Table) hasOtherSuspect(f Fingerprint, target netip.AddrPort, now time.Time) bool {
	for other := range t.inFlight[target] {
		if state, _ := t.check(other, now); other != f && state != Clear {
			return true
		}
	}
	return false
}

// crashedWith reports whether a target went down with the fingerprint in flight.
func (t *Table) crashedWith(f Fingerprint, target netip.AddrPort) bool {
	s := t.suspects[f]
	return s != nil && slices.ContainsFunc(s.crashes, func(c crash) bool { return c.target == target })
}

// suspectOwner returns the node that uses a target for its suspects.
func (t *Table) suspectOwner(target netip.AddrPort) string {
	owner, highest := t.Node, uint64(0)
	key := jwtarget.AddressKey(target)
	for _, node := range t.members {
		if weight := jwtarget.Mix(jwtarget.NameKey(node), key); weight > highest {
			owner, highest = node, weight
		}
	}
	return owner
}
