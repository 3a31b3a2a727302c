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

// holdFor returns how long a key that is missing from a store restored from an older copy still
// counts as stored.
func (w *storeWatcher) holdFor(key string) time.Duration {
	if _, ok := w.g.Records.Evacuation(key); ok {
		return restoredEvacuationHold
	}
	return 0
}

// noteStoreRestored records that a read of all keys shows that the store was restored from an older
// copy. w.mu must be held.
func (w *storeWatcher) noteStoreRestored(r *fullRead) {
	oldEra, newEra := jwstore.Era(w.lastRevision), jwstore.Era(r.revision)
	if w.lastRevision == 0 || newEra <= oldEra {
		return
	}
	w.g.fleetSizeMissing.Store(!w.facts.Has(fleetSizeKey) && w.g.members.FleetSize() > 0)
	w.g.metrics.storeRestores.Inc(1)
	w.g.Log.Info("store came back from an older copy", "eraBefore", oldEra, "era", newEra,
		"revisionBefore", jwstore.Number(w.lastRevision), "revision", jwstore.Number(r.revision),
		"nodes", len(w.facts.Names(nodePrefix)), "targets", len(r.targets), "evacuationsHeld", w.facts.Held())
}

// endHeldEvacuations ends the evacuations that were kept in force for restoredEvacuationHold and
// not written again.
func (w *storeWatcher) endHeldEvacuations(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.g.applyFacts(now, w.facts.EndHolds(now), fromEndOfHold)
}

// delayFullRead waits for a random time before all keys are read again, if the fleet is large: all
// its nodes learn at the same time that they have to.
func (g *Gateway) delayFullRead(ctx context.Context) {
	if g.members.Count(time.Now(), "") > scaleNodes {
		jwclock.Sleep(ctx, rand.N(g.retryWait(watchRetry)))
	}
}
