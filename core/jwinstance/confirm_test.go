package jwinstance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A target that was unreachable comes back, and either has restarted, so that the load of a warm one
// would crash it, or has not, so that it would stand idle.
func TestTargetThatWasUnreachable(t *testing.T) {
	const warmup = 3000
	unreached := func(refused bool) func(*Table, *Target) {
		return func(t *Table, x *Target) { t.MayHaveRestarted(after(0), x, refused) }
	}
	cases := map[string]struct {
		do       func(*Table, *Target)
		at       int
		cold     bool
		reported bool // to other nodes
	}{
		"it refused a connection": {unreached(true), 1, true, true},
		"it did not respond":      {unreached(false), 1, true, false},
		"not asked for long":      {unreached(true), 10 * warmup, true, false},
		"an earlier incarnation did": {func(t *Table, x *Target) {
			later := instance("a")
			later.StartedAt = 7
			t.Put(after(0), later)
			t.MayHaveRestarted(after(1), x, true)
		}, warmup, false, false},
		"it closed its connections": {func(t *Table, x *Target) { t.Disconnected(after(0), x) }, 0, true, false},
		"it closed them, and answers without saying": {func(t *Table, x *Target) {
			t.Disconnected(after(0), x)
			t.Answers(after(10), x)
			t.Answers(after(10+1000), x)
		}, 1010, false, false},
		"it closed them, is warm, and closes others at once": {func(t *Table, x *Target) {
			t.Disconnected(after(0), x)
			t.Confirmed(after(10), x, 0)
			t.Disconnected(after(10+999), x)
		}, 1009, false, false},
		"it closes others later": {func(t *Table, x *Target) {
			t.Disconnected(after(0), x)
			t.Confirmed(after(10), x, 0)
			t.Disconnected(after(10+1000), x)
		}, 1010, true, false},
		"it closed them, and refuses a connection then": {func(t *Table, x *Target) {
			t.Disconnected(after(0), x)
			t.Answers(after(10), x)
			t.MayHaveRestarted(after(20), x, true)
			t.Answers(after(1000), x)
			t.Answers(after(2100), x)
		}, 2100, true, true},
		"it says that it is cold": {func(t *Table, x *Target) {
			t.MayHaveRestarted(after(0), x, false)
			t.Confirmed(after(1000), x, 2*time.Second)
		}, 2999, true, true},
		"it is warm then": {func(t *Table, x *Target) {
			t.MayHaveRestarted(after(0), x, false)
			t.Confirmed(after(1000), x, 2*time.Second)
		}, 3000, false, false},
		"it says that it is warm": {func(t *Table, x *Target) {
			t.MayHaveRestarted(after(0), x, true)
			t.Confirmed(after(1000), x, 0)
		}, 1001, false, false},
		"another node still reports the refusal": {func(t *Table, x *Target) {
			t.MayHaveRestarted(after(0), x, true)
			t.Confirmed(after(1000), x, 0)
			t.MergeCold(after(1100), map[string]int64{"a": 1900})
		}, 1101, false, false},
		"another node reports a later one": {func(t *Table, x *Target) {
			t.MayHaveRestarted(after(0), x, true)
			t.Confirmed(after(1000), x, 0)
			t.MergeCold(after(1100), map[string]int64{"a": 2900})
		}, 1101, true, true},
		"it answers without saying": {func(t *Table, x *Target) {
			t.MayHaveRestarted(after(0), x, false)
			t.Answers(after(1000), x)
			t.Answers(after(1000+warmup-1), x)
		}, 1000 + warmup, true, false},
		"it answers so for as long as it can be cold": {func(t *Table, x *Target) {
			t.MayHaveRestarted(after(0), x, false)
			t.Answers(after(1000), x)
			t.Answers(after(1000+warmup), x)
		}, 1000 + warmup, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Region: "r", Warmup: func(string) (time.Duration, float64) { return warmup * time.Millisecond, 2 }}
			table.ColdRate = func(string, string) float64 { return 0 }
			table.Put(t0, instance("a"))
			c.do(table, table.targets["a"])
			assert.Equal(t, bestTargetID(table, after(c.at), Need{}) == "", c.cold)
			assert.Equal(t, len(table.ReportCold(after(c.at))) > 0, c.reported)
		})
	}
}

// A target that stays unreachable is asked less and less often, and not at all once it is gone.
func TestUnconfirmedTargetsAreAskedRarely(t *testing.T) {
	table := &Table{Region: "r", Warmup: func(string) (time.Duration, float64) { return time.Second, 2 }}
	table.Put(t0, instance("a"))
	x := table.targets["a"]
	assert.Assert(t, table.MayHaveRestarted(t0, x, true))
	assert.Assert(t, !table.MayHaveRestarted(after(10), x, true))
	var asked []int
	for ms := 0; ms < 5000; ms += 50 {
		list, more := table.Unconfirmed(after(ms))
		assert.Assert(t, more)
		if len(list) > 0 {
			asked = append(asked, ms)
		}
	}
	assert.DeepEqual(t, asked, []int{250, 750, 1750, 2750, 3750, 4750})
	table.Remove(after(5000), "a", 1)
	list, more := table.Unconfirmed(after(9000))
	assert.Equal(t, len(list), 0)
	assert.Assert(t, !more)
}

// Another target has registered at the address of one that refused connections. Asking it would only
// burden the new one, which is cold.
func TestReplacedTargetIsNotAsked(t *testing.T) {
	table := &Table{Region: "r", Warmup: func(string) (time.Duration, float64) { return time.Second, 2 }}
	table.Put(t0, instance("a"))
	table.MayHaveRestarted(t0, table.targets["a"], true)
	next := instance("b")
	next.Address, next.Revision = table.targets["a"].Address, 1
	table.Put(after(100), next)
	list, more := table.Unconfirmed(after(300))
	assert.Equal(t, len(list), 0)
	assert.Assert(t, !more)
	assert.Equal(t, bestTargetID(table, after(300), Need{}), "b")
}

// A target has just refused a request, as it had no capacity left. That it is found to be warm must not
// bring the next request there at once.
func TestConfirmedTargetStaysLeftAlone(t *testing.T) {
	table := &Table{Region: "r", Warmup: func(string) (time.Duration, float64) { return time.Second, 2 }}
	table.Put(t0, instance("a"))
	x := table.targets["a"]
	table.Disconnected(t0, x)
	table.Refused(after(1), x)
	table.Confirmed(after(2), x, 0)
	assert.Equal(t, bestTargetID(table, after(3), Need{}), "")
	assert.Equal(t, bestTargetID(table, after(200), Need{}), "a")
}
