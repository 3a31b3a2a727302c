package jwinstance

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwbudget"
)

// Requests are written some time after their targets were chosen, by nodes that all take themselves to
// be the owner of a cold target, and more of them than the target may get arrive within a second.
func TestColdLimitHoldsForWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := jwbudget.ColdLimits{Rate: rapid.Float64Range(1, 10).Draw(t, "rate"), Ratio: 1.5, Slack: 3}
		tables := make([]*Table, rapid.IntRange(1, 6).Draw(t, "nodes"))
		owner := make([]bool, len(tables))
		for i := range tables {
			tables[i] = &Table{Region: "r", Warmup: func(string) (time.Duration, float64) { return time.Hour, limits.Rate }}
			tables[i].ColdRate = func(string, string) float64 { return jwbudget.ColdShare(limits, owner[i], len(tables)) }
			tables[i].Put(t0, instance("a"))
		}
		type pending struct {
			at    time.Time
			node  int
			c     Choice
			begun bool
		}
		var queue []pending
		var written []time.Time
		cold := false
		for ms := 0; ms < 5000; ms += 20 {
			now := after(ms)
			if !cold && ms >= 1000 {
				cold = true
				for _, table := range tables {
					table.SetCold(now, table.targets["a"], time.Hour)
				}
			}
			slices.SortStableFunc(queue, func(a, b pending) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
			for len(queue) > 0 && !queue[0].at.After(now) {
				p := queue[0]
				queue = queue[1:]
				x := p.c.Target
				switch {
				case p.begun:
					tables[p.node].Wrote(p.at, x)
				case tables[p.node].BeginWrite(p.at, x, p.c):
					// The request leaves at some time while it is being written.
					leaves := time.Duration(rapid.IntRange(0, 300).Draw(t, "leaves")) * time.Millisecond
					ends := leaves + time.Duration(rapid.IntRange(0, 300).Draw(t, "ends"))*time.Millisecond
					if cold {
						written = append(written, p.at.Add(leaves))
					}
					queue = append(queue, pending{at: p.at.Add(ends), node: p.node, c: p.c, begun: true})
				}
			}
			i := rapid.IntRange(0, len(tables)-1).Draw(t, "node")
			owner[i] = rapid.IntRange(0, 3).Draw(t, "owner") > 0
			if c, ok := tables[i].Best(now, Need{Service: "s"}); ok {
				tables[i].Done(now, c.Target, c, 0)
				delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
				queue = append(queue, pending{at: now.Add(delay), node: i, c: c})
			}
		}
		slices.SortFunc(written, time.Time.Compare)
		bound := int(limits.Rate*limits.Ratio + limits.Slack)
		for i, at := range written {
			end, _ := slices.BinarySearchFunc(written, at.Add(time.Second), time.Time.Compare)
			if end-i > bound {
				t.Fatalf("%d requests within a second, %d are allowed", end-i, bound)
			}
		}
	})
}

// A target restarts under its identifier between the choice and the writing of a request.
func TestNothingIsWrittenToALaterIncarnation(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	c, ok := table.Best(t0, Need{Service: "s"})
	assert.Assert(t, ok)
	later := instance("a")
	later.StartedAt = 7
	assert.Equal(t, table.Put(after(10), later), Restarted)
	assert.Assert(t, !table.BeginWrite(after(20), c.Target, c))
}
