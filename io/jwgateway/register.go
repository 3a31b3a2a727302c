package jwgateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

const (
	// leaseTTL is how long a node stays registered after its last sign of life.
	leaseTTL = 5 * time.Second
	// renewals is how many renewals fall into a lease.
	renewals = 3
	// registerRetry is the wait after a failed call of the store.
	registerRetry = 400 * time.Millisecond
)

// reregister makes the node write its registration anew.
func (g *Gateway) reregister() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// register keeps the node registered under its lease until ctx ends.
func (g *Gateway) register(ctx context.Context) {
	var lease jwstore.Lease
	ttl := leaseTTL
	written := false
	for ctx.Err() == nil {
		if !g.members.Me().Serving {
			g.pause(ctx, registerRetry)
			if g.stopping.Load() {
				break
			}
			continue
		}
		var err error
		switch {
		case lease == 0:
			begun := time.Now()
			lease, ttl, err = g.Feed.Grant(ctx, max(leaseTTL, g.Settings.Gateway.Store.LeaseMin))
			written = false
			if err == nil {
				g.members.Reached(time.Since(begun))
				continue
			}
			lease = 0
		case !written:
			err = g.writeSelf(ctx, lease)
			written = err == nil
		default:
			err = g.Feed.Renew(ctx, lease)
		}
		g.store.called(time.Now(), err)
		switch {
		case errors.Is(err, jwstore.ErrNoLease):
			lease = 0
			continue
		case err != nil:
			jwclock.Sleep(ctx, g.retryWait(registerRetry))
			continue
		}
		g.keepFleet(ctx)
		if g.pause(ctx, ttl/renewals) {
			written = false
		}
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := g.Feed.End(ctx, lease); err != nil {
			g.Log.Info("lease not ended", "error", err.Error())
		}
	}
}

func (g *Gateway) writeSelf(ctx context.Context, lease jwstore.Lease) error {
	me := g.members.Me()
	value, err := json.Marshal(me)
	if err != nil {
		return err
	}
	return g.Feed.Set(ctx, nodePrefix+me.Name, value, lease)
}

// fleet is what the store keeps of the size of the fleet, under fleetKey.
type fleet struct {
	Nodes int `json:"nodes"`
}

// keepFleet writes the size of the fleet, if that changed and the node is the one to
// do so. Only quotas need it.
func (g *Gateway) keepFleet(ctx context.Context) {
	now := time.Now()
	if !g.limited() || !g.members.KeepsFleet(now) {
		return
	}
	nodes := g.members.Count(now, "") // which forgets a node after a minute
	if nodes == g.members.FleetSize() && !g.fleetLost.Load() {
		return
	}
	value, err := json.Marshal(fleet{nodes})
	if err == nil {
		err = g.Feed.Set(ctx, fleetKey, value, 0)
	}
	if err != nil {
		g.Log.Info("size of the fleet not written", "nodes", nodes, "error", err.Error())
		return
	}
	g.fleetLost.Store(false)
}

// takeFleet takes the size of the fleet from the store.
func (g *Gateway) takeFleet(now time.Time, value []byte) {
	var f fleet
	if err := json.Unmarshal(value, &f); err != nil || f.Nodes <= 0 {
		g.Log.Info("size of the fleet not readable")
		return
	}
	g.members.SetFleet(now, f.Nodes, !g.synced.Load())
}

// pause waits and reports whether the registration is to be written anew.
func (g *Gateway) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.changed:
		return true
	}
	return false
}
