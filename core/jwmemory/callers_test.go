package jwmemory

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// What unfinished requests hold must not exceed the budget, whoever comes, grows and leaves in whatever order, and
// requests that came completely stay.
func TestCallersStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Callers{Budget: rapid.Int64Range(1, 1000).Draw(t, "budget"), MaxConns: rapid.IntRange(1, 10).Draw(t, "conns")}
		now := time.Unix(0, 0)
		var open []*Caller
		given := map[*Caller]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				x, r, released := c.Open(now, rapid.Int64Range(0, 300).Draw(t, "bytes"), nil)
				if (x != nil) != (r == Granted) || (released != nil) != (r == Freeing) {
					t.Fatalf("%s: connection %v, release %v", r, x != nil, released != nil)
				}
				if x != nil {
					x.giveUp = func() { given[x] = true }
					open = append(open, x)
				}
			},
			"set": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				now = now.Add(time.Second)
				x := rapid.SampledFrom(open).Draw(t, "which")
				p := rapid.SampledFrom([]Phase{Idle, Receiving, Serving, Writing}).Draw(t, "phase")
				if r, _ := x.Set(now, p, rapid.Int64Range(0, 300).Draw(t, "bytes")); r == Granted && given[x] {
					t.Fatal("granted to a connection that was given up")
				}
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[i].Close()
				open = slices.Delete(open, i, i+1)
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, x := range open {
					sum += x.bytes
				}
				bytes, conns := c.Held()
				if bytes != sum || conns != len(open) || bytes > c.Budget || conns > c.MaxConns {
					t.Fatalf("%d bytes in %d connections, want %d in %d, allowed %d in %d", bytes, conns, sum, len(open), c.Budget, c.MaxConns)
				}
			},
		})
	})
}

func TestWhichCallerIsGivenUp(t *testing.T) {
	type conn struct {
		phase Phase
		age   time.Duration
	}
	cases := map[string]struct {
		conns []conn
		want  int // -1 for none
	}{
		"none":                           {nil, -1},
		"an incomplete request":          {[]conn{{Serving, 9}, {Idle, 9}, {Receiving, 1}}, 2},
		"the one incomplete for longest": {[]conn{{Receiving, 1}, {Receiving, 3}, {Receiving, 2}}, 1},
		"an answer that isn't read":      {[]conn{{Receiving, 1}, {Writing, 2}}, 1},
		"the one idle for longest":       {[]conn{{Idle, 1}, {Idle, 2}, {Serving, 9}}, 1},
		"not one that is served":         {[]conn{{Serving, 9}}, -1},
		"not one that has just begun":    {[]conn{{Receiving, 0}, {Writing, 0}}, -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			callers, now, got := Callers{MaxConns: len(c.conns)}, time.Unix(1000, 0), -1
			for i, x := range c.conns {
				opened, _, _ := callers.Open(now, 0, func() { got = i })
				opened.phase, opened.since = x.phase, now.Add(-x.age*MinStuck)
			}
			callers.reserve(now, nil, 0, min(1, len(c.conns)))
			assert.Equal(t, got, c.want)
		})
	}
}

// A connection that was given up still holds memory until it is closed.
func TestRoomIsFreeOnceClosed(t *testing.T) {
	c := Callers{Budget: 10}
	now := time.Unix(0, 0)
	gaveUp := false
	first, _, _ := c.Open(now, 8, func() { gaveUp = true })
	_, r, released := c.Open(now, 8, func() {})
	assert.Equal(t, r, Freeing)
	assert.Assert(t, gaveUp)
	first.Close()
	<-released
	_, r, _ = c.Open(now, 8, func() {})
	assert.Equal(t, r, Granted)
}
