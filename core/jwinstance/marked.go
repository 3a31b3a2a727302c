package jwinstance

import (
	"iter"
	"net/netip"
	"time"
)

// targetSet is a set of targets.
type targetSet map[*Target]struct{}

func (s *targetSet) add(x *Target) {
	if *s == nil {
		*s = make(targetSet)
	}
	(*s)[x] = struct{}{}
}

// markedTargets holds the few of all targets that reports are about, so that a report doesn't walk
// over the thousands of others. A set may also hold targets that have left it since; whoever walks
// over it removes them.
type markedTargets struct {
	inUse       targetSet // with calls of this node in flight
	cold        targetSet
	gone        targetSet // whose registration is gone
	unconfirmed targetSet // that may have restarted
	byAddress   map[netip.AddrPort]*Target
}

// setAddress records the address of a new target.
func (m *markedTargets) setAddress(x *Target) {
	if m.byAddress == nil {
		m.byAddress = make(map[netip.AddrPort]*Target)
	}
	m.byAddress[x.Address] = x
}

// forget removes a target whose record is deleted or replaced. It stays in use until its calls end.
func (m *markedTargets) forget(x *Target) {
	delete(m.cold, x)
	delete(m.gone, x)
	delete(m.unconfirmed, x)
	if m.byAddress[x.Address] == x {
		delete(m.byAddress, x.Address)
	}
}

// setColdUntil records when a target stops being cold.
func (t *Table) setColdUntil(x *Target, at time.Time) {
	x.coldUntil = at
	t.marked.cold.add(x)
}

// addCalls adds to the calls of this node in flight at a target.
func (t *Table) addCalls(x *Target, n int) {
	if x.calls += n; x.calls == 0 {
		delete(t.marked.inUse, x)
		return
	}
	t.marked.inUse.add(x)
}

// reportInUse returns the targets with calls of this node in flight, and records for all targets
// that the node chooses from that their use goes into a report.
func (t *Table) reportInUse() iter.Seq[*Target] {
	t.buildIndex()
	for service := range t.byRegion {
		for _, x := range t.subset(subsetKey{service, t.Region, t.Node}) {
			x.reported()
		}
	}
	return func(yield func(*Target) bool) {
		for x := range t.marked.inUse {
			if t.targets[x.ID] == x && !yield(x) {
				return
			}
		}
	}
}
