package jwretry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// countingBudget counts what is taken from the budgets of all nodes.
type countingBudget struct {
	requests, taken int
	allows          func() bool
}

func (b *countingBudget) Request(time.Time, string) { b.requests++ }

func (b *countingBudget) Take(time.Time, string) bool {
	if !b.allows() {
		return false
	}
	b.taken++
	return true
}

func (b *countingBudget) Return(string, time.Time) { b.taken-- }

// simulation sends one request through several nodes.
type simulation struct {
	*rapid.T
	budget   *countingBudget
	arrivals int // at targets
	now      time.Time
}

// serve is what a node does with a request that it received with the given sends. It returns the
// sends that it reports.
func (s *simulation) serve(received Sends, forwarded bool) Sends {
	t := &Tracker{Budget: s.budget, Service: "s"}
	if forwarded {
		t.Receive(received)
	}
	defer t.Close()
	for range rapid.IntRange(1, 4).Draw(s.T, "sends") {
		s.now = s.now.Add(time.Millisecond)
		if !forwarded && rapid.Bool().Draw(s.T, "to a node") {
			s.forward(t)
		} else {
			s.send(t)
		}
		if !t.Decide(s.now, Request{NotRun: true, Repeatable: true, MaxAttempts: 4}).Allowed() {
			break
		}
	}
	return t.Sends()
}

func (s *simulation) send(t *Tracker) {
	t.Begin(s.now)
	if rapid.Bool().Draw(s.T, "timeout") {
		t.TakeEarly(s.now)
	}
	if rapid.Bool().Draw(s.T, "connected") {
		s.arrivals++
		t.Reached()
	}
}

func (s *simulation) forward(t *Tracker) {
	switch rapid.SampledFrom([]string{"answered", "answer lost", "request lost", "not connected"}).Draw(s.T, "forward") {
	case "answered":
		t.Merge(s.serve(t.Sends(), true))
	case "answer lost":
		s.serve(t.Sends(), true)
		t.Lost()
	case "request lost":
		t.Lost()
	}
}

// Whatever nodes a request passes through and whatever is lost on the way, each arrival at a target
// after its first one is taken from a budget, and the request is counted once at most.
func TestEachRetryIsTakenFromABudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{T: t, now: time.Unix(0, 0)}
		s.budget = &countingBudget{allows: func() bool { return rapid.Bool().Draw(t, "left") }}
		s.serve(Sends{}, false)
		if retries := max(s.arrivals-1, 0); retries > s.budget.taken {
			t.Fatalf("%d retries, %d taken", retries, s.budget.taken)
		}
		if s.budget.requests > 1 {
			t.Fatalf("counted %d times", s.budget.requests)
		}
	})
}

// A retry that was taken and not used goes back to the budget.
func TestUnusedRetryIsReturned(t *testing.T) {
	now := time.Unix(0, 0)
	again := Request{NotRun: true, Repeatable: true, MaxAttempts: 2}
	cases := map[string]struct {
		steps func(*Tracker)
		taken int
	}{
		"used": {func(t *Tracker) {
			t.Reached()
			t.Decide(now, again)
			t.Reached()
		}, 1},
		"not connected": {func(t *Tracker) {
			t.Reached()
			t.Decide(now, again)
		}, 0},
		"not connected, then used": {func(t *Tracker) {
			t.Reached()
			t.Decide(now, again)
			t.Decide(now, again)
			t.Reached()
		}, 1},
		"answered after the timeout": {func(t *Tracker) {
			t.TakeEarly(now)
			t.Reached()
		}, 0},
		"the other node did not send": {func(t *Tracker) {
			t.Reached()
			t.Decide(now, again)
			t.Merge(Sends{Reached: 1, Counted: true})
		}, 0},
		"the other node sent": {func(t *Tracker) {
			t.Reached()
			t.Decide(now, again)
			t.Merge(Sends{Reached: 3, Counted: true})
		}, 1},
		"the other node did not report": {func(t *Tracker) {
			t.Reached()
			t.Decide(now, again)
			t.Lost()
		}, 1},
		"taken by the forwarding node": {func(t *Tracker) {
			t.Receive(Sends{Reached: 1, Counted: true})
			t.Decide(now, again)
			t.Reached()
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := &countingBudget{allows: func() bool { return true }}
			tracker := &Tracker{Budget: b}
			c.steps(tracker)
			tracker.Close()
			assert.Equal(t, b.taken, c.taken)
		})
	}
}

func TestParseSends(t *testing.T) {
	for _, want := range []Sends{{}, {Reached: 3, Counted: true, MayHaveRun: 2}, {Counted: true}} {
		got, ok := ParseSends(want.String())
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
	}
	for _, text := range []string{"", "1", "1,true", "-1,true,0", "1,yes,0", "x,true,0", "1,true,-1", "1,true,x", "1,true,2,3"} {
		_, ok := ParseSends(text)
		assert.Assert(t, !ok, text)
	}
}
