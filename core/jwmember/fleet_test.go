package jwmember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// When all nodes start at once, most registrations are missing, and each node would use a
// shared limit alone; the recorded fleet size prevents this. A node that is new to the
// fleet must wait until the others count it.
func TestFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	table := func(others int) *Table {
		x := &Table{Self: Member{Name: "n0", Region: "north"}}
		for i := range others {
			x.Put(now, Member{Name: string(rune('a' + i)), Region: "north"})
		}
		return x
	}
	cases := map[string]struct {
		others int
		size   int // as recorded in the store, 0 for no record
		known  bool
		after  time.Duration
		nodes  int
		counts bool
	}{
		"no recorded size":            {5, 0, false, time.Hour, 6, false},
		"all restarted":               {0, 58, true, 0, 58, true},
		"one restarted":               {57, 58, true, 0, 58, true},
		"a new node":                  {58, 58, true, time.Hour, 59, false},
		"the first start":             {57, 58, false, 0, 58, false},
		"the first start, later":      {57, 58, false, countDelay, 58, true},
		"more than the recorded size": {20, 6, false, time.Hour, 21, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := table(c.others)
			if c.size > 0 {
				x.SetFleet(now, c.size, c.known)
			}
			nodes, counted := x.Fleet(now.Add(c.after))
			if c.after < forgetAfter {
				assert.Equal(t, nodes, c.nodes)
			}
			assert.Equal(t, counted, c.counts)
		})
	}
}

// The root of a name must stay in its data centre when another node becomes the relay there.
func TestRoot(t *testing.T) {
	relays := []Member{{Name: "a1", DataCentre: "a"}, {Name: "b1", DataCentre: "b"}, {Name: "c1", DataCentre: "c"}}
	others := []Member{{Name: "a2", DataCentre: "a"}, {Name: "b2", DataCentre: "b"}, {Name: "c2", DataCentre: "c"}}
	held := make(map[string]int)
	for i := range 300 {
		name := "w" + string(rune(i))
		x, ok := Root(relays, name)
		y, _ := Root(others, name)
		assert.Assert(t, ok)
		assert.Equal(t, x.DataCentre, y.DataCentre)
		held[x.DataCentre]++
	}
	for dc, n := range held {
		assert.Assert(t, n > 50, "%s holds %d of 300", dc, n)
	}
	_, ok := Root(nil, "w")
	assert.Assert(t, !ok)
}

// rankOf returns the rank of a node among others of all regions.
func rankOf(self string, serving bool, names []string) int {
	now := time.Unix(1000, 0)
	x := &Table{Self: Member{Name: self, Region: "north"}}
	for _, other := range names {
		if other != self {
			x.Seen(now, Member{Name: other, Region: "north", Serving: true})
		}
	}
	x.Serve(now, serving)
	return x.Rank(now, "key")
}

// Nodes write in turn: each has a rank of its own, and one that isn't live yet is not among the first, as all that start
// at once would be.
func TestRank(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	var ranks []int
	for _, name := range names {
		ranks = append(ranks, rankOf(name, true, names))
	}
	slices.Sort(ranks)
	assert.DeepEqual(t, ranks, []int{0, 1, 2, 3})
	for _, name := range names {
		assert.Equal(t, rankOf(name, false, names), 3)
	}
}

// A region with a third of a large fleet has lost the store: a node of another one must be among the first to write.
func TestRankMixesRegions(t *testing.T) {
	var names []string
	for _, region := range []string{"amman", "aqaba", "irbid"} {
		for i := range 100 {
			names = append(names, fmt.Sprintf("edge-%s-a-%d", region, i))
		}
	}
	for lost := range 3 {
		first := len(names)
		for i, name := range names {
			if i/100 != lost {
				first = min(first, rankOf(name, true, names))
			}
		}
		assert.Assert(t, first <= 5, "without region %d the first one has rank %d", lost, first)
	}
}
