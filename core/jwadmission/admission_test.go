package jwadmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A draft has a goal of 1 s, a deadline of 12 s and a prompt of 50,000 tokens, which
// takes 1.3 s to read. If the time to read its own prompt counted as queueing, it would be
// rejected, retried and rejected again: only a quarter of the longest tenth of the drafts
// would be served.
func TestDecide(t *testing.T) {
	draft := Request{Goal: 1000 * ms, TimeLeft: 12_000 * ms, HasPrompt: true}
	with := func(expected, own time.Duration) Request {
		r := draft
		r.Expected, r.OwnReadTime = expected, own
		return r
	}
	begun := with(9000*ms, 100*ms)
	begun.AlreadyAccepted = true
	plain := with(9000*ms, 0)
	plain.HasPrompt = false
	short := with(2500*ms, 2400*ms)
	short.TimeLeft = 2000 * ms
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
		"no goal, and time is left":      {Request{TimeLeft: time.Minute, Expected: 50 * time.Second, HasPrompt: true}, Policy{}, Decision{}},
		"no goal, and no time is left":   {Request{TimeLeft: time.Second, Expected: 50 * time.Second, HasPrompt: true}, Policy{}, Decision{Deadline, MaxRetryAfter}},
		"exactly the share of the queue": {with(1200*ms, 0), Policy{}, Decision{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, c.policy.Decide(c.request), c.want)
		})
	}
}

// A prompt of any size is accepted while its deadline can be met and the queue is one in
// which a short prompt would be accepted.
func TestPromptSizeAloneNeverRejects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * ms
		}
		queue, own := d("queue", 5000), d("own", 20_000)
		r := Request{Goal: d("goal", 3000) + 1, OwnReadTime: own, HasPrompt: true, Expected: queue + own}
		r.TimeLeft = r.Expected + d("left", 20_000)
		short := r
		short.OwnReadTime, short.Expected = 0, queue
		if (Policy{}).Decide(short).Accepted() && !(Policy{}).Decide(r).Accepted() {
			t.Fatalf("%+v is rejected, but accepted without the time to read its prompt", r)
		}
		// A request that can't be answered in time is rejected at once, with a Retry-After.
		r.TimeLeft = r.Expected - 1
		got := (Policy{}).Decide(r)
		if r.TimeLeft >= 0 && (got.Accepted() || got.RetryAfter < MinRetryAfter || got.RetryAfter > MaxRetryAfter) {
			t.Fatalf("%+v", got)
		}
	})
}
