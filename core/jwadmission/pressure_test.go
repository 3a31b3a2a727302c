package jwadmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

// Two kinds of requests wait in the same queue. By a limit from each one's own goal alone, the kind
// with the shorter goal was rejected first although it was the more urgent one.
func TestLessUrgentRequestsAreRejectedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(1, limit).Draw(t, name)) * ms
		}
		queue, urgentGoal, otherGoal := d("queue", 5000), d("urgent goal", 3000), d("other goal", 3000)
		var p Pressure
		for range 100 {
			p.Observe(t0, "s", 0, queue, urgentGoal)
		}
		decide := func(rank int, goal time.Duration) Decision {
			return Policy{}.Decide(Request{
				Goal: goal, TimeLeft: time.Minute, Expected: queue, HasPrompt: true,
				Overload: &Overload{Queue: queue, Pressure: p.Of(t0, "s", rank)},
			})
		}
		if !decide(0, urgentGoal).Accepted() && decide(1, otherGoal).Accepted() {
			t.Fatalf("the urgent request is rejected, the other one accepted")
		}
	})
}

// A request that ends after its deadline, or whose caller is gone before its first event, uses up
// capacity for nothing.
func TestDecideUnderOverload(t *testing.T) {
	with := func(o Overload) Request {
		o.Queue = 300 * ms
		return Request{Goal: 500 * ms, TimeLeft: 5000 * ms, Expected: 400 * ms, OwnReadTime: 100 * ms, HasPrompt: true, Overload: &o}
	}
	begun := with(Overload{Rest: time.Minute})
	begun.AlreadyAccepted = true
	idle := with(Overload{Pressure: 2})
	idle.Overload.Queue = 0
	slow := idle
	slow.Expected = 800 * ms
	cases := map[string]struct {
		request Request
		policy  Policy
		want    Decision
	}{
		"in time":                         {with(Overload{Rest: 4000 * ms, Patience: 2000 * ms}), Policy{}, Decision{}},
		"the end is late":                 {with(Overload{Rest: 4700 * ms}), Policy{}, Decision{Deadline, MinRetryAfter}},
		"the caller will be gone":         {with(Overload{Patience: 399 * ms}), Policy{}, Decision{Deadline, MinRetryAfter}},
		"more urgent ones wait a little":  {with(Overload{Pressure: 0.2}), Policy{}, Decision{}},
		"more urgent ones wait long":      {with(Overload{Pressure: 0.6}), Policy{}, Decision{Queue, MinRetryAfter}},
		"more urgent ones wait very long": {with(Overload{Pressure: 2}), Policy{}, Decision{Queue, MinRetryAfter}},
		"the queue is left out":           {with(Overload{Pressure: 2}), Policy{IgnoreQueue: true}, Decision{}},
		"the deadline is left out":        {with(Overload{Rest: 4700 * ms}), Policy{IgnoreDeadline: true}, Decision{}},
		"no queue, and more urgent wait":  {idle, Policy{}, Decision{}},
		"no queue, but a long wait":       {slow, Policy{}, Decision{Queue, 450 * ms}},
		"sent before":                     {begun, Policy{}, Decision{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, c.policy.Decide(c.request), c.want)
		})
	}
}

// Without further urgent requests the others must not stay rejected.
func TestPressureDecays(t *testing.T) {
	var p Pressure
	assert.Equal(t, p.Of(t0, "s", 3), 0.0)
	for range 100 {
		p.Observe(t0, "s", 1, 900*ms, 300*ms)
	}
	p.Observe(t0, "s", 2, time.Second, 0) // without a goal
	assert.Equal(t, p.Of(t0, "s", 1), 0.0, "requests of the same rank don't count")
	assert.Equal(t, p.Of(t0, "other", 2), 0.0)
	assert.Assert(t, p.Of(t0, "s", 2) > 1.9 && p.Of(t0, "s", 2) <= maxPressureSample)
	assert.Assert(t, p.Of(t0.Add(5*time.Second), "s", 2) < 0.001)
	assert.Assert(t, p.Of(t0.Add(-time.Hour), "s", 2) <= maxPressureSample, "the clock was set back")
	p.Observe(t0, "s", 99, time.Second, time.Second) // a rank of another version
	p.Observe(t0, "s", -1, time.Second, time.Second)
	assert.Assert(t, p.Of(t0, "s", 99) > 0)
}
