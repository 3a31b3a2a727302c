package jwinstance

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The nodes of a region learn of each other's load through the relays of two data centres. Each
// must count every call of the other nodes once. If calls are counted twice, a target looks full
// and stays idle; if they are left out, all nodes send to the same target.
func TestLoadsThroughRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		const dataCentres, nodes = 2, 3
		tables := make([][]*Table, dataCentres)
		total := 0
		own := make(map[*Table]int)
		for d := range dataCentres {
			for n := range nodes {
				table := &Table{Region: "r"}
				table.Put(now, Instance{ID: "t", Service: "s", Region: "r", Slots: 4})
				calls := rapid.IntRange(0, 5).Draw(t, fmt.Sprintf("calls %d %d", d, n))
				for range calls {
					_, ok := table.Best(now, Need{Service: "s"})
					assert.Assert(t, ok)
				}
				own[table], total = calls, total+calls
				tables[d] = append(tables[d], table)
			}
		}
		name := func(d, n int) string { return fmt.Sprintf("%d-%d", d, n) }
		for range rapid.IntRange(2, 6).Draw(t, "rounds") {
			for d := range dataCentres {
				relay := tables[d][0]
				for n := 1; n < nodes; n++ {
					loads, _ := tables[d][n].Report(now)
					relay.Merge(now, name(d, n), loads, nil)
					tables[d][n].MergeRelay(now, name(d, 0), relay.ReportTo(now, name(d, n)), nil)
				}
			}
			tables[0][0].MergeRelay(now, name(1, 0), tables[1][0].ReportToRelay(now), nil)
			tables[1][0].MergeRelay(now, name(0, 0), tables[0][0].ReportToRelay(now), nil)
		}
		for d := range dataCentres {
			for n := range nodes {
				table := tables[d][n]
				if got := table.targets["t"].othersLoad.calls; got != total-own[table] && n == 0 {
					t.Fatalf("relay %d counts %d calls of others, there are %d", d, got, total-own[table])
				}
			}
		}
		for d := range dataCentres { // the next exchange reports the remaining calls to the other nodes
			for n := 1; n < nodes; n++ {
				table := tables[d][n]
				table.MergeRelay(now, name(d, 0), tables[d][0].ReportTo(now, name(d, n)), nil)
				if got := table.targets["t"].othersLoad.calls; got != total-own[table] {
					t.Fatalf("node %s counts %d calls of others, there are %d", name(d, n), got, total-own[table])
				}
			}
		}
	})
}

// Placements that relays report to each other must not circulate between them.
func TestPlacementsAreRelayedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := &Table{Region: "r"}
	for _, region := range []string{"r", "far"} {
		relay.Put(now, Instance{ID: "t-" + region, Service: "s", Region: region})
	}
	shared := []Part{{1, 500}, {2, 900}, {3, 10}}
	placement := func(target string, first uint64) Placement {
		parts := slices.Clone(shared)
		parts[0].ID = first
		return Placement{Target: target, Parts: parts}
	}
	relay.Merge(now, "node", nil, []Placement{placement("t-r", 10)})
	relay.MergeRelay(now, "relay", nil, []Placement{placement("t-r", 20), placement("t-far", 30)})
	firsts := func(list []Placement) string {
		var ids []string
		for _, p := range list {
			ids = append(ids, fmt.Sprint(p.Parts[0].ID))
		}
		slices.Sort(ids)
		return strings.Join(ids, " ")
	}
	relay.placements[1].Parts[1].ID = 4 // a different part than in the first placement
	assert.Equal(t, firsts(relay.PlacementsToRelay(now, time.Second, "2", true)), "10")
	assert.Equal(t, firsts(relay.PlacementsToRelay(now, time.Second, "2", false)), "10 20 30")
	assert.Equal(t, len(relay.PlacementsToRelay(now.Add(2*time.Second), time.Second, "2", false)), 0)
}

// Of the thousands of targets of another region a node knows few. If a relay passed on the placements
// at all of them, each exchange would carry hundreds that the node can't use.
func TestRemotePlacementsAreRelayedToNodesThatKnowTheTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := &Table{Region: "r", Node: "relay"}
	var placed []Placement
	for i := range 2000 {
		id := fmt.Sprint("t", i)
		relay.Put(now, Instance{ID: id, Service: "s", Region: "far"})
		placed = append(placed, Placement{Target: id, Parts: []Part{{uint64(i), 500}}})
	}
	relay.MergeRelay(now, "far relay", nil, placed)
	got := relay.PlacementsToRelay(now, time.Second, "n1", false)
	assert.Equal(t, len(got), remoteSubset)
	node := &Table{Region: "r", Node: "n1", targets: relay.targets}
	for _, p := range got {
		assert.Assert(t, node.Knows(p.Target))
	}
}

