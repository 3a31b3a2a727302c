package jwgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// restoredEvacuationHold is how long an evacuation lasts that a store which came back from an older
// copy doesn't hold: operators write theirs again meanwhile.
const restoredEvacuationHold = 10 * time.Second

// checkStoreRestored notes whether a reading of everything shows that the store has come back from an
// older copy; f.mu is held.
func (f *storeWatcher) checkStoreRestored(now time.Time, r *fullRead) {
	oldEra, newEra := jwstore.Era(f.lastRevision), jwstore.Era(r.revision)
	if f.lastRevision == 0 || newEra <= oldEra {
		return
	}
	for _, dc := range f.g.targets.Evacuated() {
		if !r.evacuated[dc] {
			f.heldEvacuations[dc] = now.Add(restoredEvacuationHold)
		}
	}
	f.g.fleetSizeMissing.Store(r.fleet == nil && f.g.members.FleetSize() > 0)
	f.g.metrics.storeRestores.Inc(1)
	f.g.Log.Info("store came back from an older copy", "eraBefore", oldEra, "era", newEra,
		"revisionBefore", jwstore.Number(f.lastRevision), "revision", jwstore.Number(r.revision),
		"nodes", len(r.nodes), "targets", len(r.targets), "evacuationsHeld", len(f.heldEvacuations))
}

// endHeldEvacuations ends the evacuations that were held for long enough and not written again.
func (f *storeWatcher) endHeldEvacuations(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for dc, until := range f.heldEvacuations {
		if now.After(until) {
			delete(f.heldEvacuations, dc)
			f.g.setEvacuated(now, dc, false)
		}
	}
}

// delayFullRead waits for a moment before everything is read anew, in a large fleet: all its
// nodes learn at once that they have to.
func (g *Gateway) delayFullRead(ctx context.Context) {
	if g.members.Count(time.Now(), "") > scaleNodes {
		jwclock.Sleep(ctx, rand.N(g.retryWait(watchRetry)))
	}
}
