package jwinstance

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// paced returns a load report with a pace.
func paced(pace float64) LoadReport { return LoadReport{Reported: true, Slots: 4, Pace: pace} }

// Other work on a target's host makes it slow for half a second at a time. A report counts in full
// at first and no more once that time has passed, while a target that is always slower shows in its
// mean.
func TestPaceDecaysToTheMean(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	x := table.targets["a"]
	assert.Equal(t, x.expectedPace(t0), 1.0)
	for i := range 400 {
		table.SetLoad(after(i), x, paced(1.3))
	}
	assert.Assert(t, math.Abs(x.expectedPace(after(400))-1) < 0.01, "the mean pace is no news")
	table.SetLoad(after(400), x, paced(3.25))
	fresh := x.expectedPace(after(400))
	assert.Assert(t, fresh > 2.3 && fresh < 2.5, "%f", fresh)
	assert.Assert(t, x.expectedPace(after(900)) < fresh && x.expectedPace(after(900)) > 1.3)
	assert.Equal(t, x.expectedPace(after(400).Add(maxPaceAge+time.Millisecond)), 1.0)
	assert.Assert(t, x.expectedPace(t0.Add(-time.Hour)) <= fresh+1e-9, "the clock was set back")
}

// Nodes report to each other what they learned from each other. That must not make a pace look newer,
// and the mean is of the answers to this node, whatever is reported in between.
func TestPaceIsCountedOnce(t *testing.T) {
	a, b := &Table{Region: "r"}, &Table{Region: "r"}
	for _, table := range []*Table{a, b} {
		table.Put(t0, instance("a"))
		_, ok := table.Best(t0, Need{Service: "s"})
		assert.Assert(t, ok)
		for i := range 100 {
			table.SetLoad(after(i), table.targets["a"], paced(1))
		}
	}
	a.SetLoad(after(200), a.targets["a"], paced(3))
	mean := a.targets["a"].meanPace
	const transit = 3 * time.Millisecond
	now := after(200)
	for range 50 {
		now = now.Add(7 * time.Millisecond)
		loads, _ := a.Report(now)
		now = now.Add(transit)
		b.Merge(now, "a", loads, nil)
		loads, _ = b.Report(now)
		now = now.Add(transit)
		a.Merge(now, "b", loads, nil)
	}
	assert.Equal(t, a.targets["a"].paceAt, after(200))
	assert.Equal(t, a.targets["a"].meanPace, mean)
	assert.Equal(t, b.targets["a"].meanPace, 1.0)
	assert.Equal(t, b.targets["a"].pace, 3.0)
	assert.Assert(t, b.targets["a"].expectedPace(after(210)) > 2.9)
}

// No report makes a target look free of work, or busy, for longer than a report counts.
func TestPaceIsBounded(t *testing.T) {
	for name, reported := range map[string]float64{"huge": math.MaxInt32 / 100, "tiny": 0.01} {
		t.Run(name, func(t *testing.T) {
			table := &Table{Region: "r"}
			table.Put(t0, instance("a"))
			x := table.targets["a"]
			for i := range 400 {
				table.SetLoad(after(i), x, paced(reported))
			}
			assert.Assert(t, x.meanPace >= minPace && x.meanPace <= maxPace, "%f", x.meanPace)
			table.SetLoad(after(400), x, paced(1))
			assert.Assert(t, x.expectedPace(after(400)) >= 1/maxPace && x.expectedPace(after(400)) <= 1/minPace)
		})
	}
	for name, age := range map[string]int64{"negative": -math.MaxInt64, "huge": math.MaxInt64} {
		t.Run("age, "+name, func(t *testing.T) {
			table := &Table{Region: "r"}
			table.Put(t0, instance("a"))
			table.Merge(t0, "n2", []NodeLoad{{Target: "a", Pace: 200, PaceAge: age}}, nil)
			x := table.targets["a"]
			assert.Assert(t, !x.paceAt.After(t0) && !x.paceAt.Before(t0.Add(-reportMaxAge)), "%s", x.paceAt)
		})
	}
}

// Each node gets a part of the answers of a target, so the latest report of any node of the region
// counts, by its age. Without overload control the choice does not use it.
func TestPaceOfOtherNodesCounts(t *testing.T) {
	table := &Table{Region: "r"}
	for _, id := range []string{"a", "b"} {
		table.Put(t0, instance(id))
		table.SetLoad(t0, table.targets[id], paced(1))
	}
	n := Need{Service: "s", Prompt: Prompt{Tokens: 1000}, ByPriority: true}
	slow := NewLoadColumns([]NodeLoad{{Target: "a", Pace: 250, PaceAge: 20}})
	wire, err := json.Marshal(slow)
	assert.NilError(t, err)
	var received LoadColumns
	assert.NilError(t, json.Unmarshal(wire, &received))
	table.Merge(after(100), "n2", received.List(), nil)
	c, _ := table.Peek(after(100), n)
	assert.Equal(t, c.Target.ID, "b")
	assert.Equal(t, table.targets["a"].paceAt, after(80))
	table.Merge(after(120), "n3", []NodeLoad{{Target: "a", Pace: 50, PaceAge: 110}}, nil)
	assert.Equal(t, table.targets["a"].pace, 2.5, "an older report is ignored")
	n.ByPriority = false
	a, _ := table.Peek(after(100), Need{Service: "s", Prompt: n.Prompt, Exclude: map[string]bool{"b": true}})
	b, _ := table.Peek(after(100), Need{Service: "s", Prompt: n.Prompt, Exclude: map[string]bool{"a": true}})
	assert.Equal(t, a.Expected, b.Expected)
}

