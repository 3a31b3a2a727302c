package jwmember

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// memberIn returns a serving node of a data centre in region r.
func memberIn(name, dc string, capacity int) Member {
	return Member{Name: name, Region: "r", DataCentre: dc, Serving: true, ServingChanges: 1, Start: 1, Capacity: capacity}
}

// All nodes of a data centre must choose the same relay, and another one as soon as it
// dies: without a relay they learn of no other nodes.
func TestRelay(t *testing.T) {
	now := time.Unix(100, 0)
	table := Table{Self: memberIn("b", "d1", 2)}
	for _, m := range []Member{memberIn("a", "d1", 1), memberIn("c", "d1", 8), memberIn("d", "d1", 8), memberIn("z", "d2", 9)} {
		table.Put(now, m)
		table.Seen(now, m)
	}
	relay := func(dc string) string {
		m, _ := table.Relay(now, dc)
		return m.Name
	}
	assert.Equal(t, relay("d1"), "c", "c has the highest capacity and comes before d by name")
	assert.Equal(t, relay("d2"), "z")
	assert.Equal(t, relay("d3"), "")
	table.MarkUnreachable(now.Add(1), "c")
	now = now.Add(time.Millisecond)
	assert.Equal(t, relay("d1"), "d")
	stopped := memberIn("d", "d1", 8)
	stopped.Serving, stopped.ServingChanges = false, 2
	table.Seen(now, stopped)
	assert.Equal(t, relay("d1"), "b")
	assert.Assert(t, table.IsRelay(now))
	assert.DeepEqual(t, namesOf(table.OtherRelays(now, "r")), []string{"z"})
}

func namesOf(list []Member) []string {
	var names []string
	for _, m := range list {
		names = append(names, m.Name)
	}
	return names
}

func TestLarge(t *testing.T) {
	now := time.Unix(100, 0)
	table := Table{Self: memberIn("a", "d1", 1)}
	for i := range DefaultRelayThreshold - 1 {
		assert.Assert(t, !table.Large(now, "r"))
		table.Put(now, memberIn(fmt.Sprint(i), "d1", 1))
	}
	assert.Assert(t, table.Large(now, "r"))
	assert.Assert(t, !table.Large(now, "other"))
	table.RelayThreshold = 100
	assert.Assert(t, !table.Large(now, "r"))
}

// Nodes learn of each other through their relay only. A dead node must soon be dropped from
// the live ones, and a live node must stay among them, even when the store is unavailable
// and its registration is gone.
func TestLivenessThroughRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		relay := Table{Self: memberIn("relay", "d", 9)}
		node := Table{Self: memberIn("node", "d", 1)}
		names := []string{"a", "b", "c", "e"}
		dead := make(map[string]time.Time)
		for _, name := range names {
			for _, x := range []*Table{&relay, &node} {
				x.Put(now, memberIn(name, "d", 1))
			}
		}
		const period = 500 * time.Millisecond
		for range rapid.IntRange(10, 40).Draw(t, "periods") {
			now = now.Add(period)
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				if dead[name].IsZero() {
					dead[name] = now
				}
			case 1: // its lease expires
				relay.Remove(name)
				node.Remove(name)
			case 2: // it is registered again
				if dead[name].IsZero() {
					relay.Put(now, memberIn(name, "d", 1))
					node.Put(now, memberIn(name, "d", 1))
				}
			}
			for _, other := range names {
				if dead[other].IsZero() {
					relay.Seen(now, memberIn(other, "d", 1))
				}
			}
			node.MergeLiveness(now, relay.Liveness(now))
			live := namesOf(node.Live(now, "r"))
			for _, other := range names {
				listed := slices.Contains(live, other)
				if at := dead[other]; !at.IsZero() && listed && now.Sub(at) > relaySuspectAfter+indirectAge+2*period {
					t.Fatalf("%s is reported as live %s after it died", other, now.Sub(at))
				}
				if dead[other].IsZero() && !listed {
					t.Fatalf("%s is running but not reported as live", other)
				}
			}
		}
	})
}

