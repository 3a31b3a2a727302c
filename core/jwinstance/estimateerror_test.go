package jwinstance

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// While the gap or the length of answers is not known, requests must not be rejected because of it,
// as none would be accepted that could correct the estimate.
func TestRestIsKnownOnlyIfMeasured(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	x := table.targets["a"]
	n := Need{Service: "s", Prompt: Prompt{Tokens: 100}, Events: 1000, ByPriority: true}
	peek := func(now time.Time) Choice {
		c, ok := table.Peek(now, n)
		assert.Assert(t, ok)
		return c
	}
	assert.Equal(t, peek(t0).Rest, time.Duration(0))
	table.RecordEvents(t0, x, 1, 10*time.Millisecond)
	assert.Equal(t, peek(t0).Rest, time.Duration(0), "no answer has ended")
	for range minRestSamples {
		assert.Equal(t, peek(t0).Rest, time.Duration(0))
		table.RecordEnd(t0, x, peek(t0), 0, 10*time.Second, 0)
	}
	assert.Equal(t, peek(t0).Rest, 10*time.Second)
	assert.Equal(t, peek(after(2000)).Rest, 10*time.Second, "a gap doesn't grow without traffic")
	assert.Equal(t, peek(t0.Add(time.Hour)).Rest, time.Duration(0))
	n.Service = "other"
	_, ok := table.Peek(t0, n)
	assert.Assert(t, !ok)
}

// A stall makes answers longer for a while only.
func TestRestReturnsToTheMaximum(t *testing.T) {
	var s restRatio
	for i := range 400 {
		s.observe(after(100*i), 9)
	}
	last := after(100 * 399)
	assert.Assert(t, s.value(last) > 2.9 && s.value(last) <= maxRestRatio)
	assert.Assert(t, s.value(last.Add(restDecay)) < 1.8)
	assert.Equal(t, s.value(last.Add(time.Hour)), 0.0)
	assert.Assert(t, s.value(t0.Add(-time.Hour)) <= maxRestRatio, "the clock was set back")
	for range minRestSamples {
		assert.Equal(t, s.value(last.Add(time.Hour)), 0.0)
		s.observe(last.Add(time.Hour), 0.5)
	}
	assert.Assert(t, math.Abs(s.value(last.Add(time.Hour))-0.5) < 1e-9, "what was measured before has no weight")
	var short restRatio
	for i := range 4000 {
		short.observe(after(i), 0)
	}
	assert.Assert(t, short.value(after(4000)) >= minRestRatio)
}

// A node that has just started takes the gap from the others.
func TestReportedGapIsTheFirstOne(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	table.Merge(t0, "n2", []NodeLoad{{Target: "a", Gap: 12}}, nil)
	assert.Equal(t, table.statsOf("s").gap, 12*time.Millisecond)
	table.RecordEvents(t0, table.targets["a"], 1, 12*time.Millisecond)
	table.Merge(t0, "n2", []NodeLoad{{Target: "a", Gap: 500}}, nil)
	assert.Equal(t, table.statsOf("s").gap, 12*time.Millisecond)
}

// The queue is what other calls take before a request: not the base, what running calls add to each
// step, or the request's own prompt.
func TestQueue(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	n := Need{Service: "s", Prompt: Prompt{Tokens: 1000}, Priority: 1, ByPriority: true}
	peek := func() Choice {
		c, ok := table.Peek(t0, n)
		assert.Assert(t, ok)
		return c
	}
	assert.Equal(t, peek().Queue, time.Duration(0))
	assert.Assert(t, peek().Expected > peek().OwnReadTime)
	table.Merge(t0, "n2", []NodeLoad{{Target: "a", Calls: 3}}, nil)
	assert.Equal(t, peek().Queue, time.Duration(0), "there is a free slot")
	table.Merge(t0, "n2", []NodeLoad{{Target: "a", Calls: 4, Unread: countsByPriority{1000, 0, 1000}}}, nil)
	assert.Equal(t, peek().Queue, initialPerThousand+initialSlotTime/4)
}

// A slow target reads the request's own prompt more slowly too, which is no queue.
func TestPaceScalesOwnReadTime(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	x := table.targets["a"]
	n := Need{Service: "s", Prompt: Prompt{Tokens: 50_000}, ByPriority: true}
	usual, _ := table.Peek(t0, n)
	for i := range 200 {
		table.SetLoad(after(i), x, paced(1))
	}
	table.SetLoad(after(200), x, paced(2))
	slow, _ := table.Peek(after(200), n)
	pace := float64(slow.Expected) / float64(usual.Expected)
	assert.Assert(t, pace > 1.9, "%f", pace)
	assert.Assert(t, (slow.OwnReadTime-time.Duration(pace*float64(usual.OwnReadTime))).Abs() < time.Microsecond)
	n.ByPriority = false
	same, _ := table.Peek(after(200), n)
	assert.Equal(t, same.OwnReadTime, usual.OwnReadTime)
}

// The end of an answer of another region is estimated by its gap and the lengths of answers seen here.
func TestRestInAnotherRegion(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	n := Need{Service: "s", Prompt: Prompt{Tokens: 100}, Events: 100, ByPriority: true}
	assert.Equal(t, table.Rest(t0, n, 40*time.Millisecond), time.Duration(0))
	table.RecordEvents(t0, table.targets["a"], 1, 20*time.Millisecond)
	c, _ := table.Peek(t0, n)
	for range minRestSamples {
		table.RecordEnd(t0, c.Target, c, 0, time.Second, 0)
	}
	const ratio = 0.5
	rest := func(gap float64) time.Duration { return time.Duration(ratio * 100 * gap * float64(time.Millisecond)) }
	near := func(got, want time.Duration) {
		assert.Assert(t, (got-want).Abs() < time.Microsecond, "%s, want %s", got, want)
	}
	near(table.Rest(t0, n, 10*time.Millisecond), rest(10))
	near(table.Rest(t0, n, 0), rest(20))
	near(table.Rest(t0, n, 40*time.Millisecond), rest(20))
}