// Load columns must convert back to the list that they were made of, and converting must not fail on
// invalid columns, which a faulty node or one of another version may send.
func TestLoadColumns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []NodeLoad
		var places []Placement
		for i := range rapid.IntRange(0, 5).Draw(t, "n") {
			n := rapid.IntRange(0, 9).Draw(t, "figure")
			loads = append(loads, NodeLoad{Target: fmt.Sprint(i), Calls: n, CallsByLevel: countsByPriority{0, n, 0}, Unread: countsByPriority{n, 0, 1}, MemoryTokens: n, Gap: int64(n)})
			p := Placement{Target: fmt.Sprint(n)}
			for k := range n {
				p.Parts = append(p.Parts, Part{uint64(k), k})
			}
			places = append(places, p)
		}
		assert.Assert(t, slices.Equal(NewLoadColumns(loads).List(), loads))
		got := NewPlacementColumns(places).List()
		assert.Equal(t, len(got), len(places))
		for i, p := range places {
			assert.Equal(t, got[i].Target, p.Target)
			assert.Assert(t, slices.Equal(got[i].Parts, p.Parts))
		}
		c := NewPlacementColumns(places)
		if c == nil {
			return
		}
		c.Counts[0] = rapid.IntRange(-3, 99).Draw(t, "count")
		c.At[len(c.At)-1] = rapid.IntRange(-3, 99).Draw(t, "at")
		c.Tokens = c.Tokens[:rapid.IntRange(0, len(c.Tokens)).Draw(t, "tokens")]
		_ = c.List()
	})
}

// BenchmarkRelayReport measures what a relay reports to one node at full size: 75 nodes in the
// region, half of them in its data centre, 250 targets, and three hundred placements since the last
// report.
func BenchmarkRelayReport(b *testing.B) {
	now := time.Unix(1000, 0)
	table := &Table{Region: "r"}
	var loads []NodeLoad
	for i := range 250 {
		id := fmt.Sprintf("i-%010x", i)
		table.Put(now, Instance{ID: id, Service: "s", Region: "r", Slots: 12})
		if i%4 == 0 {
			loads = append(loads, NodeLoad{Target: id, Calls: 1, Unread: countsByPriority{priorityLevels - 1: 2890}, MemoryTokens: 3000, Gap: 40})
		}
	}
	for n := range 37 {
		var placed []Placement
		for i := range 8 {
			placed = append(placed, Placement{
				Target: loads[(n+i)%len(loads)].Target,
				Parts:  []Part{{uint64(i), 500}, {uint64(n*100 + i), 5000}, {uint64(n*1000 + i), 2000}},
			})
		}
		table.Merge(now, fmt.Sprint(n), loads, placed)
	}
	b.ReportAllocs()
	bytes := 0
	for range b.N {
		raw, err := json.Marshal(struct {
			Loads  *LoadColumns
			Placed *PlacementColumns
		}{NewLoadColumns(table.ReportTo(now, "1")), NewPlacementColumns(table.PlacementsToRelay(now, time.Second, "2", false))})
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(raw)
	}
	b.ReportMetric(float64(bytes), "B/report")
}

// BenchmarkRelayReplies measures what a relay computes for one answer to a node, by the number of
// targets in the region, of which two hundred are in use. It must not grow with the others.
func BenchmarkRelayReplies(b *testing.B) {
	for _, targets := range []int{1000, 10000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := &Table{Region: "r", Node: "relay"}
			var loads []NodeLoad
			for i := range targets {
				id := fmt.Sprintf("i-%010x", i)
				table.Put(now, Instance{ID: id, Service: "s", Region: "r", Slots: 16})
				if i < 200 {
					loads = append(loads, NodeLoad{Target: id, Calls: 1, MemoryTokens: 3000})
				}
			}
			table.Merge(now, "n1", loads, nil)
			b.ReportAllocs()
			for b.Loop() {
				table.ReportTo(now, "n1")
				table.ReportCold(now)
				table.PlacementsToRelay(now, time.Second, "n1", false)
			}
		})
	}
}

// Relays pass on the levels of calls and the last pace, of their own and of the nodes behind them.
func TestRelayReportsLevelsAndPaces(t *testing.T) {
	relay := &Table{Region: "r"}
	relay.Put(t0, instance("a"))
	_, ok := relay.Best(t0, Need{Service: "s", Prompt: Prompt{Tokens: 10}, Priority: 4, ByPriority: true})
	assert.Assert(t, ok)
	relay.Merge(after(100), "n", []NodeLoad{{
		Target: "a", Calls: 3, CallsByLevel: countsByPriority{1: 1, 6: 2}, Pace: 130, PaceAge: 30,
	}}, nil)
	want := NodeLoad{
		Target: "a", Calls: 4, CallsByLevel: countsByPriority{1: 1, 4: 1, 6: 2}, Unread: countsByPriority{4: 10},
		MemoryTokens: 10, Pace: 130, PaceAge: 50,
	}
	assert.DeepEqual(t, relay.ReportToRelay(after(120)), []NodeLoad{want})
	assert.DeepEqual(t, relay.ReportTo(after(120), "other"), []NodeLoad{want})
	want.Calls, want.CallsByLevel = 1, countsByPriority{4: 1}
	assert.DeepEqual(t, relay.ReportTo(after(120), "n"), []NodeLoad{want})
}
