package jwnode

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// linked starts a system in which callers use one region and the targets are in
// another, with a link in front of each node.
func linked(t *testing.T) (s *system, near *runningNode, r *jwstand.Runner) {
	s = newSystem(t, "east", "west")
	s.links = map[string]*jwstand.Link{}
	r, _ = s.runner("west")
	near = s.node("e1", "east")
	for _, name := range []string{"w1", "w2", "w3"} {
		s.node(name, "west")
	}
	s.edit(near, draft())
	s.awaitRevision(1)
	s.await("drafts are served in west", func() bool {
		return s.send(near.CallersAddr(), "draft", "free-east", prompt("menu", 3, true), nil).outcome == "served"
	})
	return s, near, r
}

// bytesFromWest returns the number of bytes that the nodes of west have sent back
// over their links.
func (s *system) bytesFromWest() (n uint64) {
	for name, l := range s.links {
		if strings.HasPrefix(name, "w") {
			n += l.Passed(jwstand.Back)
		}
	}
	return n
}

// setLinkFaults sets the faults of the links to the nodes of west.
func (s *system) setLinkFaults(w jwstand.Conditions) {
	for name, l := range s.links {
		if strings.HasPrefix(name, "w") {
			l.SetConditions(w)
		}
	}
}

// A firewall between two regions drops its state: open connections lose every
// byte, while new ones work. If a node kept using the old ones, one caller
// after another would wait until its deadline. The regions must also recover
// after a link that was blocked in one direction, lost, or slow and lossy.
func TestLinksBetweenNodes(t *testing.T) {
	t.Parallel()
	s, near, _ := linked(t)
	sendDraft := func() reply {
		return s.send(near.CallersAddr(), "draft", "free-east", prompt("menu", 20, true), nil)
	}
	for range 20 {
		sendDraft() // connections to all three
	}
	tests := map[string]struct {
		fault       jwstand.Conditions
		wantOutcome string // outcome that must occur while the fault lasts
	}{
		"silent":  {jwstand.Conditions{Silent: true}, "served"},
		"one way": {jwstand.Conditions{Hold: jwstand.Forward}, "notRun"},
		"cut":     {jwstand.Conditions{Cut: true}, "notRun"},
		"slow and lossy": {jwstand.Conditions{
			Delay: jwstand.Duration(50 * time.Millisecond), Jitter: jwstand.Duration(50 * time.Millisecond), Loss: 0.1,
		}, "served"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s.setLinkFaults(tc.fault)
			var longest time.Duration
			outcomes := map[string]int{}
			s.await(tc.wantOutcome, func() bool {
				start := time.Now()
				r := sendDraft()
				longest = max(longest, time.Since(start))
				outcomes[r.outcome]++
				assert.Check(t, r.outcome != "served" || strings.Contains(r.body, "event: done"), "%+v", r)
				return r.outcome == tc.wantOutcome
			})
			t.Logf("%v, longest wait %v", outcomes, longest)
			s.setLinkFaults(jwstand.Conditions{})
			s.await("served again", func() bool { return sendDraft().outcome == "served" })
		})
	}
}

// The link between two regions is lost while streams pass over it. Each caller has
// part of its answer by then, and must not see a regular end, which would make
// that part look like the complete answer.
func TestStreamCutBetweenNodes(t *testing.T) {
	t.Parallel()
	s, near, r := linked(t)
	r.Engine.Token = 5 * time.Millisecond
	answers := make(chan reply, 4)
	before := len(r.Journal.Runs())
	for i := range cap(answers) {
		go func() {
			answers <- s.send(near.CallersAddr(), "draft", "free-east", prompt(strings.Repeat("x", i+1), 200, true), nil)
		}()
	}
	s.await("streams pass", func() bool { return len(r.Journal.Runs()) >= before+cap(answers) })
	bytesBefore := s.bytesFromWest()
	s.await("part of the streams has passed", func() bool { return s.bytesFromWest() > bytesBefore+8<<10 })
	s.setLinkFaults(jwstand.Conditions{Cut: true})
	for range cap(answers) {
		a := <-answers
		assert.Check(t, !strings.Contains(a.body, "event: done"), "%+v", a)
		assert.Check(t, a.outcome != "served", "%+v", a)
		if a.status != http.StatusOK {
			continue // it had not begun
		}
		assert.Check(t, strings.Contains(a.body, `event: error`) && strings.Contains(a.body, `"outcome":"unknown"`), "%+v", a)
		assert.Check(t, a.err != nil, "the answer ended as if it were complete")
	}
}
