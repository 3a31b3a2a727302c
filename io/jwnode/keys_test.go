package jwnode

import (
	"crypto/tls"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwcert"
	"jujubewheel/io/jwcerttest"
	"jujubewheel/io/jwsettings"
)

// With certificates on the ports for nodes and operators, a request is still
// served in another region, and the operators' port answers over TLS.
func TestWholePathOverTLS(t *testing.T) {
	authority := jwcerttest.New(t)
	s := newSystem(t, "east", "west")
	s.tls = func(name, region string) jwsettings.TLS {
		nodes := authority.Issue(t.TempDir(), jwcert.Identity{Node: name, Region: region})
		operators := nodes
		operators.Authority = ""
		return jwsettings.TLS{Nodes: nodes, Operators: operators}
	}
	s.runner("east")
	a := s.node("e1", "east")
	b := s.node("w1", "west")
	s.edit(a, draft())
	s.awaitRevision(1)
	s.await("a draft of west served by east", func() bool {
		return s.send(b.CallersAddr(), "draft", "free-west", prompt("menu", 5, true), nil).server == "east"
	})

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority.Pool()}}}
	resp, err := client.Get("https://" + a.OperatorsAddr().String() + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// A node whose certificate comes from another authority is in the host list. The
// other nodes must not accept it as a peer, or they would send it callers' data.
func TestForeignNode(t *testing.T) {
	ours, theirs := jwcerttest.New(t), jwcerttest.New(t)
	s := newSystem(t, "east")
	s.tls = func(name, region string) jwsettings.TLS {
		authority := ours
		if name == "e9" {
			authority = theirs
		}
		return jwsettings.TLS{Nodes: authority.Issue(t.TempDir(), jwcert.Identity{Node: name, Region: region})}
	}
	a := s.node("e1", "east")
	b := s.node("e2", "east")
	foreign := s.node("e9", "east")
	s.await("both nodes know each other", func() bool {
		return len(a.board.Peers.Select(isServing)) == 2 && len(b.board.Peers.Select(isServing)) == 2
	})
	s.await("the foreign node reports that it serves", func() bool { return foreign.serving.Load() })
	time.Sleep(5 * foreign.Settings.Periods.Exchange)
	for _, n := range []*runningNode{a, b} {
		p, _ := n.board.Peers.Get("e9")
		assert.Equal(t, p.Incarnation, "", "%s got a state from e9", n.Settings.Node)
	}
}

func isServing(p jwpeer.Peer) bool { return p.State == jwpeer.Serving }
