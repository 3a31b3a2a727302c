package jwcatalogue

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jujubewheel/core/jwpeer"
)

// WatchersPerDataCentre is how many nodes of a data centre wait on the store.
const WatchersPerDataCentre = 2

// Watchers returns the names of the nodes of a data centre that wait on the
// store for the next change, by rendezvous hash over the given live peers. No
// lock is needed: if nodes know different peers, a few more or fewer wait.
func Watchers(live []jwpeer.Peer, region, dataCentre string) []string {
	var names []string
	for _, p := range live {
		if p.State == jwpeer.Serving && p.Region == region && p.DataCentre == dataCentre {
			names = append(names, p.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight("watcher", b), weight("watcher", a)), cmp.Compare(a, b))
	})
	return names[:min(len(names), WatchersPerDataCentre)]
}

// GathererOf returns the name of the node that writes the confirmations of a
// region, or "" when none is live.
func GathererOf(live []jwpeer.Peer, region string) string {
	gatherer, highest := "", uint64(0)
	for _, p := range live {
		if p.State != jwpeer.Serving || p.Region != region {
			continue
		}
		if w := weight("gatherer", p.Name); gatherer == "" || w > highest || w == highest && p.Name < gatherer {
			gatherer, highest = p.Name, w
		}
	}
	return gatherer
}

func weight(role, name string) uint64 { return xxhash.Sum64String(role + "/" + name) }
