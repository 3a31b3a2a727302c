package jwadmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A draft has a goal of one second and a deadline of twelve, and reading its 50,000
// tokens takes 1.3 s. It was rejected as late, came back and was rejected
// again: of the longest tenth of the drafts a quarter was served.
func TestDecide(t *testing.T) {
	draft := Request{Goal: 1000 * ms, Left: 12_000 * ms, Engine: true}
	with := func(expected, own time.Duration) Request {
		r := draft
		r.Expected, r.Own = expected, own
		return r
	}
	begun := with(9000*ms, 100*ms)
	begun.Begun = true
	plain := with(9000*ms, 0)
	plain.Engine = false
	short := with(2500*ms, 2400*ms)
	short.Left = 2000 * ms
	cases := map[string]struct {
		request Request
		policy  Policy
		want    Decision
	}{
		"in time":                        {with(300*ms, 200*ms), Policy{}, Decision{}},
		"long by itself":                 {with(1400*ms, 1300*ms), Policy{}, Decision{}},
		"long, with a queue":             {with(2400*ms, 1300*ms), Policy{}, Decision{}},
		"short, with a long queue":       {with(1500*ms, 100*ms), Policy{}, Decision{Queue, 900 * ms}},
		"long, with a long queue":        {with(2700*ms, 1300*ms), Policy{}, Decision{Queue, 900 * ms}},
		"can't meet its deadline":        {short, Policy{}, Decision{Deadline, MinRetryAfter}},
		"a very long queue":              {with(11_000*ms, 100*ms), Policy{}, Decision{Queue, MaxRetryAfter}},
		"sent before":                    {begun, Policy{}, Decision{}},
		"plain":                          {plain, Policy{}, Decision{}},
		"the queue is left out":          {with(1500*ms, 100*ms), Policy{IgnoreQueue: true}, Decision{}},
		"the deadline is left out":       {short, Policy{IgnoreDeadline: true}, Decision{}},
		"no goal, and time is left":      {Request{Left: time.Minute, Expected: 50 * time.Second, Engine: true}, Policy{}, Decision{}},
		"no goal, and no time is left":   {Request{Left: time.Second, Expected: 50 * time.Second, Engine: true}, Policy{}, Decision{Deadline, MaxRetryAfter}},
		"exactly the share of the queue": {with(1200*ms, 0), Policy{}, Decision{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, c.policy.Decide(c.request), c.want)
		})
	}
}

// No size of prompt is rejected while its deadline can be met and the queue is
// one that a short prompt would be taken in.
func TestPromptSizeAloneNeverRejects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * ms
		}
		queue, own := d("queue", 5000), d("own", 20_000)
		r := Request{Goal: d("goal", 3000) + 1, Own: own, Engine: true, Expected: queue + own}
		r.Left = r.Expected + d("left", 20_000)
		short := r
		short.Own, short.Expected = 0, queue
		if (Policy{}).Decide(short).Taken() && !(Policy{}).Decide(r).Taken() {
			t.Fatalf("%+v is rejected, without its own length it is taken", r)
		}
		// What can't be answered in time is rejected at once, with when to retry.
		r.Left = r.Expected - 1
		got := (Policy{}).Decide(r)
		if r.Left >= 0 && (got.Taken() || got.RetryAfter < MinRetryAfter || got.RetryAfter > MaxRetryAfter) {
			t.Fatalf("%+v", got)
		}
	})
}
