package jwinstance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// If each node of a region of a thousand targets and a hundred nodes knew all targets, the reports
// of a relay to each node would grow with both numbers and saturate the relay's link.
func TestSubsetsOfManyTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	newTable := func(node string, targets int) *Table {
		x := &Table{Node: node, Region: "r"}
		for i := range targets {
			x.Put(now, Instance{ID: fmt.Sprint("t", i), Service: "s", Region: "r", Slots: 4})
		}
		return x
	}
	const nodes, targets = 100, 1000
	known := make(map[string]int)
	for i := range nodes {
		list := newTable(fmt.Sprint("n", i), targets).knownTargets("s")
		assert.Equal(t, len(list), localSubset)
		for _, x := range list {
			known[x.ID]++
		}
	}
	maxNodes := 0
	for _, n := range known {
		maxNodes = max(maxNodes, n)
	}
	assert.Assert(t, maxNodes <= 20, "%d nodes know the same target", maxNodes)
	assert.Assert(t, len(known) > targets*99/100, "%d targets are used", len(known))

	relay := newTable("relay", targets)
	for _, x := range relay.targets {
		relay.reports = map[string]nodeReport{"other": {at: now}}
		x.othersLoad.add(NodeLoad{Calls: 1}, 1)
	}
	assert.Equal(t, len(relay.ReportTo(now, "n7")), localSubset)
	seven := make(map[string]bool)
	for _, x := range newTable("n7", targets).knownTargets("s") {
		seven[x.ID] = true
	}
	for _, l := range relay.ReportTo(now, "n7") {
		assert.Assert(t, seven[l.Target], "the node doesn't know %s", l.Target)
	}
}

// In a small region each node knows all targets.
func TestSmallRegionHasNoSubsets(t *testing.T) {
	table := &Table{Node: "n", Region: "r"}
	for i := range localSubset {
		table.Put(time.Unix(1000, 0), Instance{ID: fmt.Sprint("t", i), Service: "s", Region: "r"})
	}
	assert.Equal(t, len(table.knownTargets("s")), localSubset)
}

// When a target is added, a node's subset may change by at most that target.
func TestSubsetsAreStable(t *testing.T) {
	now := time.Unix(1000, 0)
	table := &Table{Node: "n", Region: "r"}
	for i := range 500 {
		table.Put(now, Instance{ID: fmt.Sprint("t", i), Service: "s", Region: "r", Slots: 1})
	}
	before := make(map[*Target]bool)
	for _, x := range table.knownTargets("s") {
		before[x] = true
	}
	table.Put(now, Instance{ID: "new", Service: "s", Region: "r", Slots: 1})
	changed := 0
	for _, x := range table.knownTargets("s") {
		if !before[x] {
			changed++
		}
	}
	assert.Assert(t, changed <= 1, "%d targets of the subset changed", changed)
}

// The index that is updated as targets are added, restart and are removed must equal one that is
// built from all of them.
func TestIndexMatchesRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := &Table{Node: "n", Region: "r0"}
		for i := range rapid.IntRange(0, 80).Draw(t, "targets") {
			table.Put(now, Instance{ID: fmt.Sprint("t", i), Service: "s", Region: "r0"})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("t", rapid.IntRange(0, 150).Draw(t, "target"))
			in := Instance{ID: id, Service: rapid.SampledFrom([]string{"s", "s", "s", "z"}).Draw(t, "service"), Region: fmt.Sprint("r", rapid.IntRange(0, 1).Draw(t, "region")), Revision: 1}
			in.StartedAt = int64(rapid.IntRange(0, 2).Draw(t, "born"))
			if rapid.IntRange(0, 2).Draw(t, "goes") == 0 {
				table.Remove(now, id, 9)
				now = now.Add(2 * recordRetention)
				table.Report(now) // removes the records of gone targets
			} else {
				table.Put(now, in)
			}
			table.knownTargets("s")
			table.subset(subsetKey{"s", "r0", "other"})
			rebuilt := &Table{Node: "n", Region: "r0", targets: table.targets}
			for _, k := range []subsetKey{{"s", "r0", "n"}, {"s", "r1", "n"}, {"s", "r0", "other"}, {"z", "r0", "n"}} {
				got, want := slices.Clone(table.subset(k)), slices.Clone(rebuilt.subset(k))
				sortByID(got)
				sortByID(want)
				if !slices.Equal(got, want) {
					t.Fatalf("%v: %d targets, want %d", k, len(got), len(want))
				}
			}
			if !slices.Equal(table.knownTargets("s"), rebuilt.knownTargets("s")) {
				t.Fatalf("known: %d targets, want %d", len(table.knownTargets("s")), len(rebuilt.knownTargets("s")))
			}
		}
	})
}

