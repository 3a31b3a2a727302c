package jwgateway

import "jujubewheel/core/jwstore"

// noteEra notes whether a reading of everything shows that the store has come back from an
// older copy; f.mu is held.
func (f *follower) noteEra(r *reading) {
	before, now := jwstore.Era(f.known), jwstore.Era(r.revision)
	if f.known == 0 || now <= before {
		return
	}
	f.g.meters.returns.Inc(1)
	f.g.Log.Info("store came back from an older copy", "eraBefore", before, "era", now,
		"revisionBefore", jwstore.Number(f.known), "revision", jwstore.Number(r.revision),
		"nodes", len(r.nodes), "targets", len(r.targets))
}
