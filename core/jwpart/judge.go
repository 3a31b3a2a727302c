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
	t.suspects = make(map[ID]int)
	for _, c := range open {
		for p := range c.suspects {
			if t.isSuspect(c, p) {
				t.suspects[p]++
			}
		}
	}
	for {
		culprits := culprits(t.count(open))
		if len(culprits) == 0 {
			break
		}
		for _, b := range culprits {
			t.bars[b.Part] = b
		}
		open = slices.DeleteFunc(open, func(c *crash) bool {
			return slices.ContainsFunc(culprits, func(b *Bar) bool { return t.isSuspect(c, b.Part) })
		})
	}
	for p := range t.cleared {
		if !t.named(p) {
			delete(t.cleared, p)
		}
	}
}

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

// named reports whether a part is among the suspects of a crash, cleared or not.
func (t *Table) named(p ID) bool {
	for _, c := range t.crashes {
		if _, ok := c.suspects[p]; ok {
			return true
		}
	}
	return false
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
