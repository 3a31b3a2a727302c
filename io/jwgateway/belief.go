package jwgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
)

const (
	// beliefPath is where a node tells all that it believes.
	beliefPath = "/belief"
	// beliefRetry is the wait between two rounds of questions.
	beliefRetry = 400 * time.Millisecond
)

// belief is what a node that starts needs to serve while the store can't be
// reached.
type belief struct {
	Config    []byte                `json:"config"` // as the store holds it
	Targets   []jwinstance.Instance `json:"targets"`
	Evacuated []string              `json:"evacuated"`
	Members   []jwmember.Member     `json:"members"`
}

func (g *Gateway) serveBelief(w http.ResponseWriter) {
	c := g.entries.Current()
	if c == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	b := belief{
		Config: c.Raw, Targets: g.targets.Instances(), Evacuated: g.targets.Evacuated(),
		Members: g.members.Live(time.Now(), ""),
	}
	if err := json.NewEncoder(w).Encode(b); err != nil {
		g.Log.V(1).Info("belief not told", "error", err.Error())
	}
}

// start asks other nodes for what they believe until the store was read: the
// store may be away when a node starts, and callers wait.
func (g *Gateway) start(ctx context.Context) {
	for !g.synced.Load() && ctx.Err() == nil {
		for _, a := range g.Settings.Gateway.Seeds {
			if a != g.Settings.Gateway.Listen.Nodes && g.ask(ctx, a) {
				return
			}
		}
		jwclock.Sleep(ctx, beliefRetry)
	}
}

// ask takes what another node believes; it tells whether that serves.
func (g *Gateway) ask(ctx context.Context, a netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	raw, err := g.nodeCall(ctx, jwmember.Member{Nodes: a}, http.MethodGet, beliefPath, nil)
	if err != nil {
		return false
	}
	var b belief
	if err := json.Unmarshal(raw, &b); err != nil || len(b.Config) == 0 || g.synced.Load() {
		return false
	}
	now := time.Now()
	for _, in := range b.Targets {
		g.targets.Put(now, in)
	}
	for _, dc := range b.Evacuated {
		g.evacuate(now, dc, true)
	}
	for _, m := range b.Members {
		g.members.Put(now, m)
	}
	g.Log.Info("started by another node", "peer", a.String(), "targets", len(b.Targets))
	g.takeConfig(b.Config, a.String())
	return true
}
