package jwinstance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func roomTable(node string, nodes, targets, slots int) *Table {
	t := &Table{Node: node, Region: "r", Nodes: func() int { return nodes }, Rand: func(int) int { return 0 }}
	for i := range targets {
		t.Put(time.Unix(1000, 0), Instance{ID: fmt.Sprintf("t%d", i), Service: "s", Region: "r", Slots: slots})
	}
	return t
}

// startAll starts calls until no target has room and returns them.
func startAll(t *Table, now time.Time, prompt Prompt, capacity int) (calls []Choice) {
	for {
		c, ok := t.Best(now, Need{Service: "s", Prompt: prompt, Capacity: capacity, OnlyWithRoom: true})
		if !ok {
			return calls
		}
		calls = append(calls, c)
	}
}

func exchangeLoads(now time.Time, tables ...*Table) {
	for _, from := range tables {
		loads, placed := from.Report(now)
		for _, to := range tables {
			if from != to {
				to.Merge(now, from.Node, loads, placed)
			}
		}
	}
}

// Nodes that all have more demand than room and exchange their loads don't fill the same slots of
// targets that are used to 70% at first. Before, each may take what is left up to there.
func TestNodesDivideTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, targets, slots := rapid.IntRange(1, 5).Draw(t, "nodes"), rapid.IntRange(1, 4).Draw(t, "targets"), rapid.IntRange(1, 32).Draw(t, "slots")
		var tables []*Table
		for i := range n {
			tables = append(tables, roomTable(fmt.Sprint("n", i), n, targets, slots))
		}
		now := time.Unix(1000, 0)
		room := slots + max(slots/4, 1)
		limit := room + n
		if rapid.Bool().Draw(t, "used") {
			for i := range targets {
				tables[0].addCalls(tables[0].targets[fmt.Sprint("t", i)], (7*room+9)/10)
			}
		} else {
			limit = max(limit, n*(7*room/10)+n)
		}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			now = now.Add(110 * time.Millisecond)
			exchangeLoads(now, tables...)
			for _, x := range tables {
				startAll(x, now, Prompt{Tokens: 100}, 0)
			}
		}
		for i := range targets {
			sum := 0
			for _, x := range tables {
				sum += x.targets[fmt.Sprint("t", i)].calls
			}
			if sum > limit {
				t.Fatalf("%d calls of %d nodes in a room of %d", sum, n, room)
			}
		}
	})
}

func TestRoomOfMemory(t *testing.T) {
	x := roomTable("n0", 1, 1, 32)
	assert.Equal(t, len(startAll(x, time.Unix(1000, 0), Prompt{Tokens: 900, Output: 100}, 10_000)), 10)
	x = roomTable("n0", 1, 1, 32)
	assert.Equal(t, len(startAll(x, time.Unix(1000, 0), Prompt{Tokens: 900, Output: 100}, 0)), 40)
}

// After a pause of the process nothing of what others reported counts: the node keeps to its equal
// part until they report again.
func TestPartsAfterAPause(t *testing.T) {
	a, b := roomTable("n0", 4, 1, 32), roomTable("n1", 4, 1, 32)
	now := time.Unix(1000, 0)
	exchangeLoads(now, a, b)
	a.DiscardReports()
	assert.Equal(t, len(startAll(a, now.Add(time.Second), Prompt{Tokens: 100}, 0)), 10)
}

// A relay reports for nodes that this one never hears from; they are not taken to be missing.
func TestRelayedReportsCoverAllNodes(t *testing.T) {
	x := roomTable("n0", 4, 1, 320)
	now := time.Unix(1000, 0)
	x.MergeRelay(now, "relay", []NodeLoad{{Target: "t0", Calls: 280}}, nil)
	age, missing := x.RoomAge(now.Add(time.Millisecond))
	assert.Equal(t, age, time.Millisecond)
	assert.Equal(t, missing, 0)
	assert.Equal(t, len(startAll(x, now, Prompt{Tokens: 100}, 0)), (400-280)/(4*relayRounds))
}

// The nodes that report nothing are spread over the subsets like the others: with few of them most
// of a target's room remains.
func TestMissingNodesOfASubset(t *testing.T) {
	const nodes, targets, missing = 12, 250, 3
	x := roomTable("n0", nodes, targets, 8)
	now := time.Unix(1000, 0)
	for i := range nodes - 1 - missing {
		x.Merge(now, fmt.Sprint("n", i+1), nil, nil)
	}
	_, silent := x.RoomAge(now)
	assert.Equal(t, silent, missing)
	got := len(startAll(x, now, Prompt{Tokens: 100}, 0))
	assert.Assert(t, got > 55, "%d calls", got)
}

// Through relays a node hears of the others twice a second; their reports must count until then.
func TestPartsBetweenSeldomReports(t *testing.T) {
	for name, interval := range map[string]time.Duration{"often": 100 * time.Millisecond, "seldom": 468 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			x := roomTable("n0", 75, 1, 320)
			x.ReportInterval = func() time.Duration { return interval }
			now := time.Unix(1000, 0)
			x.MergeRelay(now, "relay", []NodeLoad{{Target: "t0", Calls: 40}}, nil)
			_, missing := x.RoomAge(now.Add(2 * interval))
			assert.Equal(t, missing, 0)
			_, missing = x.RoomAge(now.Add(reportMaxAge))
			assert.Equal(t, missing, 74)
		})
	}
}

// A target that is cold or has refused a request takes others again by time alone; one that drains or
// can't be reached may not.
func TestReadyAt(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		change func(*Table, *Target)
		want   time.Duration // from now, negative for never
	}{
		"usable":          {func(*Table, *Target) {}, 0},
		"refused":         {func(t *Table, x *Target) { t.Refused(now, x) }, refusedBackoff},
		"closed":          {func(t *Table, x *Target) { t.SetClosed(now, x, 300*ms) }, 300 * ms},
		"refused, closed": {func(t *Table, x *Target) { t.Refused(now, x); t.SetClosed(now, x, 300*ms) }, 300 * ms},
		"not reached":     {func(t *Table, x *Target) { t.Unreached(now, x) }, -1},
		"draining":        {func(_ *Table, x *Target) { x.Draining = true }, -1},
		"cold": {func(t *Table, x *Target) {
			t.SetCold(now, x, 10*time.Second)
			for i := range 3 {
				x.recordSend(now.Add(time.Duration(100*i-500) * ms))
			}
		}, recentSendAge - 400*ms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := roomTable("n0", 1, 1, 8)
			x.Warmup = func(string) (time.Duration, float64) { return time.Minute, 2 }
			x.ColdRate = func(string, string) float64 { return 2 }
			c.change(x, x.targets["t0"])
			at, ok := x.ReadyAt(now, Need{Service: "s"})
			assert.Equal(t, ok, c.want >= 0)
			if ok {
				assert.Equal(t, at.Sub(now), c.want)
			}
		})
	}
}
