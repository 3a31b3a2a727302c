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
func (w *storeWatcher) checkStoreRestored(now time.Time, r *fullRead) {
	oldEra, newEra := jwstore.Era(w.lastRevision), jwstore.Era(r.revision)
	if w.lastRevision == 0 || newEra <= oldEra {
		return
	}
	for _, dc := range w.g.targets.Evacuated() {
		if !r.evacuated[dc] {
			w.heldEvacuations[dc] = now.Add(restoredEvacuationHold)
		}
	}
	w.g.fleetSizeMissing.Store(r.fleet == nil && w.g.members.FleetSize() > 0)
	w.g.metrics.storeRestores.Inc(1)
	w.g.Log.Info("store came back from an older copy", "eraBefore", oldEra, "era", newEra,
		"revisionBefore", jwstore.Number(w.lastRevision), "revision", jwstore.Number(r.revision),
		"nodes", len(r.nodes), "targets", len(r.targets), "evacuationsHeld", len(w.heldEvacuations))
}

// endHeldEvacuations ends the evacuations that were held for long enough and not written again.
func (w *storeWatcher) endHeldEvacuations(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for dc, until := range w.heldEvacuations {
		if now.After(until) {
			delete(w.heldEvacuations, dc)
			w.g.setEvacuated(now, dc, false)
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
