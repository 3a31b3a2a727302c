package jwsuspect

import (
	"net/netip"
	"slices"
	"time"

	"jujubewheel/core/jwtarget"
)

// SetMembers sets the names of the live nodes of the region, this one included.
func (t *Table) SetMembers(nodes []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = slices.Clone(nodes)
}

// ExcludedTargets returns those of the targets on which a suspected fingerprint must not
// run now. If two suspects were on one target when it crashes, the harmless one would be
// quarantined with the other. So a suspect is kept away from targets
//
//   - that crashed with it in flight,
//   - that have another suspect of this node in flight, or
//   - that another node uses for its suspects: rendezvous hashing assigns each target to
//     one node of the region.
//
// If no target would be left, as in a service with one target, ExcludedTargets ignores the
// third rule, and if that is not enough also the first, but never the second.
func (t *Table) ExcludedTargets(f Fingerprint, targets []netip.AddrPort, now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var occupied, crashed, otherNodes []netip.AddrPort
	for _, target := range targets {
		switch {
		case t.hasOtherSuspect(f, target, now):
			occupied = append(occupied, target)
		case t.crashedWith(f, target):
			crashed = append(crashed, target)
		case t.suspectOwner(target) != t.Node:
			otherNodes = append(otherNodes, target)
		}
	}
	left := len(targets) - len(occupied)
	excluded := occupied
	if left > len(crashed) {
		excluded = append(excluded, crashed...)
		left -= len(crashed)
		if left > len(otherNodes) {
			excluded = append(excluded, otherNodes...)
		}
	}
	return excluded
}

// hasOtherSuspect reports whether a suspect other than f is in flight on a target.
func (t *Table) hasOtherSuspect(f Fingerprint, target netip.AddrPort, now time.Time) bool {
	for other := range t.inFlight[target] {
		if state, _ := t.check(other, now); other != f && state != Clear {
			return true
		}
	}
	return false
}

// crashedWith reports whether a target crashed with the fingerprint in flight.
func (t *Table) crashedWith(f Fingerprint, target netip.AddrPort) bool {
	s := t.suspects[f]
	return s != nil && slices.ContainsFunc(s.crashes, func(c crash) bool { return c.target == target })
}

// suspectOwner returns the node that may run its suspects on a target.
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
