package jwcatalogue

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwpeer"
)

// northNodes returns the two nodes of the region north, the gatherer first.
func (s *system) northNodes() (gatherer, other *node) {
	s.runRound()
	gatherer, other = s.nodes["n0"], s.nodes["n1"]
	if GathererOf(gatherer.Peers(), "north") == "n1" {
		gatherer, other = other, gatherer
	}
	return gatherer, other
}

func (s *system) putEdit(t *testing.T, n *node) uint64 {
	t.Helper()
	s.edits++
	d := &Editor{Store: nodeStore{s.store, n}, Table: n.table, RetryDelay: 1}
	res, err := d.Put(t.Context(), newEdit(fmt.Sprintf("e%d", s.edits), "status", n.table.Current().Revisions["status"]))
	assert.NilError(t, err)
	return res.Revision
}

func (s *system) acceptanceStatus(t *testing.T, n *node, revision uint64) Status {
	t.Helper()
	status, err := n.acceptance.Check(t.Context(), revision)
	assert.NilError(t, err)
	return status
}

func (s *system) gatherStep(t *testing.T, n *node) {
	t.Helper()
	s.now = s.now.Add(DefaultGatherPeriod)
	assert.NilError(t, n.gatherer.Step(t.Context(), s.now))
}

func TestAcceptedOnceAppliedEverywhere(t *testing.T) {
	s := newSystem(nil, t)
	g, other := s.northNodes()
	n := s.putEdit(t, g)
	other.frozen = true
	s.runRound()
	assert.DeepEqual(t, s.acceptanceStatus(t, g, n), Status{Revision: n, Missing: []Missing{{Region: "north", Names: []string{other.peer.Name}}}})
	other.frozen = false
	s.runRound()
	assert.Assert(t, s.acceptanceStatus(t, g, n).Accepted)
}

func TestNodeJoinsWhileMembersAreRead(t *testing.T) {
	// A node registers, reads the log and serves just after the gatherer has
	// read the members. Then a change is made. If the gatherer confirmed that
	// change, it would be accepted although the new node does not have it.
	s := newSystem(nil, t)
	g, other := s.northNodes()
	n := s.putEdit(t, other)
	assert.NilError(t, g.membership.Follower.CatchUp(t.Context()))
	s.store.afterList = func() {
		s.store.afterList = nil
		s.start("n2")
		n = s.putEdit(t, other)
		assert.NilError(t, g.membership.Follower.CatchUp(t.Context()))
		g.mergePeers([]jwpeer.Peer{other.self()})
	}
	s.gatherStep(t, g)
	assert.Equal(t, g.table.Revision(), n)
	assert.Equal(t, s.nodes["n2"].table.Revision(), n-1)
	s.gatherStep(t, g)
	for _, name := range []string{"s0", "s1"} {
		assert.NilError(t, s.nodes[name].membership.Follower.CatchUp(t.Context()))
	}
	s.nodes["s0"].mergePeers([]jwpeer.Peer{s.nodes["s1"].self()})
	s.nodes["s1"].mergePeers([]jwpeer.Peer{s.nodes["s0"].self()})
	s.gatherStep(t, s.nodes["s0"])
	s.gatherStep(t, s.nodes["s1"])
	assert.Assert(t, !s.acceptanceStatus(t, g, n).Accepted)
	s.gatherStep(t, g)
	s.gatherStep(t, g)
	assert.DeepEqual(t, s.acceptanceStatus(t, g, n).Missing, []Missing{{Region: "north", Names: []string{"n2"}}})
	s.runRound()
	assert.Assert(t, s.acceptanceStatus(t, g, n).Accepted)
}

func TestChangeWhileNodeJoins(t *testing.T) {
	// A change is made, gathered and accepted at each possible point of a node's
	// start. Then either the node serves with the change, or the change is not
	// accepted yet.
	for call := 1; call < 12; call++ {
		s := newSystem(nil, t)
		g, other := s.northNodes()
		n, calls := uint64(0), 0
		s.store.beforeCall = func() {
			if calls++; calls != call {
				return
			}
			s.store.beforeCall = nil
			n = s.putEdit(t, other)
			s.runRound()
			s.runRound()
			if s.acceptanceStatus(t, g, n).Accepted {
				s.oracle.accepted = n
			}
		}
		s.busy["n2"] = true
		s.start("n2")
		s.check()
		if n == 0 {
			assert.Assert(t, call > 4)
			return
		}
	}
}

func TestConfirmationOfPreviousProcessIgnored(t *testing.T) {
	// Before its restart a node had confirmed a higher revision than it has now:
	// it started behind a network partition, from a peer that was behind.
	s := newSystem(nil, t)
	g, other := s.northNodes()
	n := s.putEdit(t, g)
	stale := other.self()
	stale.Revision, stale.Incarnation = n, "#000"
	stale.Sequence += 10
	g.peers[other.peer.Name] = stale
	s.gatherStep(t, g)
	status := s.acceptanceStatus(t, g, n)
	assert.Equal(t, status.Missing[0].Names[0], other.peer.Name)
}

func TestConfirmationIsNotLowered(t *testing.T) {
	// The gatherer does not know a restarted member for a moment. The revision
	// that all members had applied stays confirmed: otherwise an operator would
	// look for a fault that does not exist.
	s := newSystem(nil, t)
	g, other := s.northNodes()
	n := s.putEdit(t, g)
	s.runRound()
	s.runRound()
	s.start(other.peer.Name)
	s.now = s.now.Add(DefaultMembersInterval)
	for range 5 {
		s.gatherStep(t, g)
	}
	item, _, err := s.store.Get(t.Context(), ConfirmedPrefix+"north")
	assert.NilError(t, err)
	c, err := ParseRegionConfirmation(item.Value)
	assert.NilError(t, err)
	assert.DeepEqual(t, c, RegionConfirmation{Region: "north", Revision: n, Seen: n, Lagging: []string{other.peer.Name}})
}

