package jwgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// restoredEvacuationHold is how long an evacuation stays in force that is missing from a store
// restored from an older copy. Operators write their evacuations again in the meantime.
const restoredEvacuationHold = 10 * time.Second

// checkStoreRestored detects by a read of all keys that the store was restored from an older copy,
// and keeps the evacuations that are missing from it for a while. w.mu must be held.
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

// endHeldEvacuations ends the evacuations that were kept in force for restoredEvacuationHold and
// not written again.
func (w *storeWatcher) endHeldEvacuations(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for dc, until := range w.heldEvacuations {
		if now.After(until) {
			delete(w.heldEvacuations, dc)
			w.g.setEvacuated(now, dc, false, "end of its hold", w.lastRevision)
		}
	}
}

// delayFullRead waits for a random time before all keys are read again, if the fleet is large: all
// its nodes learn at the same time that they have to.
func (g *Gateway) delayFullRead(ctx context.Context) {
	if g.members.Count(time.Now(), "") > scaleNodes {
		jwclock.Sleep(ctx, rand.N(g.retryWait(watchRetry)))
	}
}
