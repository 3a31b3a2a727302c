package jwgateway

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"jujubewheel/core/jwmember"
)

const (
	// directoryTTL is how long callers may use an answer of the directory. It
	// bounds how long a node that stops is still asked.
	directoryTTL = time.Second
	// firstRead is how long a node waits for its first reading of the store
	// before it answers by what it has.
	firstRead = 3 * time.Second
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
	host, region := g.Dialect.Question(r.URL.Query())
	nodes := g.members.Live(now, region)
	if len(nodes) == 0 {
		nodes = g.standIns(now, host)
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

// standIns returns nodes for callers whose region has none: in regions where
// bound data may be served. A node that has just started knows no others and
// would name itself to everybody, so it names none until it has read the store
// or had the time to hear of them.
func (g *Gateway) standIns(now time.Time, host string) []jwmember.Member {
	c := g.entries.Current()
	if c == nil || !g.synced.Load() && now.Sub(g.begun) < firstRead {
		return nil
	}
	nodes := g.members.Live(now, "")
	var regions []string
	for _, m := range nodes {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	regions = g.demand.Stand(c, host, regions)
	return slices.DeleteFunc(nodes, func(m jwmember.Member) bool { return !slices.Contains(regions, m.Region) })
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
