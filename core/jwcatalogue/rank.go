package jwcatalogue

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jujubewheel/core/jwpeer"
)

// WatchersPerDataCentre is how many nodes of a data centre wait on the service.
const WatchersPerDataCentre = 2

// Watchers returns the names of the nodes of a data centre that wait on the
// service for the next change, by rendezvous hash over the live peers given.
// No lock is needed: with other views of who lives a few more or fewer wait.
func Watchers(live []jwpeer.Peer, region, dataCentre string) []string {
	names := rank(live, "watcher", func(p jwpeer.Peer) bool {
		return p.Region == region && p.DataCentre == dataCentre
	})
	return names[:min(len(names), WatchersPerDataCentre)]
}

// GathererOf returns the name of the node that gathers the confirmations of a
// region, or "" when none is live.
func GathererOf(live []jwpeer.Peer, region string) string {
	names := rank(live, "gatherer", func(p jwpeer.Peer) bool { return p.Region == region })
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

func rank(live []jwpeer.Peer, job string, fits func(jwpeer.Peer) bool) []string {
	var names []string
	for _, p := range live {
		if p.State == jwpeer.Serving && fits(p) {
			names = append(names, p.Name)
		}
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(job + "/" + name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return names
}
