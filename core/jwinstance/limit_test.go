package jwinstance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwbudget"
	"jujubewheel/core/jwmember"
)

// The number of requests that a target with a limit may get from all nodes together within any
// period of limitSpan: half more than the limit, plus a few.
const (
	limitSpan  = 4 * time.Second
	limitRatio = 1.5
	limitSlack = 5
)

// Several nodes of a region know the same target's limit. Together they must not exceed it.
func TestTargetLimitHoldsAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 20).Draw(t, "rate")
		tables := make([]*Table, rapid.IntRange(1, 100).Draw(t, "nodes"))
		counted := len(tables) + rapid.IntRange(0, 2).Draw(t, "more")
		for i := range tables {
			tables[i] = &Table{Region: "r", LimitShare: func(rate float64, _ string, _ func(string) bool) jwbudget.LimitShare {
				return jwbudget.LimitShareOf(rate, i == 0, counted)
			}}
			tables[i].Put(t0, instance("a"))
			tables[i].SetLimit(t0, tables[i].targets["a"], Limit{Announced: true, Rate: rate})
		}
		var sends []time.Time
		now := t0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if bestTargetID(tables[rapid.IntRange(0, len(tables)-1).Draw(t, "node")], now, Need{}) != "" {
				sends = append(sends, now)
			}
			checkLimit(t, sends, now, rate)
		}
	})
}

// checkLimit fails if a target got too many requests in the period of limitSpan that ends now.
func checkLimit(t *rapid.T, sends []time.Time, now time.Time, rate float64) {
	n := 0
	for _, at := range sends {
		if now.Sub(at) < limitSpan {
			n++
		}
	}
	if bound := limitRatio*rate*limitSpan.Seconds() + limitSlack; float64(n) > bound {
		t.Fatalf("%d sends within %s at a limit of %.2f a second, the bound is %.1f", n, limitSpan, rate, bound)
	}
}

// limitNode is a node of TestTargetLimitWhileNodesComeAndGo.
type limitNode struct {
	*Table
	live          bool
	sendsFrom     time.Time // does not send to targets with a limit before
	learnsAt      time.Time // when it learns of the last change
	mistakenUntil time.Time // considers the owner dead and itself the owner until then
	nodes         int       // number of nodes in its view
	owner         int       // index of the owner in its view
}

// share returns the node's share of the limit in its own view.
func (n *limitNode) share(rate float64, self int, now time.Time) jwbudget.LimitShare {
	if now.Before(n.sendsFrom) {
		return jwbudget.LimitShare{}
	}
	return jwbudget.LimitShareOf(rate, n.owner == self, n.nodes)
}

