package jwinstance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwstore"
)

// A target announces in an answer that it is leaving, but the store's registration of it is older
// or arrives later. Nodes must not send to it again because of that.
func TestLeavingOutlivesRegistrations(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(after(0), instance("a"))
	table.Put(after(0), instance("b"))
	assert.Equal(t, bestTargetID(table, after(1), Need{}), "a")
	table.Leave(table.targets["a"])
	assert.Equal(t, bestTargetID(table, after(2), Need{}), "b")
	later := instance("a")
	later.Revision, later.Slots = 7, 5
	table.Put(after(3), later)
	assert.Equal(t, bestTargetID(table, after(4), Need{}), "b", "a later registration does not reset it")
	assert.Equal(t, table.Regions("s")["r"], 4)
	later.StartedAt++
	table.Put(after(5), later)
	assert.Equal(t, bestTargetID(table, after(6), Need{}), "a", "the next incarnation does not leave")
}

// A node must not send to an incarnation that it knows to be leaving, whatever registrations, views
// and reports of other nodes arrive, and in whatever order.
func TestLeavingIsNeverRevoked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{{Region: "r"}, {Region: "r"}, {Region: "r"}}
		leaving := make([]map[int64]bool, len(tables)) // by node, the incarnations known to be leaving
		for i := range tables {
			leaving[i] = make(map[int64]bool)
		}
		var written []Instance // registrations in the store, by revision
		now := t0
		node := func() int { return rapid.IntRange(0, len(tables)-1).Draw(t, "node") }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := node()
			x := tables[i].targets["a"]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0: // the target writes a registration
				in := instance("a")
				in.Revision, in.StartedAt = uint64(len(written)+1), int64(len(written)/8)
				written = append(written, in)
			case 1: // a node reads a registration, maybe late
				if len(written) > 0 {
					tables[i].Put(now, rapid.SampledFrom(written).Draw(t, "registration"))
				}
			case 2:
				tables[i].Remove(now, "a", uint64(rapid.IntRange(0, len(written)+1).Draw(t, "revision")))
			case 3:
				if x != nil {
					tables[i].Leave(x)
					leaving[i][x.StartedAt] = true
				}
			case 4: // a node merges a report
				from := tables[node()].ReportLeaving()
				for _, id := range tables[i].MergeLeaving(from) {
					leaving[i][tables[i].targets[id].StartedAt] = true
				}
			case 5: // a node merges a view
				for _, in := range tables[node()].Instances(now) {
					tables[i].Put(now, in)
					if x := tables[i].targets["a"]; x.Leaving {
						leaving[i][x.StartedAt] = true
					}
				}
			}
			for k, table := range tables {
				if x := table.targets["a"]; x != nil && leaving[k][x.StartedAt] && bestTargetID(table, now, Need{}) == "a" {
					t.Fatalf("node %d sends to the leaving incarnation of %d", k, x.StartedAt)
				}
			}
		}
	})
}

// A node that starts learns from another node's view that a target is leaving, which no
// registration shows.
func TestLeavingIsReported(t *testing.T) {
	a, b, c := &Table{Region: "r"}, &Table{Region: "r"}, &Table{Region: "r"}
	a.Put(t0, instance("x"))
	b.Put(t0, instance("x"))
	assert.Assert(t, a.Leave(a.targets["x"]))
	assert.Assert(t, !a.Leave(a.targets["x"]))
	assert.DeepEqual(t, b.MergeLeaving(a.ReportLeaving()), []string{"x"})
	assert.Equal(t, len(b.MergeLeaving(a.ReportLeaving())), 0)
	for _, in := range b.Instances(after(1)) {
		c.Put(after(2), in)
	}
	assert.Equal(t, bestTargetID(c, after(3), Need{}), "")
	next := instance("x")
	next.StartedAt, next.Revision = 5, 2
	b.Put(after(4), next)
	assert.Equal(t, len(b.MergeLeaving(a.ReportLeaving())), 0, "another incarnation leaves")
	assert.Equal(t, bestTargetID(b, after(5), Need{}), "x")
}

// A target that another incarnation replaced stays unused when its last registration is read once
// more, as after a gap in the changes of the store, and is used again once it has registered anew.
func TestReplacedTargetIsReadAgain(t *testing.T) {
	registration := func(revision jwstore.Revision, startedAt int64) Instance {
		in := instance("a")
		in.Revision, in.StartedAt = revision, startedAt
		return in
	}
	cases := map[string]struct {
		in   Instance
		want string
	}{
		"the same registration":          {registration(7, 1), ""},
		"an older one of a lagging node": {registration(6, 1), ""},
		"a later one":                    {registration(8, 1), "a"},
		"a later incarnation":            {registration(9, 5), "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Region: "r"}
			table.Put(after(0), registration(7, 1))
			table.Replaced(after(0), table.targets["a"])
			table.Put(after(3000), c.in)
			assert.Equal(t, bestTargetID(table, after(3000), Need{}), c.want)
		})
	}
}

// A target of which the registration has just vanished may be used while no other is left, but not
// after another incarnation answered at its address.
func TestReplacedTargetThatIsGone(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(after(0), instance("a"))
	table.Remove(after(0), "a", 1)
	assert.Equal(t, bestTargetID(table, after(100), Need{}), "a")
	table.Replaced(after(100), table.targets["a"])
	assert.Equal(t, bestTargetID(table, after(200), Need{}), "")
}
