package jwnode

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// linked is a system in which one region has the callers and another the
// targets, with links between all nodes.
func linked(t *testing.T) (s *system, near *running, r *jwstand.Runner) {
	s = newSystem(t, "east", "west")
	s.links = map[string]*jwstand.Link{}
	r, _ = s.runner("west")
	near = s.node("e1", "east")
	for _, name := range []string{"w1", "w2", "w3"} {
		s.node(name, "west")
	}
	s.edit(near, draft())
	s.settle(1)
	s.await("drafts are served away", func() bool {
		return s.send(near.CallersAddr(), "draft", "free-east", prompt("menu", 3, true), nil).outcome == "served"
	})
	return s, near, r
}

func (s *system) weather(w jwstand.Weather) {
	for name, l := range s.links {
		if strings.HasPrefix(name, "w") {
			l.SetWeather(w)
		}
	}
}

// A firewall between two regions loses track of the connections that are open:
// they go silent for good, while new ones work. A node that went on using them
// would leave its callers waiting until their deadlines, one after another.
// Held up one way only, cut, or with every segment late, the regions must find back
// as well once the link is mended.
func TestLinksBetweenNodes(t *testing.T) {
	t.Parallel()
	s, near, _ := linked(t)
	ask := func() reply {
		return s.send(near.CallersAddr(), "draft", "free-east", prompt("menu", 20, true), nil)
	}
	for range 20 {
		ask() // connections to all three
	}
	tests := map[string]struct {
		fault jwstand.Weather
		comes string // outcome that must come about while the fault lasts
	}{
		"silent":  {jwstand.Weather{Silent: true}, "served"},
		"one way": {jwstand.Weather{Hold: jwstand.Forward}, "notRun"},
		"cut":     {jwstand.Weather{Cut: true}, "notRun"},
		"late and odd": {jwstand.Weather{
			Delay: jwstand.Duration(50 * time.Millisecond), Jitter: jwstand.Duration(50 * time.Millisecond), Loss: 0.1,
		}, "served"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s.weather(tc.fault)
			var longest time.Duration
			outcomes := map[string]int{}
			s.await(tc.comes, func() bool {
				at := time.Now()
				r := ask()
				longest = max(longest, time.Since(at))
				outcomes[r.outcome]++
				assert.Check(t, r.outcome != "served" || strings.Contains(r.body, "event: done"), "%+v", r)
				return r.outcome == tc.comes
			})
			t.Logf("%v, longest wait %v", outcomes, longest)
			s.weather(jwstand.Weather{})
			s.await("served again", func() bool { return ask().outcome == "served" })
		})
	}
}
