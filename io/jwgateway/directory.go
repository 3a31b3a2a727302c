package jwgateway

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwresolver"
)

// maxFirstRead is how long a node waits for its first read of the store before the directory
// answers with what the node knows.
const maxFirstRead = 3 * time.Second

// selectionSeconds is how long a caller gets the same selection of nodes. Many callers may share one
// address, so a selection for ever would leave some nodes without any.
const selectionSeconds = 60

// serveReady reports to the platform whether the node serves callers.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory returns the addresses of the nodes that a caller should use.
func (g *Gateway) serveDirectory(w http.ResponseWriter, r *http.Request) {
	host, region := g.Dialect.DirectoryQuery(r.URL.Query())
	v := g.resolverView(time.Now(), host, region)
	v.Caller = callerOf(r.RemoteAddr)
	v.ByCapacity, v.Turn = g.Settings.Gateway.Overload.Enabled(), uint64(time.Now().Unix()/selectionSeconds)
	a := jwresolver.Resolve(v)
	g.metrics.countDirectoryAnswer(a.Kind)
	if a.Kind == jwresolver.NoNodes {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(g.Dialect.Directory(addresses(a.Nodes), a.TTL)); err != nil {
		g.Log.V(1).Info("failed to send the directory", "error", err.Error())
	}
}

// resolverView returns this node's view of the nodes for a caller in a region that asks about a
// host.
func (g *Gateway) resolverView(now time.Time, host, region string) jwresolver.View {
	v := jwresolver.View{InRegion: g.members.Live(now, region)}
	if len(v.InRegion) > 0 {
		return v
	}
	v.StoppingNodes, v.Linger = g.members.StoppingInRegion(now, region), g.linger()
	c := g.entries.Current()
	if c == nil {
		return v
	}
	v.All = g.members.Live(now, "")
	v.Ready = g.fullReadDone.Load() || now.Sub(g.startTime) >= maxFirstRead
	v.ChooseStandIns = func(regions []string) []string { return g.demand.ChooseStandIns(c, host, regions) }
	return v
}

// addresses returns the addresses of nodes for callers.
func addresses(nodes []jwmember.Member) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(nodes))
	for _, m := range nodes {
		list = append(list, m.Callers)
	}
	return list
}
