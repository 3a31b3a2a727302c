package jwinstance

import "time"

// maxRelayed limits how many placements a relay passes on in one report.
const maxRelayed = 512

// ReportToRelay returns the loads that the relay of another data centre should know: those of this
// node and of the nodes that report through it. A relay is a node that reports for the other nodes
// of its data centre.
func (t *Table) ReportToRelay(now time.Time) []NodeLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	t.expireReports(now)
	sums := make(map[*Target]loadSum)
	for _, r := range t.reports {
		if r.fromRelay {
			continue
		}
		for _, l := range r.loads {
			s := sums[l.Target]
			s.add(l.NodeLoad, 1)
			sums[l.Target] = s
		}
	}
	for x := range t.reportInUse() {
		s := sums[x]
		s.add(x.ownLoad(), 1)
		sums[x] = s
	}
	loads := make([]NodeLoad, 0, len(sums))
	for x, s := range sums {
		loads = append(loads, x.nodeLoad(now, s))
	}
	return loads
}

// ReportTo returns the loads that a node reporting through this one should know: those of all other
// nodes at the targets in its subset.
func (t *Table) ReportTo(now time.Time, node string) []NodeLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	t.expireReports(now)
	t.buildIndex()
	own := make(map[*Target]NodeLoad)
	for _, l := range t.reports[node].loads {
		own[l.Target] = l.NodeLoad
	}
	var loads []NodeLoad
	for service := range t.byRegion {
		for _, x := range t.subset(subsetKey{service, t.Region, node}) {
			x.reported()
			s := x.othersLoad
			s.add(own[x], -1)
			s.add(x.ownLoad(), 1)
			if s.calls > 0 {
				loads = append(loads, x.nodeLoad(now, s))
			}
		}
	}
	return loads
}

// ownLoad returns what this node has in flight at a target.
func (x *Target) ownLoad() NodeLoad {
	return NodeLoad{Calls: x.calls, CallsByLevel: x.callsByLevel, Unread: x.unread, MemoryTokens: x.memoryInUse}
}

// nodeLoad returns a sum of loads at a target as a NodeLoad for a report.
func (x *Target) nodeLoad(now time.Time, s loadSum) NodeLoad {
	l := NodeLoad{Target: x.ID, Calls: s.calls, CallsByLevel: s.callsByLevel, Unread: s.unread, MemoryTokens: s.memoryTokens}
	l.Pace, l.PaceAge = x.reportedPace(now)
	if gap, at := x.latestGap(); now.Sub(at) < reportMaxAge {
		l.Gap = gap.Milliseconds()
	}
	return l
}

// latestGap returns the time between two events that was last measured or reported, and when.
func (x *Target) latestGap() (time.Duration, time.Time) {
	if x.reportedGapAt.After(x.gapAt) {
		return x.reportedGap, x.reportedGapAt
	}
	return x.gap, x.gapAt
}

// PlacementsToRelay returns the placements of shared parts that are not older than age, of this node
// and reported to it, the latest first. The last part of a prompt belongs to one caller and is
// useful to few, so it is left out. A node that is not a relay gets only placements at targets that
// it knows. Another relay doesn't get what relays reported, which would otherwise circulate between
// them.
func (t *Table) PlacementsToRelay(now time.Time, age time.Duration, node string, toRelay bool) []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	knows := t.knownTo(node, toRelay)
	type placeKey struct {
		target string
		part   uint64
	}
	seen := make(map[placeKey]bool)
	var placed []Placement
	for i := len(t.placements) - 1; i >= 0 && len(placed) < maxRelayed; i-- {
		p := t.placements[i]
		if now.Sub(p.at) > age {
			break
		}
		if len(p.Parts) == 0 || toRelay && (p.relayed || p.remote) || knows != nil && !knows[p.Target] {
			continue
		}
		shared := p.Parts
		if !p.remote { // placements in other regions were reported without the last part
			shared = p.Parts[:len(p.Parts)-1]
		}
		if len(shared) == 0 {
			continue
		}
		key := placeKey{p.Target, shared[len(shared)-1].ID}
		if seen[key] {
			continue
		}
		seen[key] = true
		placed = append(placed, Placement{Target: p.Target, Parts: shared})
	}
	return placed
}

// knownTo returns the IDs of the targets of all regions that a node knows, or nil if it knows all.
func (t *Table) knownTo(node string, relay bool) map[string]bool {
	t.buildIndex()
	maxTargets := 0
	for _, regions := range t.byRegion {
		for _, list := range regions {
			maxTargets = max(maxTargets, len(list))
		}
	}
	if relay || maxTargets <= localSubset {
		return nil
	}
	known := make(map[string]bool)
	for service, regions := range t.byRegion {
		for region := range regions {
			for _, x := range t.subset(subsetKey{service, region, node}) {
				known[x.ID] = true
			}
		}
	}
	return known
}

