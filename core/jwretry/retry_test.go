package jwretry

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A request that must run once and may have run is never sent again, whatever is left of
// the budget. A repeatable request is sent again as often as its entry allows.
func TestDecide(t *testing.T) {
	lookup := Request{Repeatable: true, MaxAttempts: 2}
	with := func(change func(*Request)) Request {
		r := lookup
		change(&r)
		return r
	}
	cases := map[string]struct {
		request Request
		budget  bool
		want    Reason
	}{
		"failed once":                {with(func(r *Request) { r.Attempts, r.Sends = 1, 1 }), true, RetryTaken},
		"failed once, nothing left":  {with(func(r *Request) { r.Attempts, r.Sends = 1, 1 }), false, NoBudget},
		"failed twice":               {with(func(r *Request) { r.Attempts, r.Sends = 2, 2 }), true, AttemptsExhausted},
		"not run":                    {with(func(r *Request) { r.NotRun, r.Sends = true, 1 }), true, RetryTaken},
		"not run, no target reached": {with(func(r *Request) { r.NotRun = true }), false, FirstSend},
		"not run, runs once":         {Request{NotRun: true, Sends: 1}, true, RetryTaken},
		"may have run, runs once":    {Request{Attempts: 1, Sends: 1, MaxAttempts: 1}, true, MayHaveRun},
		"budget taken before":        {with(func(r *Request) { r.Attempts, r.Sends, r.BudgetTaken = 1, 1, true }), false, BudgetTaken},
		"its body is gone":           {with(func(r *Request) { r.NotRun, r.BodyStreamed = true, true }), true, BodyConsumed},
		"rejected everywhere":        {with(func(r *Request) { r.NotRun, r.Permanent = true, true }), true, SameOutcome},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Decide(c.request, func() bool { return c.budget }), c.want)
		})
	}
}

// Whatever happened before, a request that must run once isn't sent after it may have
// run, and a retry is taken from the budget only for a send that follows.
func TestNonRepeatableNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			Permanent: rapid.Bool().Draw(t, "final"), BodyStreamed: rapid.Bool().Draw(t, "streamed"),
			NotRun: rapid.Bool().Draw(t, "notRun"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Attempts: rapid.IntRange(0, 3).Draw(t, "attempts"), MaxAttempts: rapid.IntRange(0, 3).Draw(t, "most"),
			Sends: rapid.IntRange(0, 3).Draw(t, "sends"), BudgetTaken: rapid.Bool().Draw(t, "paid"),
		}
		taken := 0
		got := Decide(r, func() bool { taken++; return true })
		if !r.NotRun && !r.Repeatable && got.Allowed() {
			t.Fatalf("%+v is sent again: %s", r, got)
		}
		if (taken == 1) != (got == RetryTaken) || taken > 1 {
			t.Fatalf("%+v took %d from the budget: %s", r, taken, got)
		}
	})
}
