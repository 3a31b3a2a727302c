package jwinstance

import (
	"cmp"
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

// subset is the targets that a node knows, those that rank highest first.
type subset struct {
	scores []uint64 // nil where it has all targets of the region
	list   []*Target
}

// of returns the targets of a service that this node knows: its subsets of all regions,
// by name.
func (t *Table) knownTargets(service string) []*Target {
	t.buildIndex()
	list, ok := t.known[service]
	if !ok {
		for region := range t.byRegion[service] {
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
	t.buildIndex()
	all := t.byRegion[k.service][k.region]
	if len(all) <= localSubset {
		return all
	}
	s, ok := t.subsets[k]
	if !ok {
		s = t.selectSubset(k, all)
		t.subsets[k] = s
	}
	return s.list
}

// subsetSize returns how many targets of a region with many a node knows.
func (t *Table) subsetSize(region string) int {
	if region == t.Region {
		return localSubset
	}
	return remoteSubset
}

func (t *Table) selectSubset(k subsetKey, all []*Target) *subset {
	type scored struct {
		rank uint64
		x    *Target
	}
	node := jwtarget.NameKey(k.node)
	order := make([]scored, len(all))
	for i, x := range all {
		order[i] = scored{jwtarget.Mix(x.nameHash, node), x}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Compare(b.rank, a.rank) })
	size := t.subsetSize(k.region)
	s := &subset{scores: make([]uint64, size), list: make([]*Target, size)}
	for i := range size {
		s.scores[i], s.list[i] = order[i].rank, order[i].x
	}
	return s
}

// insert brings a new target into the order, and into the subsets that it ranks high for.
func (t *Table) addToIndex(x *Target) {
	t.usableSlots = nil
	if t.byRegion == nil {
		return
	}
	regions := t.byRegion[x.Service]
	if regions == nil {
		regions = make(map[string][]*Target)
		t.byRegion[x.Service] = regions
	}
	list := regions[x.Region]
	i, _ := slices.BinarySearchFunc(list, x, byID)
	regions[x.Region] = slices.Insert(list, i, x)
	if len(list) < localSubset {
		delete(t.known, x.Service)
		return
	}
	for k, s := range t.subsets {
		if k.service == x.Service && k.region == x.Region && s.add(jwtarget.Mix(x.nameHash, jwtarget.NameKey(k.node)), x) && k.node == t.Node {
			delete(t.known, x.Service)
		}
	}
	if len(list) == localSubset {
		delete(t.known, x.Service) // it had all of them until now
	}
}

// add takes a target in place of the last one, if it ranks higher.
func (s *subset) add(score uint64, x *Target) bool {
	last := len(s.scores) - 1
	if score <= s.scores[last] {
		return false
	}
	i, _ := slices.BinarySearchFunc(s.scores, score, func(a, b uint64) int { return cmp.Compare(b, a) })
	s.scores = slices.Insert(s.scores[:last], i, score)
	s.list = slices.Insert(s.list[:last], i, x)
	return true
}

// replace puts a target that began anew in the place of the one before.
func (t *Table) replaceInIndex(old, x *Target) {
	if old.Service != x.Service || old.Region != x.Region {
		t.invalidateIndex()
		return
	}
	t.usableSlots = nil
	put := func(list []*Target) {
		if i := slices.Index(list, old); i >= 0 {
			list[i] = x
		}
	}
	put(t.byRegion[x.Service][x.Region])
	put(t.known[x.Service])
	for k, s := range t.subsets {
		if k.service == x.Service && k.region == x.Region {
			put(s.list)
		}
	}
}

// remove takes a target out of the order.
func (t *Table) removeFromIndex(x *Target) {
	t.usableSlots = nil
	list := t.byRegion[x.Service][x.Region]
	i := slices.Index(list, x)
	if i < 0 {
		return
	}
	t.byRegion[x.Service][x.Region] = slices.Delete(list, i, i+1)
	delete(t.known, x.Service)
	for k, s := range t.subsets {
		if k.service == x.Service && k.region == x.Region && (len(list)-1 <= localSubset || slices.Contains(s.list, x)) {
			delete(t.subsets, k)
		}
	}
}

// Knows reports whether this node chooses among others and a target, by its name.
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
	t.buildIndex()
	var list []Instance
	for service := range t.byRegion {
		for _, x := range t.subset(subsetKey{service, t.Region, t.Node}) {
			if x.goneAt.IsZero() {
				list = append(list, x.registration(now))
			}
		}
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// knows reports whether this node chooses among others and a target.
func (t *Table) knows(x *Target) bool {
	t.buildIndex()
	return t.knownBy(x, t.Node)
}

// index sorts the targets by service and region, if any came or went since.
func (t *Table) buildIndex() {
	if t.byRegion != nil {
		return
	}
	t.byRegion = make(map[string]map[string][]*Target)
	t.known = make(map[string][]*Target)
	t.subsets = make(map[subsetKey]*subset)
	for _, x := range t.targets {
		regions := t.byRegion[x.Service]
		if regions == nil {
			regions = make(map[string][]*Target)
			t.byRegion[x.Service] = regions
		}
		regions[x.Region] = append(regions[x.Region], x)
	}
	for _, regions := range t.byRegion {
		for _, list := range regions {
			sortByID(list)
		}
	}
}

// reindex forgets the order of targets.
func (t *Table) invalidateIndex() { t.byRegion, t.usableSlots = nil, nil }

// Regions returns how many usable slots a service has in each region. It must not be
// changed.
func (t *Table) Regions(service string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slots, ok := t.usableSlots[service]; ok {
		return slots
	}
	t.buildIndex()
	slots := make(map[string]int)
	for region, list := range t.byRegion[service] {
		for _, x := range list {
			if x.goneAt.IsZero() && !x.Draining && !x.Leaving && !t.evacuated[x.DataCentre] {
				slots[region] += max(x.Slots, 1)
			}
		}
	}
	if t.usableSlots == nil {
		t.usableSlots = make(map[string]map[string]int)
	}
	t.usableSlots[service] = slots
	return slots
}

func sortByID(list []*Target) { slices.SortFunc(list, byID) }

func byID(a, b *Target) int { return strings.Compare(a.ID, b.ID) }
