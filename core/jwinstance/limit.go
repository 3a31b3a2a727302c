package jwinstance

import "time"

// Limit is what a target says in its answers that it takes of all nodes together; the
// zero value is a target that names no limit.
type Limit struct {
	Named bool
	Rate  float64 // requests a second
}

// Limited notes the limit that an answer of a target named, or that it named none, and
// reports whether that is new.
func (t *Table) Limited(_ time.Time, x *Target, l Limit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := x.limit != l
	x.limit = l
	return changed
}

// LimitedTargets returns how many targets of the region name a limit.
func (t *Table) LimitedTargets() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, x := range t.targets {
		if x.limit.Named && x.gone.IsZero() && x.Region == t.Region {
			n++
		}
	}
	return n
}
