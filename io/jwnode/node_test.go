package jwnode

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// A caller asks a node which host to use, sends a draft there, once plain and
// once streamed, and gets the complete answers. A region without a target has its
// drafts served in another region.
func TestWholePath(t *testing.T) {
	s := newSystem(t, "east", "west")
	s.runner("east")
	a := s.node("e1", "east")
	b := s.node("w1", "west")
	s.edit(a, draft())
	s.awaitRevision(1)

	resp, err := http.Get("http://" + b.CallersAddr().String() + "/v1/hosts?workspace=bound-east")
	assert.NilError(t, err)
	var list struct{ Hosts []string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&list))
	assert.NilError(t, resp.Body.Close())
	assert.DeepEqual(t, list.Hosts, []string{a.CallersAddr().String()})

	s.await("targets", func() bool { return len(a.board.Targets.Polled()) == 1 })
	plain := s.send(a.CallersAddr(), "draft", "free-east", prompt("menu", 5, false), nil)
	assert.NilError(t, plain.err)
	assert.Equal(t, plain.status, http.StatusOK, plain.body)
	assert.Equal(t, plain.outcome, "served")
	assert.Assert(t, strings.Contains(plain.body, jwstand.TextOf("menu", 5)))

	streamed := s.send(a.CallersAddr(), "draft", "free-east", prompt("menu", 50, true), nil)
	assert.NilError(t, streamed.err)
	assert.Equal(t, streamed.outcome, "served")
	assert.Assert(t, strings.Contains(streamed.body, "data: [DONE]"))
	assert.Assert(t, strings.Contains(streamed.body, "event: done\ndata: {\"outcome\":\"served\""))

	s.await("load of east at west", func() bool {
		return s.send(b.CallersAddr(), "draft", "free-west", prompt("menu", 5, true), nil).status == http.StatusOK
	})
	away := s.send(b.CallersAddr(), "draft", "free-west", prompt("menu", 50, true), nil)
	assert.NilError(t, away.err)
	assert.Equal(t, away.server, "east")
	assert.Assert(t, strings.Contains(away.body, "event: done"))
}

// A caller sends the same confirmation twice, to two nodes. It must run once, and
// both calls get the same answer. The same key with another body is rejected.
func TestConfirmationSentTwice(t *testing.T) {
	s := newSystem(t, "east")
	desk, _ := s.service("east")
	a := s.node("e1", "east")
	b := s.node("e2", "east")
	s.edit(a, confirmation())
	s.awaitRevision(1)
	s.await("targets", func() bool { return len(a.board.Targets.Polled())+len(b.board.Targets.Polled()) == 2 })

	key := header{"Idempotency-Key": "deposit-17"}
	first := s.send(a.CallersAddr(), "confirm", "bound-east", `{"deposit":1}`, key)
	assert.Equal(t, first.status, http.StatusOK, first.body)
	second := s.send(b.CallersAddr(), "confirm", "bound-east", `{"deposit":1}`, key)
	assert.Equal(t, second.status, http.StatusOK, second.body)
	assert.Equal(t, first.body, second.body)
	assert.Equal(t, len(desk.Journal.Runs()), 1)

	other := s.send(b.CallersAddr(), "confirm", "bound-east", `{"deposit":2}`, key)
	assert.Equal(t, other.status, http.StatusConflict, other.body)
	assert.Equal(t, len(desk.Journal.Runs()), 1)
}

// A caller asks a node outside its home region for a ticket. Only the node that
// mints a ticket can run it, but confirmations of a workspace run in its home
// region, so such a ticket could never be used. The node must name hosts of the
// home region instead.
func TestTicketIsMintedAtHome(t *testing.T) {
	s := newSystem(t, "east", "west")
	desk, _ := s.service("east")
	home, away := s.node("e1", "east"), s.node("w1", "west")
	s.edit(home, confirmation())
	s.awaitRevision(1)
	s.await("targets", func() bool { return len(home.board.Targets.Polled()) == 1 })

	mint := func(n *runningNode) (status int, key string, hosts []string) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.CallersAddr().String()+"/v1/tickets", nil)
		assert.NilError(t, err)
		r.Header.Set("Jujube-Workspace", "free-east")
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		var got struct {
			Key   string
			Hosts []string
		}
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&got))
		return resp.StatusCode, got.Key, got.Hosts
	}
	status, _, hosts := mint(away)
	assert.Equal(t, status, http.StatusMisdirectedRequest)
	assert.DeepEqual(t, hosts, []string{home.CallersAddr().String()})

	status, key, _ := mint(home)
	assert.Equal(t, status, http.StatusOK)
	for _, n := range []*runningNode{home, away, home} {
		r := s.send(n.CallersAddr(), "confirm", "free-east", "{}", header{"Idempotency-Key": key})
		assert.Equal(t, r.outcome, "served", r.body)
	}
	assert.Equal(t, len(desk.Journal.Runs()), 1)
}
