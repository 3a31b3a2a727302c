package jwinstance

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jujubewheel/core/jwtarget"
)

const (
	// localSubset is how many targets of a service a node chooses from in its own region, and gets
	// load reports for. If it were all of them, the reports of relays would grow with the product
	// of targets and nodes.
	localSubset = 64
	// remoteSubset is the same for each other region, whose targets are only considered for the
	// prompts that they have cached.
	remoteSubset = 16
)

// subsetKey identifies the subset of a service's targets in a region that a node knows.
type subsetKey struct{ service, region, node string }

// subset holds the targets that a node knows in a region with more than localSubset of them, the
// highest score first.
type subset struct {
	scores []uint64 // rendezvous hashing scores of the targets in list
	list   []*Target
}

// knownTargets returns the targets of a service that this node knows, that is, its subsets of all
// regions, sorted by ID.
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

// subset returns the targets of a service in a region that a node knows. They are selected by
// rendezvous hashing, so that all nodes agree on them and few change when a target is added or
// removed.
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

// subsetSize returns how many targets a node knows in a region with more than localSubset of them.
func (t *Table) subsetSize(region string) int {
	if region == t.Region {
		return localSubset
	}
	return remoteSubset
}

// selectSubset returns the targets in all that score highest for a node.
func (t *Table) selectSubset(k subsetKey, all []*Target) *subset {
	type scored struct {
		score uint64
		x     *Target
	}
	node := jwtarget.NameKey(k.node)
	order := make([]scored, len(all))
	for i, x := range all {
		order[i] = scored{jwtarget.Mix(x.nameHash, node), x}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	size := t.subsetSize(k.region)
	s := &subset{scores: make([]uint64, size), list: make([]*Target, size)}
	for i := range size {
		s.scores[i], s.list[i] = order[i].score, order[i].x
	}
	return s
}

// addToIndex adds a new target to the sorted lists, and to the subsets for which its score is high
// enough.
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
		delete(t.known, x.Service) // until now this node knew all of them
	}
}

// add replaces the last target if the new one scores higher, and reports whether it does.
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

// replaceInIndex replaces a target that restarted by its new incarnation.
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

// removeFromIndex removes a target from the sorted lists and drops the subsets that this changes.
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

// Knows reports whether this node chooses from a subset that includes the target with the given ID.
func (t *Table) Knows(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.targets[id]
	return x != nil && t.knows(x)
}

// Known returns the registrations of the targets of the region that this node chooses from, sorted
// by ID.
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

// knows reports whether this node knows a target, that is, has it in a subset.
func (t *Table) knows(x *Target) bool {
	t.buildIndex()
	return t.knownBy(x, t.Node)
}

// buildIndex sorts the targets by service and region, if the index was invalidated.
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

// invalidateIndex makes the next use of the index rebuild it.
func (t *Table) invalidateIndex() { t.byRegion, t.usableSlots = nil, nil }

// Regions returns how many usable slots a service has in each region. Callers must not change the
// map.
func (t *Table) Regions(service string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slots, ok := t.usableSlots[service]; ok {
		return slots
	}
	slots := t.countSlots(Need{Service: service})
	if t.usableSlots == nil {
		t.usableSlots = make(map[string]map[string]int)
	}
	t.usableSlots[service] = slots
	return slots
}

// countSlots counts the slots of usable targets by region.
func (t *Table) countSlots(n Need) map[string]int {
	t.buildIndex()
	slots := make(map[string]int)
	for region, list := range t.byRegion[n.Service] {
		for _, x := range list {
			if x.goneAt.IsZero() && !x.Draining && !x.Leaving && !t.evacuated[x.DataCentre] && n.fits(x) {
				slots[region] += max(x.Slots, 1)
			}
		}
	}
	return slots
}

func sortByID(list []*Target) { slices.SortFunc(list, byID) }

func byID(a, b *Target) int { return strings.Compare(a.ID, b.ID) }
