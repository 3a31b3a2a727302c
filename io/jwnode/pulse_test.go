package jwnode

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwforward"
)

// A process is frozen for a while and wakes unaware. A short pause must not
// matter, and after a long one nothing may be served until the node has joined
// anew, or callers are served by entries that are no longer in force.
func TestPulse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pulse{limit: 10 * time.Second}
		assert.Assert(t, !p.alive(), "before it was begun")
		p.begin()
		time.Sleep(9 * time.Second)
		assert.Assert(t, p.alive())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !p.alive())
		assert.ErrorIs(t, p.run(t.Context()), errPaused)
		assert.Assert(t, !p.alive(), "a dead pulse stays dead")
		p.begin()
		assert.Assert(t, p.alive())
	})
}

// The wall clock went on while the host was suspended, and the other one stood
// still.
func TestGapTakesTheClockThatWentFurther(t *testing.T) {
	from := time.Now()
	suspended := from.Round(0).Add(time.Hour)
	assert.Equal(t, gap(from, suspended), time.Hour)
	assert.Equal(t, gap(from, from.Add(time.Second)), time.Second)
}

// Another node passes a request on to one that does not serve yet, or that was
// frozen. It must be told that nothing ran, so that it can ask a third.
func TestForwardToNodeThatDoesNotServe(t *testing.T) {
	s := newSystem(t, "east")
	s.runner("east")
	n := s.node("e1", "east")
	s.edit(n, draft())
	s.settle(1)
	n.serving.Store(false)
	_, err := (&jwforward.Pool{}).Forward(t.Context(), n.board.Peers.Self(), &jwrequest.Request{
		ID: "r", Workspace: "free-east", Entry: "draft", Body: []byte(prompt("menu", 3, false)),
		Deadline: time.Now().Add(testPatience), Hops: jwrequest.Hops{{Node: "w1", Region: "west", DataCentre: "west-1"}},
	}, jwdispatch.ForwardRegion)
	var failed *jwdispatch.CallError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, failed.Fate, jwdispatch.Refused)
}
