package jwnode

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwforward"
)

// A node forwards a request to one that does not serve yet, or that was paused.
// The answer must state that nothing ran, so that the first node can try a third.
func TestForwardToNodeThatDoesNotServe(t *testing.T) {
	s := newSystem(t, "east")
	s.runner("east")
	n := s.node("e1", "east")
	s.edit(n, draft())
	s.awaitRevision(1)
	n.serving.Store(false)
	_, err := (&jwforward.Pool{}).Forward(t.Context(), n.board.Peers.Self(), &jwrequest.Request{
		ID: "r", Workspace: "free-east", Entry: "draft", Body: []byte(prompt("menu", 3, false)),
		Deadline: time.Now().Add(testTimeout), Hops: jwrequest.Hops{{Node: "w1", Region: "west", DataCentre: "west-1"}},
	}, jwdispatch.ForwardRegion)
	var failed *jwdispatch.CallError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, failed.Kind, jwdispatch.Refused)
}
