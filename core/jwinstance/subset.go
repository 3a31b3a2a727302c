package jwinstance

import (
	"slices"
	"strings"
	"time"

	"jujubewheel/core/jwtarget"
)

const (
	// localSubset is how many targets of a service in its own region a node chooses
	// among, and is reported the loads of. Were it all, what relays report would grow with
	// targets times nodes.
	localSubset = 64
	// remoteSubset is the same for each other region, whose targets are only asked what
	// prompts they keep.
	remoteSubset = 16
)

// subsetKey names the targets that a node knows of a service in a region.
type subsetKey struct{ service, region, node string }

// of returns the targets of a service that this node knows: its subsets of all regions,
// by name.
func (t *Table) of(service string) []*Target {
	t.index()
	list, ok := t.known[service]
	if !ok {
		for region := range t.places[service] {
			list = append(list, t.subset(subsetKey{service, region, t.Node})...)
		}
		sortByID(list)
		t.known[service] = list
	}
	return list
}

// subset returns the targets of a service in a region that a node knows: those that rank
// highest for it by rendezvous hashing, so that all nodes agree on them and few change
// when a target comes or goes.
func (t *Table) subset(k subsetKey) []*Target {
	t.index()
	list, ok := t.subsets[k]
	if ok {
		return list
	}
	list = t.places[k.service][k.region]
	most := localSubset
	if k.region != t.Region {
		most = remoteSubset
	}
	if len(list) > localSubset {
		list = slices.Clone(list)
		node := jwtarget.NameKey(k.node)
		slices.SortFunc(list, func(a, b *Target) int {
			switch x, y := jwtarget.Mix(a.key, node), jwtarget.Mix(b.key, node); {
			case x > y:
				return -1
			case x < y:
				return 1
			}
			return strings.Compare(a.ID, b.ID)
		})
		list = list[:most]
	}
	t.subsets[k] = list
	return list
}

// Knows tells whether this node chooses among others and a target, by its name.
func (t *Table) Knows(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.targets[id]
	return x != nil && t.knows(x)
}

// Known returns the registrations of the targets that this node chooses among, by name.
func (t *Table) Known(now time.Time) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index()
	var list []Instance
	for service := range t.places {
		for _, x := range t.subset(subsetKey{service, t.Region, t.Node}) {
			if x.gone.IsZero() {
				list = append(list, x.instance(now))
			}
		}
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// knows tells whether this node chooses among others and a target.
func (t *Table) knows(x *Target) bool {
	t.index()
	return len(t.places[x.Service][x.Region]) <= localSubset || slices.Contains(t.subset(subsetKey{x.Service, x.Region, t.Node}), x)
}

// index sorts the targets by service and region, if any came or went since.
func (t *Table) index() {
	if t.places != nil {
		return
	}
	t.places = make(map[string]map[string][]*Target)
	t.known = make(map[string][]*Target)
	t.subsets = make(map[subsetKey][]*Target)
	for _, x := range t.targets {
		regions := t.places[x.Service]
		if regions == nil {
			regions = make(map[string][]*Target)
			t.places[x.Service] = regions
		}
		regions[x.Region] = append(regions[x.Region], x)
	}
	for _, regions := range t.places {
		for _, list := range regions {
			sortByID(list)
		}
	}
}

// reindex forgets the order of targets after one came or went.
func (t *Table) reindex() { t.places, t.slots = nil, nil }

// Regions returns how many usable slots a service has in each region. It must not be
// changed.
func (t *Table) Regions(service string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slots, ok := t.slots[service]; ok {
		return slots
	}
	t.index()
	slots := make(map[string]int)
	for region, list := range t.places[service] {
		for _, x := range list {
			if x.gone.IsZero() && !x.Draining && !t.evacuated[x.DataCentre] {
				slots[region] += max(x.Slots, 1)
			}
		}
	}
	if t.slots == nil {
		t.slots = make(map[string]map[string]int)
	}
	t.slots[service] = slots
	return slots
}

func sortByID(list []*Target) {
	slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
}
