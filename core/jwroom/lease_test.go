package jwroom

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func TestPart(t *testing.T) {
	room := Room{Slots: 30, Queue: 10, Memory: 4000}
	cases := map[string]struct {
		view     View
		fraction float64
		want     Use
	}{
		"alone":                                {View{Nodes: 1, Rounds: 2}, 0, Use{40, 4000}},
		"free room is divided over the nodes":  {View{Nodes: 4, Rounds: 1}, 0, Use{10, 1000}},
		"and over the rounds":                  {View{Nodes: 4, Rounds: 2}, 0, Use{5, 500}},
		"own calls stay":                       {View{Own: Use{8, 800}, Others: Use{16, 1600}, Nodes: 4, Rounds: 1}, 0, Use{12, 1200}},
		"no room":                              {View{Own: Use{8, 800}, Others: Use{40, 4000}, Nodes: 4}, 0.9, Use{8, 800}},
		"parts of a call are rounded down":     {View{Others: Use{37, 0}, Nodes: 4, Rounds: 2, Own: Use{1, 0}}, 0.5, Use{1, 500}},
		"or up, by chance":                     {View{Others: Use{37, 0}, Nodes: 4, Rounds: 2, Own: Use{1, 0}}, 0.9, Use{2, 500}},
		"many nodes get calls by chance":       {View{Others: Use{39, 3999}, Nodes: 9, Rounds: 2}, 0.9, Use{0, 0}},
		"as many as there is room for":         {View{Others: Use{39, 3999}, Nodes: 9, Rounds: 2}, 0.95, Use{1, 0}},
		"nodes that report nothing keep parts": {View{Others: Use{10, 1000}, Nodes: 4, Missing: 2, Rounds: 1}, 0, Use{5, 500}},
		"or what they reported, if it is more": {View{Others: Use{30, 3000}, Silent: Use{26, 2600}, Nodes: 4, Missing: 2, Rounds: 1}, 0, Use{5, 500}},
		"not both":                             {View{Others: Use{30, 3000}, Silent: Use{10, 1000}, Nodes: 4, Missing: 2, Rounds: 1}, 0, Use{0, 0}},
		"cut off from all others":              {View{Nodes: 4, Missing: 3, Rounds: 2}, 0, Use{10, 1000}},
		"more missing than there are":          {View{Nodes: 4, Missing: 9, Rounds: 2}, 0, Use{10, 1000}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l Lease
			l.Renew(start, room, c.view, c.fraction)
			assert.DeepEqual(t, l.part, c.want)
		})
	}
}

func TestRenewal(t *testing.T) {
	room := Room{Slots: 40}
	var l Lease
	v := View{Nodes: 2, Rounds: 2}
	l.Renew(start, room, v, 0)
	assert.Equal(t, l.part.Calls, 10)
	v.Own.Calls = 10
	cases := []struct {
		name     string
		at       time.Duration
		reported time.Duration
		want     int
	}{
		{"no newer report", 200 * ms, -10 * ms, 10},
		{"too early", 99 * ms, 50 * ms, 10},
		{"a newer report", 210 * ms, 150 * ms, 10 + 30/4},
		{"no report since", 700 * ms, 150 * ms, 10 + 30/4},
		{"run out", 711 * ms, 150 * ms, 10 + 30/4},
		{"the clock was set back", -time.Hour, 150 * ms, 10 + 30/4},
		{"and runs on", -time.Hour + 100*ms, 150 * ms, 10 + 30/4},
	}
	for _, c := range cases {
		v.ReportedAt = start.Add(c.reported)
		l.Renew(start.Add(c.at), room, v, 0)
		assert.Equal(t, l.part.Calls, c.want, c.name)
	}
	assert.Equal(t, l.Age(start.Add(101*ms-time.Hour)), ms)
}

// A long prompt may be larger than the part, and would never run.
func TestLongPromptNeedsOnlySomeMemory(t *testing.T) {
	var l Lease
	l.Renew(start, Room{Slots: 8, Memory: 1000}, View{Nodes: 4, Rounds: 2}, 0)
	others := Use{7, 900}
	assert.Assert(t, l.Allows(Use{0, 0}, others) && l.Allows(Use{0, 124}, others))
	assert.Assert(t, !l.Allows(Use{0, 125}, others) && !l.Allows(Use{9, 0}, others))
	l = Lease{}
	l.Renew(start, Room{Slots: 8}, View{Nodes: 1}, 0)
	assert.Assert(t, l.Allows(Use{7, 1 << 30}, Use{}))
}

// The room of a target that is little used is not divided over many nodes, most of which don't send
// there now.
func TestLittleUsedTarget(t *testing.T) {
	room := Room{Slots: 8, Queue: 2, Memory: 1000}
	cases := map[string]struct {
		view View
		own  Use
		want bool
	}{
		"half used by others":        {View{Others: Use{5, 500}}, Use{}, true},
		"and by this node":           {View{Others: Use{5, 500}}, Use{1, 100}, true},
		"from 70% on it is divided":  {View{Others: Use{5, 500}}, Use{2, 100}, false},
		"so is the memory":           {View{Others: Use{1, 700}}, Use{}, false},
		"missing nodes may use some": {View{Others: Use{5, 500}, Missing: 20}, Use{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.view.Nodes, c.view.Rounds = 80, 4
			var l Lease
			l.Renew(start, room, c.view, 0)
			assert.Equal(t, l.Allows(c.own, c.view.Others), c.want)
		})
	}
}

// Through relays reports come seldom; a part must not run out before the next one.
func TestLeaseTime(t *testing.T) {
	assert.Equal(t, LeaseTimeFor(100*ms), LeaseTime)
	assert.Equal(t, LeaseTimeFor(468*ms), 1170*ms)
	var l Lease
	l.Renew(start, Room{Slots: 8}, View{Nodes: 2, LeaseTime: 1170 * ms}, 0)
	assert.Assert(t, !l.Due(start.Add(1169*ms), start) && l.Due(start.Add(1170*ms), start))
}
