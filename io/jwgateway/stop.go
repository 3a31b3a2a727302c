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

// graceShare is the share of the grace period after which requests in flight are aborted. The rest
// is left for shutting down.
const graceShare = 0.93

// grace returns for how long a stopping node serves the requests that it has accepted.
func (g *Gateway) grace() time.Duration {
	return time.Duration(float64(g.bounds.Load().Grace) * graceShare)
}

// linger returns for how long a stopping node accepts new requests.
func (g *Gateway) linger() time.Duration { return min(jwresolver.Linger, g.grace()) }

// stop carries out the planned stop: the node is no longer returned to callers, serves requests
// that still arrive for a while, and waits for the requests in flight.
func (g *Gateway) stop(servers []*jwrest.Server) {
	start := time.Now()
	g.stopStartedAt.Store(int64(start.Sub(g.startTime)))
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

// stopPeers returns the nodes to which this one reports its stop at once: all nodes or, in a large
// region, the relays, which report it to the others.
func (g *Gateway) stopPeers(now time.Time) []jwmember.Member {
	if !g.members.Large(now, g.Settings.Region) {
		return g.members.Peers(now)
	}
	list := g.members.OtherRelays(now, g.Settings.Region)
	if m, ok := g.members.Relay(now, g.Settings.DataCentre); ok {
		list = append(list, m)
	}
	return list
}

// announceStop reports to the stopPeers at once that this node stops. It includes peers with an
// exchange in flight, because that has sent the state before the stop.
func (g *Gateway) announceStop(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	var wg sync.WaitGroup
	for _, m := range g.stopPeers(now) {
		body, err := json.Marshal(g.state(now, m.Region))
		if err != nil {
			g.Log.Error(err, "failed to encode the state")
			continue
		}
		wg.Go(func() { g.exchangeState(ctx, m, body) })
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}