// While nodes come and go, their views of the number of nodes and of the target's owner differ for
// some seconds. Two owners, or an owner beside nodes with equal shares, would exceed the limit.
func TestTargetLimitWhileNodesComeAndGo(t *testing.T) {
	const lag, settle = 3300 * time.Millisecond, 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 8).Draw(t, "rate")
		nodes := make([]limitNode, rapid.IntRange(2, 30).Draw(t, "nodes"))
		now := t0
		counted := make(map[int]bool) // nodes that left are counted for longer than this test lasts
		owner := 0
		change := func() {
			owner = len(nodes)
			before := len(counted)
			for i := range nodes {
				n := &nodes[i]
				live := rapid.IntRange(0, 3).Draw(t, "live") > 0
				if live && !n.live {
					*n = limitNode{Table: &Table{Region: "r"}, sendsFrom: now.Add(settle), nodes: before + 1, owner: i}
					n.LimitShare = func(rate float64, _ string, _ func(string) bool) jwbudget.LimitShare { return n.share(rate, i, now) }
					n.Put(now, instance("a"))
					n.SetLimit(now, n.targets["a"], Limit{Announced: true, Rate: rate})
				}
				n.live = live
				n.learnsAt = now.Add(time.Duration(rapid.IntRange(0, int(lag/time.Millisecond)).Draw(t, "lag")) * time.Millisecond)
				if rapid.IntRange(0, 5).Draw(t, "errs") == 0 {
					n.mistakenUntil = now.Add(lag)
				}
				if live {
					counted[i] = true
					owner = min(owner, i)
				}
			}
		}
		change()
		report := func() {
			for i := range nodes {
				n := &nodes[i]
				if !now.Before(n.learnsAt) {
					n.nodes, n.owner = len(counted), owner
				}
				if now.Before(n.mistakenUntil) {
					n.owner = i
				}
				if n.live {
					n.ReportLimits(now, false)
				}
			}
		}
		var sends []time.Time
		nextChange := now.Add(5 * time.Second)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "pause") == 0 {
				for range 5 {
					now = now.Add(time.Second)
					report()
				}
			}
			if now.After(nextChange) {
				nextChange = now.Add(lag + time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds"))*time.Second)
				change()
			}
			report()
			// A negative sender means that all nodes send at once, as the target looks idle to each.
			sender := rapid.IntRange(-len(nodes), len(nodes)-1).Draw(t, "one")
			for i := range nodes {
				n := &nodes[i]
				if n.live && (sender < 0 || sender == i) && bestTargetID(n.Table, now, Need{}) != "" {
					sends = append(sends, now)
				}
			}
			checkLimit(t, sends, now, rate)
		}
	})
}

// The nodes of a region learn of a limit, and of its end, from the node that received the answer.
func TestLimitIsReportedBetweenNodes(t *testing.T) {
	a, b, c := &Table{Region: "r"}, &Table{Region: "r"}, &Table{Region: "r"}
	for _, table := range []*Table{a, b, c} {
		table.Put(t0, instance("x"))
	}
	limited := func(table *Table) Limit { return table.targets["x"].limit.Limit }
	announced := Limit{Announced: true, Rate: 2}
	assert.Assert(t, a.SetLimit(after(0), a.targets["x"], announced))
	assert.Assert(t, !a.SetLimit(after(10), a.targets["x"], announced))
	b.MergeLimits(after(120), a.ReportLimits(after(110), false))
	assert.Equal(t, limited(b), announced)
	assert.Equal(t, len(b.ReportLimits(after(130), false)), 0, "only the node that received the answer reports it")
	c.MergeLimits(after(250), b.ReportLimits(after(240), true))
	assert.Equal(t, limited(c), announced, "a relay reports for others")
	assert.Assert(t, a.SetLimit(after(1000), a.targets["x"], Limit{}))
	a.MergeLimits(after(1050), c.ReportLimits(after(1040), true))
	assert.Equal(t, limited(a), Limit{}, "an older answer changes nothing")
	c.MergeLimits(after(1110), a.ReportLimits(after(1100), false))
	assert.Equal(t, limited(c), Limit{})
	assert.Equal(t, len(a.ReportLimits(after(7000), true)), 0, "the end is no longer reported")
	assert.Equal(t, c.LimitedTargets(), 0)
}

// A limit applies only to the incarnation that announced it.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	table := &Table{Region: "r"}
	in := instance("a")
	table.Put(t0, in)
	table.SetLimit(t0, table.targets["a"], Limit{Announced: true, Rate: 1})
	assert.Equal(t, bestTargetID(table, after(0), Need{}), "")
	d, ok := table.LimitWait(after(0), "s")
	assert.Assert(t, ok)
	assert.Equal(t, d, time.Second)
	assert.Equal(t, bestTargetID(table, after(1000), Need{}), "a")
	in.StartedAt++
	table.Put(after(1001), in)
	assert.Equal(t, bestTargetID(table, after(1002), Need{}), "a")
	assert.Equal(t, bestTargetID(table, after(1002), Need{}), "a")
}