// A node in a planned stop must be dropped from the live ones at once, not only when its
// relay finds it unresponsive.
func TestStoppingIsReported(t *testing.T) {
	now := time.Unix(100, 0)
	relay, node := Table{Self: memberIn("relay", "d", 9)}, Table{Self: memberIn("node", "d", 1)}
	for _, x := range []*Table{&relay, &node} {
		x.Put(now, memberIn("a", "d", 1))
	}
	relay.Seen(now, memberIn("a", "d", 1))
	stopped := memberIn("a", "d", 1)
	stopped.Serving, stopped.ServingChanges = false, 2
	relay.Seen(now, stopped)
	stopping := relay.RecentlyStopping(now.Add(time.Second), 5*time.Second)
	assert.DeepEqual(t, namesOf(stopping), []string{"a"})
	for _, m := range stopping {
		node.MergeStopping(now, m)
	}
	assert.DeepEqual(t, namesOf(node.Live(now, "r")), []string{"node"})
	assert.Equal(t, len(relay.RecentlyStopping(now.Add(time.Minute), 5*time.Second)), 0)
}

// Live and Count return cached results. A change must take effect at once all the same, or
// requests go to a node that is gone.
func TestChangesInvalidateViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := Table{Self: memberIn("self", "d", 1)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			m := memberIn(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), "d", 1)
			m.Start, m.ServingChanges = int64(rapid.IntRange(1, 2).Draw(t, "start")), rapid.IntRange(1, 3).Draw(t, "change")
			m.Serving = m.ServingChanges == 1
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				table.Put(now, m)
			case 1:
				table.Seen(now, m)
			case 2:
				table.SeenByOther(now, []string{m.Name})
			case 3:
				table.MarkUnreachable(now, m.Name)
			case 4:
				table.Remove(m.Name)
			case 5:
				table.RemoveExcept(now, map[string]bool{m.Name: true})
			case 6:
				table.Resumed(now)
			case 7:
				table.MergeStopping(now, m)
			default:
				table.MergeLiveness(now, Liveness{Unresponsive: []string{m.Name}})
			}
			got := namesOf(table.Live(now, "r"))
			count := table.Count(now, "r")
			table.invalidateViews()
			if want := namesOf(table.Live(now, "r")); !slices.Equal(got, want) {
				t.Fatalf("Live returned %v from the cache, computed without the cache %v", got, want)
			}
			if want := table.Count(now, "r"); count != want {
				t.Fatalf("Count returned %d from the cache, computed without the cache %d", count, want)
			}
		}
	})
}

func BenchmarkLive(b *testing.B) {
	now := time.Unix(1000, 0)
	table := Table{Self: memberIn("self", "d", 1)}
	for i := range 300 {
		m := memberIn(fmt.Sprint(i), "d", 1)
		table.Put(now, m)
		table.Seen(now, m)
	}
	b.ReportAllocs()
	for i := range b.N {
		table.Live(now.Add(time.Duration(i)*time.Microsecond), "r")
	}
}

// Unseen must return the candidates in turn: the nodes that would be the relay of this
// node's own data centre, and all nodes of a data centre where none is known to be live.
func TestUnseen(t *testing.T) {
	t0 := time.Unix(100, 0)
	table := &Table{Self: Member{Name: "b1", Region: "r", DataCentre: "b", Serving: true, Capacity: 5}}
	for name, m := range map[string]Member{
		"b0": {DataCentre: "b", Capacity: 9}, "b2": {DataCentre: "b", Capacity: 7}, "b3": {DataCentre: "b", Capacity: 1},
		"c0": {DataCentre: "c"}, "c1": {DataCentre: "c"}, "d0": {DataCentre: "d"}, "d1": {DataCentre: "d"},
	} {
		m.Name, m.Region, m.Serving, m.Start = name, "r", true, 1
		table.Put(t0, m)
	}
	table.Put(t0, Member{Name: "x0", Region: "s", DataCentre: "x", Serving: true})
	unseen := func(now time.Time, turn int) string {
		var names []string
		for _, m := range table.Unseen(now, turn) {
			names = append(names, m.Name)
		}
		return strings.Join(names, " ")
	}
	assert.Equal(t, unseen(t0, 0), "", "new registrations count as live")
	now := t0.Add(10 * time.Second)
	table.Seen(now, Member{Name: "d1", Region: "r", DataCentre: "d", Serving: true, Start: 1})
	assert.Equal(t, unseen(now, 0), "b0 c0")
	assert.Equal(t, unseen(now, 1), "b2 c1")
	table.Seen(now, Member{Name: "b0", Region: "r", DataCentre: "b", Serving: true, Start: 1, Capacity: 9})
	assert.Equal(t, unseen(now, 0), "b2 c0")
	for _, name := range []string{"b2", "c0", "c1"} {
		table.Remove(name)
	}
	assert.Equal(t, unseen(now.Add(2*time.Second), 0), "", "no unseen node is registered or was seen within a minute")
}

