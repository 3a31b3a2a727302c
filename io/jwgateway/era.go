package jwgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// evacuationHold is how long an evacuation lasts that a store which came back from an older
// copy doesn't hold: operators write theirs again meanwhile.
const evacuationHold = 10 * time.Second

// noteEra notes whether a reading of everything shows that the store has come back from an
// older copy; f.mu is held.
func (f *follower) noteEra(now time.Time, r *reading) {
	before, era := jwstore.Era(f.known), jwstore.Era(r.revision)
	if f.known == 0 || era <= before {
		return
	}
	for _, dc := range f.g.targets.Evacuated() {
		if !r.evacuate[dc] {
			f.evacuated[dc] = now.Add(evacuationHold)
		}
	}
	f.g.fleetLost.Store(r.fleet == nil && f.g.members.FleetSize() > 0)
	f.g.meters.returns.Inc(1)
	f.g.Log.Info("store came back from an older copy", "eraBefore", before, "era", era,
		"revisionBefore", jwstore.Number(f.known), "revision", jwstore.Number(r.revision),
		"nodes", len(r.nodes), "targets", len(r.targets), "evacuationsHeld", len(f.evacuated))
}

// endHeld ends the evacuations that were held for long enough and not written again.
func (f *follower) endHeld(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for dc, until := range f.evacuated {
		if now.After(until) {
			delete(f.evacuated, dc)
			f.g.evacuate(now, dc, false)
		}
	}
}

// spreadReading waits for a moment before everything is read anew, in a large fleet: all its
// nodes learn at once that they have to.
func (g *Gateway) spreadReading(ctx context.Context) {
	if g.members.Count(time.Now(), "") > followNodes {
		jwclock.Sleep(ctx, rand.N(g.retryWait(followRetry)))
	}
}