// A registration with the same content as the one before is no change. Relays pass on only changes.
func TestPutReportsChange(t *testing.T) {
	at := time.Unix(1000, 0)
	first := Instance{ID: "t", Service: "s", Region: "r", Slots: 4, Cold: 3 * time.Second, Revision: 1}
	with := func(change func(*Instance)) Instance {
		in := first
		in.Revision, in.Cold = 2, 2*time.Second
		change(&in)
		return in
	}
	cases := map[string]struct {
		in   Instance
		want Change
	}{
		"same content":          {with(func(*Instance) {}), Unchanged},
		"within the tolerance":  {with(func(in *Instance) { in.Cold -= 400 * time.Millisecond }), Unchanged},
		"cold again":            {with(func(in *Instance) { in.Cold = 3 * time.Second }), Updated},
		"warm at once":          {with(func(in *Instance) { in.Cold = 0 }), Updated},
		"other slots":           {with(func(in *Instance) { in.Slots = 8 }), Updated},
		"draining":              {with(func(in *Instance) { in.Draining = true }), DrainStarted},
		"removed soon":          {with(func(in *Instance) { in.RemainingTime = 2 * time.Second }), Updated},
		"an older registration": {with(func(in *Instance) { in.Revision, in.Draining = 0, true }), Unchanged},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var table Table
			table.Put(at, first)
			assert.Equal(t, table.Put(at.Add(time.Second), c.in), c.want)
		})
	}
}

// BenchmarkPutUpdates puts the registrations of a thousand cold targets, whose remaining cold time
// varies, and looks up each changed one as the log does. Rebuilding the index for each would cost
// each node of a fleet of 300 a percent of a core.
func BenchmarkPutUpdates(b *testing.B) {
	now := time.Unix(1000, 0)
	table := &Table{Node: "n", Region: "r"}
	in := make([]Instance, 1000)
	for i := range in {
		in[i] = Instance{ID: fmt.Sprint("t", i), Service: "s", Region: "r", Slots: 4, Cold: 3 * time.Second}
		table.Put(now, in[i])
	}
	for i := 0; b.Loop(); i++ {
		n := in[i%len(in)]
		n.Cold = time.Duration(1+i%3) * time.Second
		if table.Put(now, n) != Unchanged {
			table.Knows(n.ID)
		}
	}
}

// BenchmarkPutAll registers three thousand targets as a starting node does. If each were also looked
// up in between, this would take seconds of a small host's processor.
func BenchmarkPutAll(b *testing.B) {
	now := time.Unix(1000, 0)
	list := make([]Instance, 3000)
	for i := range list {
		list[i] = Instance{ID: fmt.Sprint("t", i), Service: "s", Region: fmt.Sprint("r", i%3), Slots: 4}
	}
	for b.Loop() {
		table := &Table{Node: "n", Region: "r0"}
		for _, in := range list {
			table.Put(now, in)
		}
		if n := len(table.Known(now)); n != localSubset {
			b.Fatal(n)
		}
	}
}

// knownBy decides by the score alone, and must agree with the subset's list.
func TestKnownByAgreesWithTheSubsets(t *testing.T) {
	table := &Table{Region: "r", Node: "n0"}
	for i := range 200 {
		table.Put(t0, instance(fmt.Sprintf("t%03d", i)))
	}
	for _, node := range []string{"n0", "n1", "n2"} {
		list := table.subset(subsetKey{"s", "r", node})
		assert.Equal(t, len(list), localSubset)
		for _, x := range table.targets {
			assert.Equal(t, table.knownBy(x, node), slices.Contains(list, x))
		}
	}
}