// A relay that can't reach the store must not be the one from which the others take its changes.
func TestRelaysNearStoreReachIt(t *testing.T) {
	cases := map[string]struct {
		lost map[string]bool
		want []string
	}{
		"all reach it":          {want: []string{"a1", "b1"}},
		"the nearest lost it":   {lost: map[string]bool{"a1": true}, want: []string{"b1", "c1"}},
		"this one lost it":      {lost: map[string]bool{"b1": true}, want: []string{"a1", "c1"}},
		"all lost it":           {lost: map[string]bool{"a1": true, "b1": true, "c1": true}, want: []string{"a1", "b1"}},
		"all but the last lost": {lost: map[string]bool{"a1": true, "b1": true}, want: []string{"c1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			relay := func(name string, roundTrip int64) Member {
				return Member{Name: name, DataCentre: name[:1], Serving: true, StoreRoundTrip: roundTrip, StoreLost: c.lost[name]}
			}
			table := &Table{Self: relay("b1", 50)}
			table.Seen(now, relay("a1", 25))
			table.Seen(now, relay("c1", 75))
			var got []string
			for _, m := range table.RelaysNearStore(now, 2) {
				got = append(got, m.Name)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// A node that starts takes what the store holds from its relay, and a relay from those nearest to the
// store, so that not all nodes read the store at once.
func TestStartSource(t *testing.T) {
	relay := func(name string, roundTrip int64) Member {
		return Member{Name: name, DataCentre: name[:1], Serving: true, StoreRoundTrip: roundTrip}
	}
	cases := map[string]struct {
		self  Member
		known []Member
		want  string
	}{
		"from its relay":                    {self: relay("a2", 25), known: []Member{relay("a1", 25), relay("b1", 50)}, want: "a1"},
		"a relay far from the store":        {self: relay("c1", 175), known: []Member{relay("a1", 25), relay("b1", 25)}, want: "a1"},
		"a relay whose way isn't known":     {self: relay("c1", 0), known: []Member{relay("a1", 25), relay("b1", 25)}, want: "a1"},
		"a relay near the store":            {self: relay("a1", 25), known: []Member{relay("b1", 25), relay("c1", 175)}},
		"while no way is known":             {self: relay("a1", 0), known: []Member{relay("b1", 0), relay("c1", 0)}},
		"one other relay":                   {self: relay("c1", 175), known: []Member{relay("a1", 25)}},
		"no other node":                     {self: relay("a1", 25)},
		"its relay is known to have failed": {self: relay("a2", 25), known: []Member{relay("a1", 25)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := &Table{Self: c.self}
			for _, m := range c.known {
				table.Put(now, m)
			}
			if name == "its relay is known to have failed" {
				table.MarkUnreachable(now.Add(time.Millisecond), "a1")
			}
			m, ok := table.StartSource(now.Add(2*time.Millisecond), 2)
			assert.Equal(t, ok, c.want != "")
			if ok && c.self.DataCentre == "a" {
				assert.Equal(t, m.Name, c.want)
			}
		})
	}
}

// The relay of a data centre fails. Its nodes take the changes of the store from the relays of all
// other data centres alike, and none from one that can't reach the store.
func TestSubstituteRelays(t *testing.T) {
	now := time.Unix(1000, 0)
	asked := make(map[string]int)
	for i := range 160 {
		table := &Table{Self: Member{Name: fmt.Sprint("a", i), DataCentre: "a", Serving: true}}
		for _, dc := range []string{"a", "b", "c", "d", "e", "f"} {
			table.Put(now, Member{Name: dc, DataCentre: dc, Serving: true, Capacity: 9, StoreLost: dc == "f"})
		}
		m, ok := table.SubstituteRelay(now)
		assert.Assert(t, ok)
		asked[m.Name]++
	}
	assert.Equal(t, len(asked), 4, "%v", asked)
	for name, n := range asked {
		assert.Assert(t, n < 80, "%d of 160 nodes ask %s", n, name)
		assert.Assert(t, name != "a" && name != "f")
	}
}