// LoadColumns is a list of NodeLoad in columns, which is the form that nodes exchange: it writes
// each field name once instead of once for each target.
type LoadColumns struct {
	Targets      []string           `json:"targets"`
	Calls        []int              `json:"calls"`
	CallsByLevel []countsByPriority `json:"levels,omitempty"` // empty if no priorities are known
	Unread       []coarseCounts     `json:"work"`
	UnreadLevels []countsByPriority `json:"workLevels,omitempty"` // empty if Unread says as much
	MemoryTokens []int              `json:"held"`
	Gaps         []int64            `json:"gaps"`
	Paces        []int              `json:"paces,omitempty"` // empty if no target reported one
	PaceAges     []int64            `json:"paceAges,omitempty"`
}

// NewLoadColumns converts a list to columns; it returns nil for an empty list.
func NewLoadColumns(list []NodeLoad) *LoadColumns {
	if len(list) == 0 {
		return nil
	}
	c := &LoadColumns{
		Targets: make([]string, len(list)), Calls: make([]int, len(list)), Unread: make([]coarseCounts, len(list)),
		MemoryTokens: make([]int, len(list)), Gaps: make([]int64, len(list)),
	}
	for i, l := range list {
		c.Targets[i], c.Calls[i], c.Unread[i], c.MemoryTokens[i], c.Gaps[i] = l.Target, l.Calls, l.Unread.coarse(), l.MemoryTokens, l.Gap
		c.setOptional(i, l)
	}
	return c
}

// setOptional sets what the load has of the optional columns; a column that no load needs stays empty.
func (c *LoadColumns) setOptional(i int, l NodeLoad) {
	n := len(c.Targets)
	if l.Unread != l.Unread.coarse().fine() {
		setColumn(&c.UnreadLevels, n, i, l.Unread)
	}
	if l.CallsByLevel != (countsByPriority{}) {
		setColumn(&c.CallsByLevel, n, i, l.CallsByLevel)
	}
	if l.Pace > 0 {
		setColumn(&c.Paces, n, i, l.Pace)
		setColumn(&c.PaceAges, n, i, l.PaceAge)
	}
}

// getOptional gets what the optional columns have of a load.
func (c *LoadColumns) getOptional(i int, l *NodeLoad) {
	if i < len(c.UnreadLevels) && c.UnreadLevels[i] != (countsByPriority{}) {
		l.Unread = c.UnreadLevels[i]
	}
	if i < len(c.CallsByLevel) {
		l.CallsByLevel = c.CallsByLevel[i]
	}
	if i < min(len(c.Paces), len(c.PaceAges)) {
		l.Pace, l.PaceAge = c.Paces[i], c.PaceAges[i]
	}
}

// setColumn sets an element of a column of n elements.
func setColumn[T any](column *[]T, n, i int, value T) {
	if *column == nil {
		*column = make([]T, n)
	}
	(*column)[i] = value
}

// List converts the columns back to a list. It ends where the shortest column ends.
func (c *LoadColumns) List() []NodeLoad {
	if c == nil {
		return nil
	}
	n := min(len(c.Targets), len(c.Calls), len(c.Unread), len(c.MemoryTokens), len(c.Gaps))
	list := make([]NodeLoad, n)
	for i := range n {
		list[i] = NodeLoad{Target: c.Targets[i], Calls: c.Calls[i], Unread: c.Unread[i].fine(), MemoryTokens: c.MemoryTokens[i], Gap: c.Gaps[i]}
		c.getOptional(i, &list[i])
	}
	return list
}

// PlacementColumns is a list of Placement in columns. At holds the index in Targets of each
// placement, and Counts how many of IDs and Tokens belong to it.
type PlacementColumns struct {
	Targets []string `json:"targets"`
	At      []int    `json:"at"`
	Counts  []int    `json:"counts"`
	IDs     []uint64 `json:"ids"`
	Tokens  []int    `json:"tokens"`
}

// NewPlacementColumns converts a list to columns; it returns nil for an empty list.
func NewPlacementColumns(list []Placement) *PlacementColumns {
	if len(list) == 0 {
		return nil
	}
	c := &PlacementColumns{At: make([]int, len(list)), Counts: make([]int, len(list))}
	at := make(map[string]int)
	for i, p := range list {
		n, ok := at[p.Target]
		if !ok {
			n = len(c.Targets)
			at[p.Target] = n
			c.Targets = append(c.Targets, p.Target)
		}
		c.At[i], c.Counts[i] = n, len(p.Parts)
		for _, part := range p.Parts {
			c.IDs, c.Tokens = append(c.IDs, part.ID), append(c.Tokens, part.Tokens)
		}
	}
	return c
}

// List converts the columns back to a list. It ends where the columns are inconsistent.
func (c *PlacementColumns) List() []Placement {
	if c == nil {
		return nil
	}
	var list []Placement
	next := 0
	for i := range min(len(c.At), len(c.Counts)) {
		n := c.Counts[i]
		if c.At[i] < 0 || c.At[i] >= len(c.Targets) || n < 0 || n > min(len(c.IDs), len(c.Tokens))-next {
			break
		}
		parts := make([]Part, n)
		for k := range n {
			parts[k] = Part{c.IDs[next+k], c.Tokens[next+k]}
		}
		next += n
		list = append(list, Placement{Target: c.Targets[c.At[i]], Parts: parts})
	}
	return list
}
