package jwpart

import (
	"slices"
	"time"
)

// judge derives the bars from the crashes and clearances, so that nodes that know of the same ones come
// to the same result in whatever order they learned of them.
//
// The part that was in flight at most crashes, and at more than any other, explains these crashes: their
// other suspects are suspected no more because of them. What is left is judged in the same way.
func (t *Table) judge(now time.Time) {
	t.expire(now)
	open := slices.Clone(t.crashes)
	slices.SortFunc(open, func(a, b *crash) int { return a.at.Compare(b.at) })
	t.bars = make(map[ID]*Bar)
	counts := t.count(open)
	t.points = make(map[ID]int, len(counts))
	for p, b := range counts {
		t.points[p] = b.points
	}
	for {
		culprits := culprits(counts)
		if len(culprits) == 0 {
			break
		}
		for _, b := range culprits {
			t.bars[b.Part] = b
		}
		open = slices.DeleteFunc(open, func(c *crash) bool {
			return slices.ContainsFunc(culprits, func(b *Bar) bool { return t.isSuspect(c, b.Part) })
		})
		counts = t.count(open)
	}
	t.forgetClearances()
}

// forgetClearances removes the clearances of parts that are suspects of no crash any more.
func (t *Table) forgetClearances() {
	if len(t.cleared) == 0 {
		return
	}
	named := make(map[ID]clearance, len(t.cleared))
	for _, c := range t.crashes {
		for p := range c.suspects {
			if cleared, ok := t.cleared[p]; ok {
				named[p] = cleared
			}
		}
	}
	t.cleared = named
}

// isContested reports whether the bars may depend on a part: others have fewer points than any culprit.
func (t *Table) isContested(p ID) bool { return t.points[p] >= pointsToBar }

// expire removes the crashes that no longer count, and the peers that are gone.
func (t *Table) expire(now time.Time) {
	t.peers.Expire(now, remember)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		if t.supportsBar(c) {
			return now.Sub(c.at) > rememberBarred
		}
		return now.Sub(c.at) > remember
	})
}

// isSuspect reports whether a part may have caused a crash by all that is known of the part.
func (t *Table) isSuspect(c *crash, p ID) bool {
	_, ok := c.suspects[p]
	return ok && c.at.After(t.cleared[p].at)
}

// count counts the crashes of each suspect, which are sorted by time.
func (t *Table) count(crashes []*crash) map[ID]*Bar {
	counts := make(map[ID]*Bar)
	for _, c := range crashes {
		for p, suspect := range c.suspects {
			if !t.isSuspect(c, p) {
				continue
			}
			b := counts[p]
			if b == nil {
				b = &Bar{Part: p}
				counts[p] = b
			}
			if b.Crashes > 0 && c.at.Sub(b.Last) < simultaneous {
				continue
			}
			if b.points >= pointsToBar && c.at.Sub(b.Last) >= trialWaits[0] {
				b.trials++
			}
			b.Crashes++
			b.Last = c.at
			b.points += suspect.points()
			if b.trials == 0 {
				b.evidence = b.points
			}
		}
	}
	return counts
}

// culprits returns the parts to bar, none if they can't be told apart yet.
func culprits(counts map[ID]*Bar) []*Bar {
	var most []*Bar
	for _, b := range counts {
		switch {
		case len(most) == 0 || b.points > most[0].points:
			most = []*Bar{b}
		case b.points == most[0].points:
			most = append(most, b)
		}
	}
	if len(most) == 0 || most[0].points < pointsToBar || len(most) > 1 && most[0].points < pointsToBarAll {
		return nil
	}
	for _, b := range most {
		b.tied = len(most) > 1
	}
	return most
}