// Two of three targets announce a limit. If small prompts could use it up, the third target would
// have to read all large ones.
func TestLargePromptsUseLimitedTargets(t *testing.T) {
	table := &Table{Region: "r"}
	for _, id := range []string{"a", "b", "c"} {
		table.Put(t0, instance(id))
	}
	small, large := Need{Prompt: Prompt{Tokens: 500}}, Need{Prompt: Prompt{Tokens: 8000}}
	for range 100 {
		bestTargetID(table, t0, small)
		bestTargetID(table, t0, large)
	}
	for _, id := range []string{"a", "b"} {
		table.SetLimit(t0, table.targets[id], Limit{Announced: true, Rate: 1})
	}
	sent := map[string]int{}
	for ms := 0; ms < 20_000; ms += 50 {
		sent[bestTargetID(table, after(ms), small)]++
	}
	assert.DeepEqual(t, sent, map[string]int{"c": 400})
	clear(sent)
	now := after(20_000)
	for range 3 {
		c, ok := table.Best(now, Need{Service: "s", Prompt: large.Prompt})
		assert.Assert(t, ok)
		sent[c.Target.ID]++
	}
	assert.DeepEqual(t, sent, map[string]int{"a": 1, "b": 1, "c": 1})
	table.Remove(after(20_001), "c", 1)
	assert.Assert(t, bestTargetID(table, after(23_000), small) != "", "no other target is left")
}

// BenchmarkBestOfLimitedTargets chooses among the targets of a large region that all announce a
// limit, so that each request determines for each of them whether this node owns it and its share
// allows one more.
func BenchmarkBestOfLimitedTargets(b *testing.B) {
	const targets, nodes = 250, 75
	members := &jwmember.Table{Self: jwmember.Member{Name: "n00", Region: "r", Serving: true}}
	for i := 1; i < nodes; i++ {
		members.Put(t0, jwmember.Member{Name: fmt.Sprintf("n%02d", i), Region: "r", Serving: true})
	}
	table := &Table{Region: "r", Node: "n00", LimitShare: func(rate float64, target string, knows func(string) bool) jwbudget.LimitShare {
		return jwbudget.LimitShareOf(rate, members.OwnsAmong(t0, target, knows), nodes)
	}}
	for i := range targets {
		in := instance(fmt.Sprintf("t%03d", i))
		table.Put(t0, in)
		table.SetLimit(t0, table.targets[in.ID], Limit{Announced: true, Rate: 2})
	}
	n := Need{Service: "s", Prompt: prompt(1, 2, 3), Events: 10, Capacity: 250_000}
	now := t0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond) // 21 requests a second at each node
		if c, ok := table.Best(now, n); ok {
			table.Done(now, c.Target, c, 0)
		}
		table.placements = table.placements[:0]
	}
}

// In a region of many nodes, each compares only a few of many targets. The owner of a target with a
// limit is the only node that may use the limit, and would hardly ever have that target in a random
// sample.
func TestOwnerUsesTheLimit(t *testing.T) {
	const rate, seconds = 2, 20
	random := rand.New(rand.NewPCG(1, 2))
	table := &Table{
		Region: "r", Nodes: func() int { return 75 }, Rand: random.IntN,
		LimitShare: func(rate float64, _ string, _ func(string) bool) jwbudget.LimitShare {
			return jwbudget.LimitShareOf(rate, true, 75)
		},
	}
	var loads []NodeLoad
	for i := range 60 {
		id := fmt.Sprintf("t%02d", i)
		table.Put(t0, instance(id))
		if id != "t07" {
			loads = append(loads, NodeLoad{Target: id, Calls: 2, MemoryTokens: 8000})
		}
	}
	table.SetLimit(t0, table.targets["t07"], Limit{Announced: true, Rate: rate})
	sent := 0
	for ms := 0; ms < 1000*(seconds+4); ms += 100 {
		table.Merge(after(ms), "other", loads, nil)
		if bestTargetID(table, after(ms), Need{Prompt: Prompt{Tokens: 8000}}) == "t07" {
			sent++
		}
	}
	assert.Assert(t, sent >= rate*seconds*8/10, "%d of the %d requests that its limit allows", sent, rate*seconds)
}