// Without overload control, what targets report and how urgent the calls of other nodes are must not
// change a choice, whatever was placed before.
func TestChoiceWithoutOverloadControlIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, informed := &Table{Region: "r"}, &Table{Region: "r"}
		ids := []string{"a", "b", "c"}
		for _, table := range []*Table{plain, informed} {
			for _, id := range ids {
				table.Put(t0, instance(id))
			}
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
			now := after(10 * i)
			id := rapid.SampledFrom(ids).Draw(t, "target")
			calls := rapid.IntRange(0, 9).Draw(t, "calls")
			load := NodeLoad{Target: id, Calls: calls, Unread: countsByPriority{calls, 0}}
			plain.Merge(now, "n2", []NodeLoad{load}, nil)
			load.CallsByLevel = countsByPriority{5: calls}
			load.Pace, load.PaceAge = rapid.IntRange(50, 300).Draw(t, "pace"), 5
			informed.Merge(now, "n2", []NodeLoad{load}, nil)
			informed.SetLoad(now, informed.targets[id], paced(2))
			n := Need{
				Service: "s", Prompt: Prompt{Tokens: rapid.IntRange(0, 9000).Draw(t, "tokens")},
				Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Events: 20,
			}
			want, _ := plain.Best(now, n)
			got, _ := informed.Best(now, n)
			assert.Equal(t, got.Target.ID, want.Target.ID)
			assert.Equal(t, got.Expected, want.Expected)
			assert.Equal(t, got.Cost, want.Cost)
			d := time.Duration(rapid.IntRange(1, 2000).Draw(t, "first")) * time.Millisecond
			plain.RecordFirstEvent(want.Target, want, n.Prompt, d)
			informed.RecordFirstEvent(got.Target, got, n.Prompt, d)
			if rapid.Bool().Draw(t, "ends") {
				plain.Done(now.Add(d), want.Target, want, d)
				informed.Done(now.Add(d), got.Target, got, d)
			}
		}
	})
}

// Without overload control priorities from 2 on are one level, as nodes of older versions count
// them; what these report as that level counts as least urgent.
func TestPriorityLevels(t *testing.T) {
	cases := map[string]struct {
		need Need
		want int
	}{
		"most urgent":                      {Need{}, 0},
		"second":                           {Need{Priority: 1}, 1},
		"third":                            {Need{Priority: 2}, priorityLevels - 1},
		"below zero":                       {Need{Priority: -3}, 0},
		"third, under overload control":    {Need{Priority: 2, ByPriority: true}, 2},
		"last, under overload control":     {Need{Priority: 99, ByPriority: true}, priorityLevels - 1},
		"negative, under overload control": {Need{Priority: -1, ByPriority: true}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.need.level(), c.want) })
	}
	assert.Equal(t, countsByPriority{1, 2, 3, 4}.coarse(), coarseCounts{1, 2, 7})
	assert.Equal(t, coarseCounts{1, 2, 7}.fine(), countsByPriority{0: 1, 1: 2, priorityLevels - 1: 7})
	text, err := json.Marshal([]countsByPriority{{}, {1, 0, 2}})
	assert.NilError(t, err)
	assert.Equal(t, string(text), "[[],[1,0,2]]")
}

// The error of the estimate is learned apart for idle and for full targets, and the length of
// answers from complete ones: callers allow for more events than answers have.
func TestErrorAndLengthAreLearned(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	n := Need{Service: "s", Prompt: Prompt{Tokens: 100}, Events: 100, ByPriority: true}
	at := t0
	for range 400 {
		c, _ := table.Best(at, n)
		table.RecordFirstEvent(c.Target, c, n.Prompt, c.Expected+20*time.Millisecond)
		table.RecordEvents(at, c.Target, 1, 40*time.Millisecond)
		table.RecordEnd(at, c.Target, c, 0, time.Second, 0)
		at = at.Add(time.Second)
		table.Done(at, c.Target, c, 20*time.Millisecond)
	}
	c, _ := table.Peek(at, n)
	assert.Equal(t, c.Load, LoadLow)
	assert.Assert(t, c.Error > 18*time.Millisecond && c.Error < 22*time.Millisecond, "%s", c.Error)
	assert.Assert(t, c.Rest > 900*time.Millisecond && c.Rest < 1100*time.Millisecond, "%s", c.Rest)
	c, _ = table.Peek(at, Need{Service: "s", Prompt: n.Prompt, Events: 10, ByPriority: true})
	assert.Equal(t, c.Rest, time.Duration(0), "shorter answers have not been measured, so their end rejects nothing")
	assert.Equal(t, table.statsOf("s").errorOf(LoadQueued), initialError)
	assert.Equal(t, bandOf(4, 2), LoadHigh)
	assert.Equal(t, bandOf(4, 4), LoadQueued)
}
