package jwgateway

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"jujubewheel/core/jwmember"
)

const (
	// directoryTTL is how long callers may use an answer of the directory. It
	// bounds how long a node that stops is still asked.
	directoryTTL = time.Second
	// mostNamed is how many nodes an answer names.
	mostNamed = 64
)

// serveReady tells the platform whether the node serves.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory names the nodes that a caller should use: those of its own
// region, and others only where none of these lives.
func (g *Gateway) serveDirectory(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	region := g.Dialect.CallerRegion(r.URL.Query())
	nodes := g.members.Live(now, region)
	if len(nodes) == 0 {
		nodes = g.members.Live(now, "")
	}
	if len(nodes) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(g.Dialect.Directory(named(nodes), directoryTTL)); err != nil {
		g.Log.V(1).Info("directory not answered", "error", err.Error())
	}
}

func named(nodes []jwmember.Member) []netip.AddrPort {
	if len(nodes) > mostNamed {
		nodes = nodes[:mostNamed]
	}
	list := make([]netip.AddrPort, 0, len(nodes))
	for _, m := range nodes {
		list = append(list, m.Callers)
	}
	return list
}
