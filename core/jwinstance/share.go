package jwinstance

import "time"

const (
	// othersAge is how long the load that another node reported counts.
	reportMaxAge = time.Second
	// placedAge is how long a placement is reported to the others: several
	// exchanges, as one may be lost.
	placementMaxAge = 400 * time.Millisecond
	// farAge is the same for nodes of other regions, which exchange state once a second.
	remotePlacementMaxAge = 1300 * time.Millisecond
)

// ranks is how many ranks of urgency are reported apart; all beyond are the last.
const priorityLevels = 3

// work is prompt tokens by the rank of their requests.
type tokensByPriority [priorityLevels]int

func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// before returns the tokens that are read before a request of a priority: an
// engine takes the more urgent ones first.
func (w tokensByPriority) upTo(priority int) int {
	n := 0
	for _, tokens := range w[:priorityLevel(priority)+1] {
		n += tokens
	}
	return n
}

// NodeLoad is what a node has in flight at one target.
type NodeLoad struct {
	Target       string           `json:"target"`
	Calls        int              `json:"calls"`
	Unread       tokensByPriority `json:"work"`           // prompt tokens without a first event
	MemoryTokens int              `json:"held,omitempty"` // tokens of memory
	Gap          int64            `json:"gap,omitempty"`  // milliseconds between two events
}

// nodeReport is what another node of the region reported last.
type nodeReport struct {
	at        time.Time
	fromRelay bool // it is the report of a relay, with what others reported to it
	loads     []targetLoad
}

type targetLoad struct {
	*Target
	NodeLoad
}

// Placement says which parts of a prompt were sent to a target.
type Placement struct {
	Target   string `json:"target"`
	Parts    []Part `json:"parts"`
	at       time.Time
	received bool // from another node of the region
	relayed  bool // from a relay, which passes it on to others itself
	remote   bool // at a target of another region
}

// place notes that a prompt was sent to a target.
func (t *Table) recordPlacement(now time.Time, x *Target, p Prompt) {
	if len(p.Parts) == 0 {
		return
	}
	x.cache.markUsed(p.Parts, x.capacity)
	t.addPlacement(now, Placement{Target: x.ID, Parts: p.Parts, at: now})
}

// keep holds a placement as long as it is reported to others.
func (t *Table) addPlacement(now time.Time, p Placement) {
	t.placements = append(t.placements, p)
	expired := 0
	for expired < len(t.placements) && now.Sub(t.placements[expired].at) > remotePlacementMaxAge {
		expired++
	}
	t.placements = append(t.placements[:0], t.placements[expired:]...)
}

// Report returns what goes to the other nodes of the region: this node's
// load at each target, and where it sent which prompts a moment ago.
func (t *Table) Report(now time.Time) ([]NodeLoad, []Placement) {
	return t.ReportSince(now, placementMaxAge)
}

// ReportSince returns the same with the placements of an age.
func (t *Table) ReportSince(now time.Time, age time.Duration) ([]NodeLoad, []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	t.expireReports(now)
	var loads []NodeLoad
	for _, x := range t.targets {
		if x.calls > 0 {
			l := NodeLoad{Target: x.ID, Calls: x.calls, Unread: x.unread, MemoryTokens: x.memoryInUse}
			if now.Sub(x.gapAt) < placementMaxAge {
				l.Gap = x.gap.Milliseconds()
			}
			loads = append(loads, l)
		}
	}
	var placed []Placement
	for _, p := range t.placements {
		if !p.received && now.Sub(p.at) <= age {
			placed = append(placed, p)
		}
	}
	return loads, placed
}

// ReportRemote returns what nodes of other regions should know: where the large
// parts that many prompts share were sent a moment ago. A target there can
// fetch them instead of reading them.
func (t *Table) ReportRemote(now time.Time) []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var placed []Placement
	sent := make(map[uint64]bool)
	for i := len(t.placements) - 1; i >= 0; i-- {
		p := t.placements[i]
		if now.Sub(p.at) > remotePlacementMaxAge || len(p.Parts) < 2 || p.remote {
			continue
		}
		shared := p.Parts[:len(p.Parts)-1] // the last one belongs to one caller
		last := shared[len(shared)-1]
		if sent[last.ID] || last.Tokens < minFetchTokens {
			continue
		}
		sent[last.ID] = true
		placed = append(placed, Placement{Target: p.Target, Parts: shared})
	}
	return placed
}

