package jwinstance

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwstore"
)

func versioned(id, region, version string, revision jwstore.Revision) Instance {
	return Instance{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: region + "-a", Region: region,
		Version: version, Slots: 4, StartedAt: 1, Revision: revision,
	}
}

// A version counts as long as one of its streams may go on, also after its last target is gone, by
// whatever way.
func TestVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	const within = 10 * time.Second
	check := func(x *Table, at time.Time, want ...string) {
		t.Helper()
		assert.DeepEqual(t, x.Versions(at, "s", within), want)
	}
	x := &Table{Region: "north"}
	check(x, now)
	x.Put(now, versioned("a", "north", "v1", 1))
	x.Put(now, versioned("b", "north", "v1", 2))
	check(x, now, "v1")
	x.Put(now, versioned("c", "south", "v2", 3))
	check(x, now, "v1", "v2")
	x.Remove(now, "c", 4)
	check(x, now.Add(within), "v1", "v2")
	check(x, now.Add(within+time.Second), "v1")
	x.Put(now, versioned("a", "north", "v2", 5)) // it starts again at another version
	check(x, now, "v1", "v2")
	x.Remove(now, "b", 6)
	check(x, now.Add(within+time.Second), "v2")
	now = now.Add(within + time.Second)
	x.Replaced(now, x.targets["a"])
	check(x, now.Add(within), "v2")
	check(x, now.Add(within+time.Second))
}

// A service whose versions nobody asks for is released again and again: those that are gone must be
// forgotten.
func TestVersionsAreBounded(t *testing.T) {
	x := &Table{Region: "north"}
	now := time.Unix(1000, 0)
	for i := range 1000 {
		now = now.Add(time.Minute)
		in := versioned("a", "north", fmt.Sprint("v", i), jwstore.Revision(i+1))
		in.StartedAt = int64(i + 1)
		x.Put(now, in)
	}
	assert.Assert(t, len(x.versions["s"]) < 10, "%d versions", len(x.versions["s"]))
}

// The counts of targets by version always equal those of the registered targets.
func TestVersionCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &Table{Region: "north"}
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				x.Remove(now, id, jwstore.Revision(i+1))
			case 1:
				if y := x.targets[id]; y != nil {
					x.Replaced(now, y)
				}
			case 2:
				x.removeExpired(now)
			default:
				in := versioned(id, "north", rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), jwstore.Revision(i+1))
				in.StartedAt = int64(rapid.IntRange(1, 2).Draw(t, "start"))
				x.Put(now, in)
			}
			want := make(map[string]int)
			for _, y := range x.targets {
				if y.goneAt.IsZero() {
					want[y.Version]++
				}
			}
			for _, version := range []string{"v1", "v2"} {
				got := 0
				if u := x.versions["s"][version]; u != nil {
					got = u.targets
				}
				if got != want[version] {
					t.Fatalf("%d targets of %s counted, %d registered", got, version, want[version])
				}
			}
		}
	})
}

// A request that must run at a version gets only targets of it, also in a region with so many targets
// that the node knows none of them.
func TestPinnedVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	x := &Table{Node: "n", Region: "north"}
	for i := range 5 * localSubset {
		x.Put(now, versioned(fmt.Sprint("t", i), "north", "v1", jwstore.Revision(i+1)))
	}
	pinned := Need{Service: "s", Pinned: true, Version: "v2"}
	_, ok := x.Best(now, pinned)
	assert.Assert(t, !ok)
	assert.Equal(t, len(x.RegionsFor(pinned)), 0)
	id := ""
	for i := 0; id == "" || x.knows(x.targets[id]); i++ {
		id = fmt.Sprint("new", i)
		x.Put(now, versioned(id, "north", "v2", jwstore.Revision(10000+i)))
		if x.knows(x.targets[id]) {
			delete(x.targets, id)
			x.invalidateIndex()
		}
	}
	c, ok := x.Best(now, pinned)
	assert.Assert(t, ok)
	assert.Equal(t, c.Target.Version, "v2")
	assert.Equal(t, x.RegionsFor(pinned)["north"], 4)
	pinned.Exclude = map[string]bool{c.Target.ID: true}
	_, ok = x.Best(now, pinned)
	assert.Assert(t, !ok)
	x.Put(now, versioned("far", "south", "v2", 20000))
	assert.Equal(t, x.RegionsFor(pinned)["south"], 4)
	_, targets := x.MissIn(now, "south", Need{Service: "s", Pinned: true, Version: "v1"})
	assert.Equal(t, targets, 0)
}

// A request that targets of some versions may not run goes to the others only, and to none if there are no others.
func TestWithoutVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	x := Table{Region: "north", Node: "n"}
	x.Put(now, versioned("a", "north", "v1", 1))
	x.Put(now, versioned("b", "north", "v2", 2))
	x.Put(now, versioned("c", "south", "v2", 3))
	cases := map[string]struct {
		without []string
		targets []string
		regions int
	}{
		"any":        {nil, []string{"a", "b"}, 2},
		"without v2": {[]string{"v2"}, []string{"a"}, 1},
		"without v1": {[]string{"v1"}, []string{"b"}, 2},
		"without":    {[]string{"v1", "v2"}, nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := Need{Service: "s", Without: c.without, Exclude: map[string]bool{}}
			for {
				choice, ok := x.Best(now, n)
				if !ok {
					break
				}
				n.Exclude[choice.Target.ID] = true
			}
			assert.DeepEqual(t, slices.Sorted(maps.Keys(n.Exclude)), c.targets)
			assert.Equal(t, len(x.RegionsFor(n)), c.regions)
		})
	}
}
