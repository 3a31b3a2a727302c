package jwnode

import (
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwsettings"
	"jujubewheel/io/jwstand"
)

// A region is cut off from the whole platform: the key-value service, the host
// list and the directory. A node that starts during that time, with a peer from
// the settings, must serve like the others, or the region would lose a node with
// every restart.
func TestStartWithoutThePlatform(t *testing.T) {
	s := newSystem(t, "east")
	s.runner("east")
	desk, _ := s.service("east")
	first := s.node("e1", "east")
	s.edit(first, draft())
	s.edit(first, confirmation())
	s.awaitRevision(2)
	s.await("targets", func() bool { return len(first.board.Targets.Polled()) == 2 })

	for _, p := range s.platform {
		p.SetFaults(jwstand.Faults{Down: true})
	}
	s.seeds = []jwsettings.Seed{{Node: "e1", Address: first.NodesAddr()}}
	second := s.node("e2", "east")
	s.await("the new node serves", second.serving.Load)
	assert.Equal(t, second.board.Catalogue.Revision(), uint64(2))
	s.await("a draft is served", func() bool {
		return s.send(second.CallersAddr(), "draft", "free-east", prompt("menu", 5, true), nil).outcome == "served"
	})
	key, err := second.keeper.Mint()
	assert.NilError(t, err)
	r := s.send(second.CallersAddr(), "confirm", "bound-east", "{}", header{"Idempotency-Key": key})
	assert.Equal(t, r.outcome, "served", r.body)
	assert.Equal(t, len(desk.Journal.Runs()), 1)
	s.await("the old node knows that it serves", func() bool {
		p, known := first.board.Peers.Get("e2")
		return known && p.State == jwpeer.Serving
	})

	for _, p := range s.platform {
		p.SetFaults(jwstand.Faults{})
	}
	s.await("the new node is registered as a member", second.membership.Registered)
}
