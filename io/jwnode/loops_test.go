package jwnode

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwdirectory"
	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwforward"
)

// setHomeRegion changes the node's directory so that a workspace has another home
// region.
func (n *runningNode) setHomeRegion(workspace, region string) {
	current := n.board.Directory.Current()
	next := &jwdirectory.Snapshot{Version: current.Version + "+", Workspaces: maps.Clone(current.Workspaces)}
	w := next.Workspaces[workspace]
	w.Name, w.Region, w.Owner = workspace, region, "o"
	next.Workspaces[workspace] = w
	n.board.Directory.Set(next)
}

// forwards returns how often a request was forwarded from one node to another.
func (s *system) forwards(id string) int {
	n := 0
	for _, node := range s.nodes {
		for _, trace := range node.tracer.Find(id) {
			for _, step := range trace.Steps {
				if step.Step == "forward" {
					n++
				}
			}
		}
	}
	return n
}

// The client directory or a catalogue change reaches the nodes at different times
// while a workspace moves to another region, so that each node assumes another home
// region for a request. If every node forwarded it, the request would loop until
// its deadline and load the links for nothing. Each request may be forwarded at
// most once.
func TestNodesDisagree(t *testing.T) {
	s := newSystem(t, "east", "north", "west")
	runner, _ := s.runner("east")
	nextRegion := map[string]string{"east": "north", "north": "west", "west": "east"}
	nodes := map[string]*runningNode{}
	for _, r := range s.regions {
		nodes[r] = s.node(r[:1]+"1", r)
	}
	s.edit(nodes["east"], draft())
	s.edit(nodes["east"], confirmation())
	s.awaitRevision(2)
	s.await("load of east", func() bool {
		for _, n := range nodes {
			if n != nodes["east"] && len(n.board.Regions.Loads("writer", time.Now())) == 0 {
				return false
			}
		}
		return true
	})
	for region, n := range nodes {
		n.setHomeRegion("lost", nextRegion[region])
		n.setHomeRegion("pair", map[string]string{"east": "west", "west": "east", "north": "north"}[region])
	}
	// At one node the confirmation is idempotent, at the others it is not.
	idempotent := confirmation()
	idempotent.Idempotent, idempotent.KeyMemory, idempotent.Regions = true, 0, []string{"*"}
	assert.NilError(t, nodes["north"].board.Catalogue.Apply(jwcatalogue.Change{
		N: 3, EditID: "only-north", Author: "test", Reason: "test", Time: time.Now(), Entry: "confirm", Before: ptr(confirmation()), After: &idempotent,
	}))
	for _, workspace := range []string{"lost", "pair"} {
		for _, entry := range []string{"draft", "confirm"} {
			for region, n := range nodes {
				t.Run(workspace+" "+entry+" at "+region, func(t *testing.T) {
					id := strings.Join([]string{workspace, entry, region}, "-")
					r := s.send(n.CallersAddr(), entry, workspace, prompt("menu", 3, false), header{"Jujube-Request-Id": id, "Idempotency-Key": id})
					assert.NilError(t, r.err)
					assert.Assert(t, r.outcome != "", "%+v", r)
					assert.Assert(t, s.forwards(id) <= 1, "forwarded %d times", s.forwards(id))
				})
			}
		}
	}
	assert.Assert(t, len(runner.Journal.Runs()) > 0) // drafts were served nevertheless
}

func ptr[T any](v T) *T { return &v }

// A faulty node, or one of another version, forwards a request with a list of
// hops that is empty, too long or forged. A node that relied on the list could
// forward the request in an endless loop; it must serve the request or reject it,
// and never forward it.
func TestForgedHops(t *testing.T) {
	s := newSystem(t, "east", "west")
	s.runner("west")
	e1 := s.node("e1", "east")
	s.node("w1", "west")
	s.edit(e1, draft())
	s.edit(e1, confirmation())
	s.awaitRevision(2)
	s.await("load of west at east", func() bool { return len(e1.board.Regions.Loads("writer", time.Now())) > 0 })
	hop := jwrequest.Hop{Node: "x", Region: "east", DataCentre: "east-1"}
	tests := map[string]struct {
		hops    jwrequest.Hops
		status  int // 0 for no answer at all
		outcome jwrequest.Outcome
	}{
		"none":                  {nil, 0, ""},
		"empty hop":             {jwrequest.Hops{{}}, http.StatusServiceUnavailable, jwrequest.NotRun},
		"in the same region":    {jwrequest.Hops{hop}, http.StatusServiceUnavailable, jwrequest.NotRun},
		"through the receiver":  {jwrequest.Hops{{Node: "e1", Region: "east"}}, http.StatusLoopDetected, jwrequest.NotRun},
		"of the maximum length": {jwrequest.Hops{hop, hop, hop}, http.StatusLoopDetected, jwrequest.NotRun},
		"of 1000 hops":          {make(jwrequest.Hops, 1000), http.StatusLoopDetected, jwrequest.NotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for _, entry := range []string{"draft", "confirm"} {
				id := fmt.Sprintf("%s %s", name, entry)
				key := ""
				if entry == "confirm" {
					key = id
				}
				a, err := (&jwforward.Pool{}).Forward(t.Context(), e1.board.Peers.Self(), &jwrequest.Request{
					ID: id, Workspace: "free-west", Entry: entry, Key: key, Body: []byte(prompt("menu", 3, false)),
					Deadline: time.Now().Add(testTimeout), Hops: tc.hops,
				}, jwdispatch.ForwardRegion)
				if tc.status == 0 {
					assert.Equal(t, status.Code(err), codes.FailedPrecondition, "%v", err)
					continue
				}
				assert.NilError(t, err)
				want := tc.outcome
				if entry == "confirm" {
					want = jwrequest.Unknown // the node did not look up the key
				}
				assert.Equal(t, a.Head.Status, tc.status, "%+v", a.Head)
				assert.Equal(t, a.Head.Outcome, want, "%+v", a.Head)
				assert.Equal(t, s.forwards(id), 0)
			}
		})
	}
}
