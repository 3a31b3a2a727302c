package jwpart

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func nobody(ID) bool { return false }

// exchange exchanges updates between two nodes as they travel.
func exchange(t assert.TestingT, now time.Time, a, b *Table, nameA, nameB string) {
	pass := func(u Update) (v Update) {
		raw, err := json.Marshal(u)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(raw, &v))
		return v
	}
	b.MergeUpdate(nameA, pass(a.UpdateFor(nameB, "north", now)), now)
	a.MergeUpdate(nameB, pass(b.UpdateFor(nameA, "north", now)), now)
}

// Nodes learn of crashes and clearances in any order, restart and are cut off. In the end all must bar the
// same parts, those that crash targets and no others.
func TestNodesComeToTheSameBars(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bad, shared = 9, 1
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = &Table{}
		}
		now, targets := t0, 0
		exchangeAll := func() {
			for range n {
				for i := 1; i < n; i++ {
					exchange(t, now, tables[i-1], tables[i], fmt.Sprint(i-1), fmt.Sprint(i))
				}
			}
		}
		for range rapid.IntRange(8, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // a restart
				exchangeAll()
				tables[i] = &Table{}
			case 1, 2, 3: // a request with the part, beside others at two nodes
				targets++
				other := rapid.IntRange(0, n-1).Draw(t, "other")
				var runs []*Run
				for node, parts := range map[int][]ID{other: {shared, ID(100 + rapid.IntRange(0, 9).Draw(t, "session"))}, i: {shared, bad}} {
					if r, ok := tables[node].Begin(now, parts, address(targets), nil, false); ok {
						runs = append(runs, r)
					}
				}
				if len(runs) == 2 || other == i && len(runs) == 1 {
					tables[other].Crashed(now, address(targets), fmt.Sprint("t", targets))
					tables[i].Crashed(now, address(targets), fmt.Sprint("t", targets))
				}
				for _, r := range runs {
					r.End(now, false)
				}
			case 4, 5, 6:
				targets++
				if r, ok := tables[i].Begin(now, []ID{shared, ID(100 + rapid.IntRange(0, 9).Draw(t, "session"))}, address(targets), nil, false); ok {
					r.End(now, true)
				}
			default:
				j := rapid.IntRange(0, n-1).Draw(t, "peer")
				if i != j {
					exchange(t, now, tables[i], tables[j], fmt.Sprint(i), fmt.Sprint(j))
				}
			}
		}
		// Each node serves what it has taken for a suspect, so that only the bad part is left.
		for k := range 3 {
			exchangeAll()
			now = now.Add(time.Second)
			for _, table := range tables {
				for p := range table.points {
					if p != bad && table.bars[p] == nil {
						if r, ok := table.Begin(now, []ID{p}, address(9000+k), nil, false); ok {
							r.End(now, true)
						}
					}
				}
			}
		}
		exchangeAll()
		exchangeAll()
		for i, table := range tables {
			// Bars must be those that follow from all that is known, though few changes are judged.
			bars := table.bars
			table.judge(now)
			assert.Equal(t, len(table.bars), len(bars))
			assert.Equal(t, len(table.bars), len(tables[0].bars), "node %d", i)
			for p, b := range tables[0].bars {
				assert.Assert(t, table.bars[p] != nil)
				assert.Equal(t, table.bars[p].Crashes, b.Crashes)
			}
		}
	})
}

// A node that starts, or was cut off, after a part was barred must not run it.
func TestBarAtANodeThatStartsLater(t *testing.T) {
	a, b := &history{Table: &Table{}}, &Table{}
	for i := range 3 {
		a.crash(1000*i, []ID{9})
	}
	exchange(t, after(4000), a.Table, b, "a", "b")
	bar, _, _ := b.Check(after(4000), []ID{9}, nobody)
	assert.Equal(t, bar.Crashes, 3)
	b = &Table{}
	for range 2 { // with the first one it confirms nothing, so that the second one brings all
		exchange(t, after(5000), a.Table, b, "a", "b")
	}
	bar, _, _ = b.Check(after(5000), []ID{9}, nobody)
	assert.Equal(t, bar.Crashes, 3)
}

// What nodes have told each other must not be sent again and again.
func TestUpdatesEnd(t *testing.T) {
	a, b := &history{Table: &Table{}}, &Table{}
	a.crash(0, []ID{1, 9}, []ID{1, 2})
	a.serve(100, 1)
	for i := range 4 {
		exchange(t, after(200+100*i), a.Table, b, "a", "b")
	}
	a.crash(700, []ID{1, 9})
	for i := range 4 {
		exchange(t, after(800+100*i), a.Table, b, "a", "b")
	}
	assert.Equal(t, a.peers.Get("b", after(1200)).Acked, a.changes)
	for _, u := range []Update{a.UpdateFor("b", "north", after(2000)), b.UpdateFor("a", "north", after(2000))} {
		assert.Equal(t, len(u.Crashes)+len(u.Cleared), 0)
	}
}

// Parts of data that a region may not hold are not reported there.
func TestPartsOfBoundDataStayInHomes(t *testing.T) {
	a := &Table{}
	r, _ := a.Begin(t0, []ID{1, 9}, address(1), []string{"north"}, false)
	free, _ := a.Begin(t0, []ID{1}, address(1), nil, false)
	a.Crashed(t0, address(1), "t1")
	r.End(t0, false)
	free.End(t0, false)
	reported := func(region string) (parts []ID) {
		for _, c := range a.UpdateFor(region, region, after(100)).Crashes {
			for _, s := range c.Suspects {
				parts = append(parts, s.Part)
			}
		}
		return sorted(parts)
	}
	assert.DeepEqual(t, reported("north"), []ID{1, 9})
	assert.DeepEqual(t, reported("south"), []ID{1})
}

// A node that starts after many crashes gets them in parts: one update with all could be too large to be
// decoded, and would never arrive.
func TestLargeHistoriesAreSentInParts(t *testing.T) {
	a, b := &Table{}, &Table{}
	for i := range maxCrashes {
		var suspects []Suspect
		for j := range maxSuspects {
			suspects = append(suspects, Suspect{Part: ID(1<<60 + i*maxSuspects + j), Homes: []string{"north", "south"}, Weak: true})
		}
		a.addCrash(t0, t0.Add(time.Duration(i)*time.Second), fmt.Sprint("t", i), suspects)
	}
	now := after(maxCrashes * 1000)
	for range 3 * maxCrashes {
		u := a.UpdateFor("b", "north", now)
		raw, err := json.Marshal(u)
		assert.NilError(t, err)
		assert.Assert(t, len(raw) < 64<<10, "%d bytes", len(raw))
		b.MergeUpdate("a", u, now)
		a.MergeUpdate("b", b.UpdateFor("a", "north", now), now)
	}
	assert.Equal(t, len(b.crashes), maxCrashes)
	for _, c := range a.crashes {
		assert.Equal(t, len(b.crashOf(c.incarnation, c.at).suspects), len(c.suspects))
	}
}
