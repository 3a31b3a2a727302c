package jwgateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"jujubewheel/io/jwrest"
)

const (
	// lingerTTLs is for how many lives of a directory answer a stopping node
	// still takes requests: some callers keep answers longer than told.
	lingerTTLs = 3
	// stopShare is the part of the grace period after which what still runs is
	// cut off; the rest is for ending.
	stopShare = 0.93
)

// stop carries out the planned stop: the node is named to nobody any more,
// serves what still comes, and waits for what it runs.
func (g *Gateway) stop(servers []*jwrest.Server) {
	begun := time.Now()
	g.stopFrom.Store(int64(begun.Sub(g.begun)))
	g.stopping.Store(true)
	g.members.Serve(false)
	g.again()
	g.Log.Info("stopping", "inFlight", g.inFlight.Load())
	g.tellAll(begun)
	for _, s := range servers {
		s.Drain()
	}
	grace := time.Duration(float64(g.bounds.Load().Grace) * stopShare)
	const step = 20 * time.Millisecond
	for time.Since(begun) < grace {
		if time.Since(begun) > lingerTTLs*directoryTTL && g.inFlight.Load() == 0 {
			break
		}
		time.Sleep(step)
	}
	g.ending.Store(true)
	g.Log.Info("stop complete", "inFlight", g.inFlight.Load(), "after", time.Since(begun).String())
}

// tellAll tells every node at once that this one stops. An exchange that waits
// for an answer already has told the old word, so nobody is left out for it.
func (g *Gateway) tellAll(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	var all sync.WaitGroup
	for _, m := range g.members.Peers(now) {
		body, err := json.Marshal(g.state(now, m.Region))
		if err != nil {
			g.Log.Error(err, "state not encoded")
			continue
		}
		all.Go(func() { g.exchangeOne(ctx, m, body) })
	}
	go func() {
		all.Wait()
		cancel()
	}()
}
