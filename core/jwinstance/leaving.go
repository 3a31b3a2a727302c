package jwinstance

import "iter"

// Leave notes that a target said in an answer that it leaves, and reports whether that is
// new. It stands until another incarnation registers: the store may be away, or hold what
// the target wrote before.
func (t *Table) Leave(x *Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leave(x)
}

func (t *Table) leave(x *Target) bool {
	if x.Leaving {
		return false
	}
	x.Leaving = true
	t.markSelfReported(x)
	t.usableSlots = nil
	return true
}

// declare keeps that a target said something of itself that is to be reported: in a region
// of thousands of targets only few do.
func (t *Table) markSelfReported(x *Target) {
	if t.selfReported == nil {
		t.selfReported = make(map[string]bool)
	}
	t.selfReported[x.ID] = true
}

// declarers returns the targets that said something of themselves, and forgets those that
// are gone or began anew.
func (t *Table) selfReporting() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for id := range t.selfReported {
			x := t.targets[id]
			if x == nil || !x.Leaving && x.limit.answeredAt.IsZero() {
				delete(t.selfReported, id)
				continue
			}
			if !yield(x) {
				return
			}
		}
	}
}

// ReportLeaving returns the targets of the region that said they leave, each with the start
// of the incarnation that said so.
func (t *Table) ReportLeaving() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leaving map[string]int64
	for x := range t.selfReporting() {
		if !x.Leaving || x.Region != t.Region {
			continue
		}
		if leaving == nil {
			leaving = make(map[string]int64)
		}
		leaving[x.ID] = x.Born
	}
	return leaving
}

// MergeLeaving merges what another node of the region reports of targets that leave, and
// returns those that this one didn't know of.
func (t *Table) MergeLeaving(leaving map[string]int64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []string
	for id, born := range leaving {
		if x := t.targets[id]; x != nil && x.Born == born && t.leave(x) {
			fresh = append(fresh, id)
		}
	}
	return fresh
}
