package jwinstance

import "iter"

// Leave records that a target announced in an answer that it is leaving, and reports whether that
// is new. It holds until another incarnation registers; the store may be unavailable, or hold an
// earlier registration of the target.
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

// markSelfReported records that a target announced in an answer a limit or that it is leaving,
// which is reported to other nodes. Only few of the thousands of targets of a region do.
func (t *Table) markSelfReported(x *Target) {
	if t.selfReported == nil {
		t.selfReported = make(map[string]bool)
	}
	t.selfReported[x.ID] = true
}

// selfReporting returns the targets that markSelfReported recorded, and forgets those that are gone
// or have restarted since.
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

// ReportLeaving returns the IDs of the region's targets that announced that they are leaving, each
// with the start of the incarnation that did, in Unix milliseconds.
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
		leaving[x.ID] = x.StartedAt
	}
	return leaving
}

// MergeLeaving merges another node's report of leaving targets, and returns the IDs of those that
// this node did not know to be leaving.
func (t *Table) MergeLeaving(leaving map[string]int64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []string
	for id, born := range leaving {
		if x := t.targets[id]; x != nil && x.StartedAt == born && t.leave(x) {
			fresh = append(fresh, id)
		}
	}
	return fresh
}