// Merge merges what another node of the region reported.
func (t *Table) Merge(now time.Time, node string, loads []NodeLoad, placed []Placement) {
	t.merge(now, node, false, loads, placed)
}

// MergeRelay merges what a relay of the region reported: its own loads and those of the
// nodes that report through it.
func (t *Table) MergeRelay(now time.Time, node string, loads []NodeLoad, placed []Placement) {
	t.merge(now, node, true, loads, placed)
}

func (t *Table) merge(now time.Time, node string, relay bool, loads []NodeLoad, placed []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropReport(node)
	t.expireReports(now)
	report := nodeReport{at: now, fromRelay: relay}
	for _, l := range loads {
		x := t.targets[l.Target]
		if x == nil {
			continue
		}
		x.othersLoad.add(l, 1)
		if l.Gap > 0 {
			x.reportedGap, x.reportedGapAt = time.Duration(l.Gap)*time.Millisecond, now
		}
		report.loads = append(report.loads, targetLoad{x, l})
	}
	if t.reports == nil {
		t.reports = make(map[string]nodeReport)
	}
	t.reports[node] = report
	for _, p := range placed {
		x := t.targets[p.Target]
		if x == nil {
			continue
		}
		if t.knows(x) {
			x.cache.markUsed(p.Parts, x.capacity)
		}
		p.at, p.received, p.relayed, p.remote = now, true, relay, x.Region != t.Region
		t.addPlacement(now, p)
	}
}

// coldDrift is by how much a target must be colder by the report of another node
// than by this one's: less is the way between them, and nodes that took each
// other's report would keep it cold for ever.
const coldReportTolerance = 50 * time.Millisecond

// ReportCold returns how many milliseconds each cold target of the region stays
// so: one that goes cold without a registration is noticed by one node only.
func (t *Table) ReportCold(now time.Time) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cold map[string]int64
	for _, x := range t.targets {
		if left := x.coldUntil.Sub(now); left > 0 && x.Region == t.Region && x.goneAt.IsZero() {
			if cold == nil {
				cold = make(map[string]int64)
			}
			cold[x.ID] = left.Milliseconds()
		}
	}
	return cold
}

// MergeCold merges what another node of the region reports of cold targets.
func (t *Table) MergeCold(now time.Time, cold map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, ms := range cold {
		left := time.Duration(ms) * time.Millisecond
		if x := t.targets[id]; x != nil && x.coldUntil.Sub(now) < left-coldReportTolerance {
			x.coldUntil = now.Add(left)
		}
	}
}

// Probes returns the targets of the region that may be used and are not known to
// be cold, to be asked whether they are. A question counts as a request to a target that
// names a limit.
func (t *Table) Probes(now time.Time) []*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Target
	for _, x := range t.targets {
		if x.Region != t.Region || !t.usable(now, x, false) || now.Before(x.coldUntil) {
			continue
		}
		if x.limit.Named {
			if !t.limitAllows(now, x) {
				continue
			}
			x.limit.bucket.Take()
		}
		list = append(list, x)
	}
	return list
}

// Resumed forgets the loads that other nodes reported: the node itself stood still.
func (t *Table) Resumed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node := range t.reports {
		t.dropReport(node)
	}
}

// dropReport takes a node's loads out of the sums.
func (t *Table) dropReport(node string) {
	for _, l := range t.reports[node].loads {
		l.Target.othersLoad.add(l.NodeLoad, -1)
	}
	delete(t.reports, node)
}

// expireReports forgets the nodes that have reported nothing for othersAge.
func (t *Table) expireReports(now time.Time) {
	for node, report := range t.reports {
		if now.Sub(report.at) >= reportMaxAge {
			t.dropReport(node)
		}
	}
}

// sum is what the other nodes of the region have at a target. It is kept, and
// not added up for each decision: a region of full size has some 75 nodes.
type loadSum struct {
	calls        int
	unread       tokensByPriority
	memoryTokens int
}

func (s *loadSum) add(l NodeLoad, sign int) {
	s.calls += sign * l.Calls
	s.memoryTokens += sign * l.MemoryTokens
	for i, tokens := range l.Unread {
		s.unread[i] += sign * tokens
	}
}