func TestRestartWhileRecordIsDeleted(t *testing.T) {
	// A node has left by itself, and it restarts under the same name just before
	// its record is deleted. Without its record the node would serve and no
	// change would wait for it.
	s := newSystem(nil, t)
	g, other := s.northNodes()
	leaving := other.self()
	leaving.State = jwpeer.Gone
	g.mergePeers([]jwpeer.Peer{leaving})
	g.gatherer.members = nil
	s.store.afterList = func() {
		s.store.afterList = nil
		s.start(other.peer.Name)
	}
	s.gatherStep(t, g)
	assert.Equal(t, len(s.store.keys(memberPrefix("north"))), 2)
}

func TestRestartsLeaveNoRecords(t *testing.T) {
	s := newSystem(nil, t)
	s.putEdit(t, s.nodes["n0"])
	s.runRound()
	before := s.store.keys("")
	for range 50 {
		s.start("n1")
		s.runRound()
	}
	leaving := s.nodes["s1"]
	assert.NilError(t, leaving.membership.Leave(t.Context()))
	delete(s.nodes, "s1")
	s.runRound()
	assert.Equal(t, len(s.store.keys(MembersPrefix)), 3)
	assert.Equal(t, len(s.store.keys("")), len(before)-1)
	for _, n := range s.nodes {
		n.sponsoredNodes.RemoveEnded()
		assert.Assert(t, !n.sponsoredNodes.HasAdopted())
	}
}

func TestJoinThroughPeer(t *testing.T) {
	// The store is unavailable when a new node starts: it gets the log from a
	// peer and serves. When the store is available again to the other nodes only,
	// a change must not be accepted before the new node has it, even if only its
	// sponsor knows the new node.
	s := newSystem(nil, t)
	g, other := s.northNodes()
	s.store.setDown(true)
	s.start("n2")
	n2 := s.nodes["n2"]
	assert.Equal(t, n2.peer.State, jwpeer.Serving)
	assert.Assert(t, !n2.membership.Registered())
	sponsor := s.nodes["n0"]
	assert.Assert(t, sponsor.sponsoredNodes.HasAdopted())

	s.store.setDown(false)
	n := s.putEdit(t, other)
	n2.frozen = true
	s.runRound()
	s.runRound()
	assert.DeepEqual(t, s.acceptanceStatus(t, g, n).Missing, []Missing{{Region: "north", Names: []string{"n0"}}})

	// The sponsor must not leave while the new node depends on it.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorContains(t, sponsor.membership.Leave(ctx), "depend on this one")

	// When other nodes know the new node, they wait for it too.
	other.mergePeers([]jwpeer.Peer{n2.self()})
	g.mergePeers([]jwpeer.Peer{n2.self()})
	sponsor.sponsoredNodes.Release(n2.membership.Member)
	s.runRound()
	assert.DeepEqual(t, s.acceptanceStatus(t, g, n).Missing, []Missing{{Region: "north", Names: []string{"n2"}}})

	n2.frozen = false
	assert.NilError(t, n2.membership.maintain(t.Context()))
	assert.Assert(t, n2.membership.Registered())
	assert.Equal(t, n2.table.Revision(), n)
	s.runRound()
	assert.Assert(t, s.acceptanceStatus(t, g, n).Accepted)
}

func TestSponsorReleasedAfterLogIsRead(t *testing.T) {
	// A node that joined through a sponsor registers. Its sponsor must confirm
	// on its behalf until it has read the log: the gatherer may have read the
	// members before the node registered.
	s := newSystem(nil, t)
	g, other := s.northNodes()
	s.store.setDown(true)
	s.start("n2")
	s.store.setDown(false)
	n2, sponsor := s.nodes["n2"], s.nodes["n0"]
	n := s.putEdit(t, other)
	s.store.beforeCall = func() {
		if n2.table.Revision() < n {
			assert.Equal(t, sponsor.sponsoredNodes.Confirmed(), uint64(0))
		}
	}
	assert.NilError(t, sponsor.membership.Follower.CatchUp(t.Context()))
	assert.NilError(t, g.membership.Follower.CatchUp(t.Context()))
	assert.NilError(t, n2.membership.maintain(t.Context()))
	assert.Equal(t, sponsor.sponsoredNodes.Confirmed(), n)
}

func TestAdoptionEnds(t *testing.T) {
	// An adopted node ends before it has registered. Its sponsor must not hold
	// back later changes because of it.
	tests := map[string]struct {
		state        jwpeer.State
		incarnation  string
		stillAdopted bool
	}{
		"serving":                         {jwpeer.Serving, "b", true},
		"gone":                            {jwpeer.Gone, "b", false},
		"restarted":                       {jwpeer.Joining, "c", false},
		"report about a previous process": {jwpeer.Gone, "a", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &fixedPeers{{Name: "n1", Incarnation: "a"}}
			a := &SponsoredNodes{Table: new(Table), Peers: p}
			_, _, err := a.Adopt(Member{Name: "n1", Region: "north", Incarnation: "b"}, 0)
			assert.NilError(t, err)
			(*p)[0].State, (*p)[0].Incarnation = tt.state, tt.incarnation
			a.RemoveEnded()
			assert.Equal(t, a.HasAdopted(), tt.stillAdopted)
		})
	}
}

type fixedPeers []jwpeer.Peer

func (p *fixedPeers) Peers() []jwpeer.Peer { return *p }
