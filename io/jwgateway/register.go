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
	// leaseTTL is how long a node stays registered after its last renewal.
	leaseTTL = 5 * time.Second
	// renewalsPerLease is the number of renewals within the term of a lease.
	renewalsPerLease = 3
	// registerRetry is the wait after a failed call of the store.
	registerRetry = 400 * time.Millisecond
	// maxEarlyRegistration is how long a node that starts waits for its registration before it reads
	// on.
	maxEarlyRegistration = time.Second
)

// reregister makes the node write its registration again.
func (g *Gateway) reregister() { wake(g.registrationChanged) }

// keepRegistered keeps the node registered under its lease until ctx ends.
func (g *Gateway) keepRegistered(ctx context.Context) {
	var lease jwstore.Lease
	ttl := leaseTTL
	written := false
	for ctx.Err() == nil {
		if !g.members.Local().Serving && (g.stopping.Load() || !g.registersEarly.Load()) {
			g.waitForChange(ctx, registerRetry)
			if g.stopping.Load() {
				break
			}
			continue
		}
		var err error
		switch {
		case lease == 0:
			start := time.Now()
			lease, ttl, err = g.Feed.Grant(ctx, max(leaseTTL, g.Settings.Gateway.Store.LeaseMin))
			written = false
			if err == nil {
				g.members.RecordStoreRoundTrip(time.Since(start))
				continue
			}
			lease = 0
		case !written:
			err = g.writeRegistration(ctx, lease)
			written = err == nil
			g.registered.Store(g.registered.Load() || written)
		default:
			err = g.Feed.Renew(ctx, lease)
		}
		g.recordStoreCall(time.Now(), err)
		switch {
		case errors.Is(err, jwstore.ErrNoLease):
			lease = 0
			continue
		case err != nil:
			jwclock.Sleep(ctx, g.retryWait(registerRetry))
			continue
		}
		g.writeFleetSize(ctx)
		if g.waitForChange(ctx, ttl/renewalsPerLease) {
			written = false
		}
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := g.Feed.End(ctx, lease); err != nil {
			g.Log.Info("failed to end the lease", "error", err.Error())
		}
	}
}

// registerEarly registers the node before it serves, and returns once it is registered.
func (g *Gateway) registerEarly(ctx context.Context) {
	g.registersEarly.Store(true)
	g.reregister()
	for start := time.Now(); !g.registered.Load() && time.Since(start) < maxEarlyRegistration && ctx.Err() == nil; {
		jwclock.Sleep(ctx, storeCheckStep)
	}
}

// writeRegistration writes the node's registration under its lease.
func (g *Gateway) writeRegistration(ctx context.Context, lease jwstore.Lease) error {
	me := g.members.Local()
	value, err := json.Marshal(me)
	if err != nil {
		return err
	}
	return g.Feed.Set(ctx, nodePrefix+me.Name, value, lease)
}

// fleetSize is the value stored under fleetSizeKey.
type fleetSize struct {
	Nodes int `json:"nodes"`
}

// writeFleetSize writes the size of the fleet to the store if it has changed and this node is the
// one that maintains it. Only quotas need it.
func (g *Gateway) writeFleetSize(ctx context.Context) {
	now := time.Now()
	if !g.hasQuotas() || !g.members.WritesFleetSize(now) {
		return
	}
	nodes := g.members.Count(now, "") // Count forgets a node after a minute
	if nodes == g.members.FleetSize() && !g.fleetSizeMissing.Load() {
		return
	}
	value, err := json.Marshal(fleetSize{nodes})
	if err == nil {
		err = g.Feed.Set(ctx, fleetSizeKey, value, 0)
	}
	if err != nil {
		g.Log.Info("failed to write the size of the fleet", "nodes", nodes, "error", err.Error())
		return
	}
	g.fleetSizeMissing.Store(false)
}

// applyFleetSize applies the size of the fleet as stored.
func (g *Gateway) applyFleetSize(now time.Time, value []byte) {
	var size fleetSize
	if err := json.Unmarshal(value, &size); err != nil || size.Nodes <= 0 {
		g.Log.Info("failed to decode the size of the fleet")
		return
	}
	g.members.SetFleet(now, size.Nodes, !g.fullReadDone.Load())
}

// waitForChange waits for d and returns early with true if the registration must be written again.
func (g *Gateway) waitForChange(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.registrationChanged:
		return true
	}
	return false
}
