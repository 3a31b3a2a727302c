package jwgateway

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwplacement"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwsettings"
)

// In a region at its peak each node forwards a third of its prompts, and other regions report their
// waits once a second only. If nodes chose by these reports alone, all prompts of a second would
// go to the region that was free at its start, and every third of them would be late.
func TestPromptsSentSinceLastRegionReport(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	report := func(region string) state {
		return state{Member: jwmember.Member{Region: region}, Waits: map[string]int64{"s": 10}}
	}
	var table regionTable
	table.recordRoundTrip("q", 200*time.Millisecond)
	table.merge(t0, report("q"))
	assert.Equal(t, table.unreportedTokens("q", "s"), 0)
	table.recordSend(at(100), "q", "s", 1000)
	table.recordSend(at(900), "q", "s", 2000)
	table.recordSend(at(900), "q", "other", 4000)
	assert.Equal(t, table.unreportedTokens("q", "s"), 3000)
	assert.Equal(t, table.unreportedTokens("p", "s"), 0)
	table.merge(at(1000), report("p"))
	assert.Equal(t, table.unreportedTokens("q", "s"), 3000, "another region reported")
	table.merge(at(1000), report("q"))
	assert.Equal(t, table.unreportedTokens("q", "s"), 2000, "sent while the report was in flight")
	table.merge(at(2000), report("q"))
	assert.Equal(t, table.unreportedTokens("q", "s"), 0)
}

// The same load with the nodes' choice of a region: two regions that are equally near and free must
// get equal shares.
func TestPromptsSpreadOverRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Gateway{Settings: &jwsettings.Settings{Region: "r"}, Nodes: &jwconn.Pool{}}
	for i, region := range []string{"q", "p"} {
		in := jwinstance.Instance{
			ID: region, Service: "s", Region: region, Slots: 8,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		}
		g.targets.Put(now, in)
		g.regions.merge(now, state{Member: jwmember.Member{Region: region}, Waits: map[string]int64{"s": 10}})
	}
	n := jwinstance.Need{Service: "s", Prompt: jwinstance.Prompt{Tokens: 5000}}
	sent := map[string]int{}
	for range 20 {
		c := g.Placement.Choose(nil, []jwplacement.Option{g.regionOption(now, "p", n), g.regionOption(now, "q", n)})
		sent[c.Region]++
		g.regions.recordSend(now, c.Region, "s", c.MissTokens)
	}
	assert.DeepEqual(t, sent, map[string]int{"q": 10, "p": 10})
}

// Each node of the home region gets a few bound requests per second. If each of them
// were forwarded to another node over a new connection, it would take twice as long.
func TestForwardPrefersOpenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	open := netip.MustParseAddrPort(l.Addr().String())
	closed := netip.MustParseAddrPort("127.0.0.1:1")
	nodes := []jwmember.Member{{Name: "a", Nodes: closed}, {Name: "b", Nodes: open}, {Name: "c", Nodes: closed}}
	g := &Gateway{Nodes: &jwconn.Pool{}}
	assert.Equal(t, g.chooseNode(nodes, 0.1).Name, "a")
	a, err := g.Nodes.Do(t.Context(), &jwconn.Call{Peer: open, Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, a.Body)
	assert.NilError(t, err)
	a.Close()
	for _, fraction := range []float64{0, 0.1, 0.9} {
		assert.Equal(t, g.chooseNode(nodes, fraction).Name, "b")
	}
}
