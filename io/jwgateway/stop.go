package jwgateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwresolver"
	"jujubewheel/io/jwrest"
)

// graceShare is the part of the grace period after which what still runs is
// cut off; the rest is for ending.
const graceShare = 0.93

// grace is how long a node that stops serves what it has.
func (g *Gateway) grace() time.Duration {
	return time.Duration(float64(g.bounds.Load().Grace) * graceShare)
}

// linger is how long a node that stops takes requests.
func (g *Gateway) linger() time.Duration { return min(jwresolver.Linger, g.grace()) }

// stop carries out the planned stop: the node is named to nobody any more,
// serves what still comes, and waits for what it runs.
func (g *Gateway) stop(servers []*jwrest.Server) {
	start := time.Now()
	g.stopStart.Store(int64(start.Sub(g.startTime)))
	g.stopping.Store(true)
	g.members.Serve(start, false)
	g.reregister()
	g.Log.Info("stopping", "inFlight", g.inFlight.Load())
	g.announceStop(start)
	for _, s := range servers {
		s.Drain()
	}
	grace := g.grace()
	const step = 20 * time.Millisecond
	for time.Since(start) < grace {
		if time.Since(start) > g.linger() && g.inFlight.Load() == 0 {
			break
		}
		time.Sleep(step)
	}
	g.graceOver.Store(true)
	g.Log.Info("stop complete", "inFlight", g.inFlight.Load(), "after", time.Since(start).String())
}

// stopPeers returns the nodes that learn at once that this one stops: all, or the relays,
// which pass it on to the rest.
func (g *Gateway) stopPeers(now time.Time) []jwmember.Member {
	if !g.members.Large(now, g.Settings.Region) {
		return g.members.Peers(now)
	}
	list := g.members.Relays(now, g.Settings.Region)
	if m, ok := g.members.Relay(now, g.Settings.DataCentre); ok {
		list = append(list, m)
	}
	return list
}

// announceStop reports to every node at once that this one stops. An exchange that waits
// for an answer already has sent the old state, so nobody is left out for it.
func (g *Gateway) announceStop(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	var wg sync.WaitGroup
	for _, m := range g.stopPeers(now) {
		body, err := json.Marshal(g.state(now, m.Region))
		if err != nil {
			g.Log.Error(err, "state not encoded")
			continue
		}
		wg.Go(func() { g.exchangeState(ctx, m, body) })
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}
