package jwinstance

import (
	"encoding/json"
	"time"

	"jujubewheel/core/jwroom"
)

const (
	// reportMaxAge is how long the load reported by another node counts.
	reportMaxAge = time.Second
	// placementMaxAge is how long a placement is reported to other nodes. It covers several
	// exchanges, as one may be lost.
	placementMaxAge = 400 * time.Millisecond
	// remotePlacementMaxAge is the same for nodes of other regions, which exchange state once a
	// second.
	remotePlacementMaxAge = 1300 * time.Millisecond
)

// priorityLevels is how many levels of priority are told apart. Without overload control only three
// are used: the first two and the last.
const priorityLevels = 9

// countsByPriority is a number of calls or prompt tokens for each priority level of their requests.
type countsByPriority [priorityLevels]int

// level returns the priority level of a request; 0 is the most urgent. Without overload control the
// priorities from 2 on are one level.
func (n Need) level() int {
	const coarsePriorities = 2
	if !n.ByPriority && n.Priority >= coarsePriorities {
		return priorityLevels - 1
	}
	return min(max(n.Priority, 0), priorityLevels-1)
}

// upTo returns what a target takes before a request of a level: what is of the same level and of
// more urgent ones, which an engine takes first.
func (w countsByPriority) upTo(level int) int {
	n := 0
	for _, count := range w[:level+1] {
		n += count
	}
	return n
}

// above returns what a target takes after a request of a level: what is of less urgent levels.
func (w countsByPriority) above(level int) int {
	n := 0
	for _, count := range w[level+1:] {
		n += count
	}
	return n
}

// MarshalJSON implements json.Marshaler. It leaves out the zeros at the end.
func (w countsByPriority) MarshalJSON() ([]byte, error) {
	n := len(w)
	for n > 0 && w[n-1] == 0 {
		n--
	}
	return json.Marshal(w[:n])
}

// coarseCounts is the form of countsByPriority that nodes of all versions understand.
type coarseCounts [3]int

// coarse returns the counts of the first two levels and of all others together.
func (w countsByPriority) coarse() coarseCounts {
	return coarseCounts{w[0], w[1], w.above(1)}
}

// fine returns counts that were received as coarse ones.
func (c coarseCounts) fine() countsByPriority {
	return countsByPriority{0: c[0], 1: c[1], priorityLevels - 1: c[2]}
}

// NodeLoad is what a node has in flight at one target.
type NodeLoad struct {
	Target       string // ID
	Calls        int
	CallsByLevel countsByPriority // of Calls, those of known priority
	Unread       countsByPriority // prompt tokens of calls without a first event
	MemoryTokens int              // memory in use, in tokens
	Pace         int              // hundredths, 0 if not reported recently
	PaceAge      int64            // milliseconds since the target reported Pace
	Gap          int64            // milliseconds between two events, 0 if not measured recently
}

// nodeReport is the last report of another node of the region.
type nodeReport struct {
	at        time.Time
	fromRelay bool // sent by a relay, so it includes what others reported to it
	loads     []targetLoad
}

// targetLoad is a reported load with the target that it refers to.
type targetLoad struct {
	*Target
	NodeLoad
}

// Placement says which parts of a prompt were sent to a target.
type Placement struct {
	Target   string `json:"target"`
	Parts    []Part `json:"parts"`
	at       time.Time
	received bool // reported by another node
	relayed  bool // reported by a relay, which passes it on to other nodes itself
	remote   bool // at a target of another region
}

// recordPlacement records that a prompt was sent to a target.
func (t *Table) recordPlacement(now time.Time, x *Target, p Prompt) {
	if len(p.Parts) == 0 {
		return
	}
	x.cache.markUsed(p.Parts, x.capacity)
	t.addPlacement(now, Placement{Target: x.ID, Parts: p.Parts, at: now})
}

// addPlacement adds a placement and drops those that are too old to be reported.
func (t *Table) addPlacement(now time.Time, p Placement) {
	t.placements = append(t.placements, p)
	expired := 0
	for expired < len(t.placements) && now.Sub(t.placements[expired].at) > remotePlacementMaxAge {
		expired++
	}
	t.placements = append(t.placements[:0], t.placements[expired:]...)
}

// Report returns this node's report to the other nodes of the region: its load at each target, and
// where it recently sent which prompts.
func (t *Table) Report(now time.Time) ([]NodeLoad, []Placement) {
	return t.ReportSince(now, placementMaxAge)
}

// ReportSince is like Report, with the placements that are not older than age.
func (t *Table) ReportSince(now time.Time, age time.Duration) ([]NodeLoad, []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	t.expireReports(now)
	var loads []NodeLoad
	for x := range t.reportInUse() {
		l := x.ownLoad()
		l.Target = x.ID
		l.Pace, l.PaceAge = x.reportedPace(now)
		if now.Sub(x.gapAt) < placementMaxAge {
			l.Gap = x.gap.Milliseconds()
		}
		loads = append(loads, l)
	}
	var placed []Placement
	for _, p := range t.placements {
		if !p.received && now.Sub(p.at) <= age {
			placed = append(placed, p)
		}
	}
	return loads, placed
}

// ReportRemote returns the report to nodes of other regions: where large parts that many prompts
// share were recently sent. Targets there can fetch these parts instead of reading them.
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
		shared := p.Parts[:len(p.Parts)-1] // the last part belongs to one caller
		last := shared[len(shared)-1]
		if sent[last.ID] || last.Tokens < minFetchTokens {
			continue
		}
		sent[last.ID] = true
		placed = append(placed, Placement{Target: p.Target, Parts: shared})
	}
	return placed
}

// Merge merges the report of another node of the region.
func (t *Table) Merge(now time.Time, node string, loads []NodeLoad, placed []Placement) {
	t.merge(now, node, false, loads, placed)
}

// MergeRelay merges the report of a relay of the region, which has its own load and that of the
// nodes that report through it.
func (t *Table) MergeRelay(now time.Time, node string, loads []NodeLoad, placed []Placement) {
	t.merge(now, node, true, loads, placed)
}

// merge replaces the last report of a node and records its placements.
func (t *Table) merge(now time.Time, node string, fromRelay bool, loads []NodeLoad, placed []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropReport(node)
	t.expireReports(now)
	report := nodeReport{at: now, fromRelay: fromRelay}
	for _, l := range loads {
		x := t.targets[l.Target]
		if x == nil {
			continue
		}
		x.othersLoad.add(l, 1)
		if pace := float64(l.Pace) / 100; t.reportsPace(x, pace) {
			age := time.Duration(min(max(l.PaceAge, 0), reportMaxAge.Milliseconds())) * time.Millisecond
			x.mergePace(now.Add(-age), pace)
		}
		if l.Gap > 0 {
			x.reportedGap, x.reportedGapAt = time.Duration(l.Gap)*time.Millisecond, now
			if s := t.statsOf(x.Service); s.gap == 0 {
				s.gap = x.reportedGap
			}
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
		p.at, p.received, p.relayed, p.remote = now, true, fromRelay, x.Region != t.Region
		t.addPlacement(now, p)
	}
}

// coldReportTolerance is how much longer a target must stay cold by another node's report than by
// this node's record for the report to count. A smaller difference is due to the transmission time
// between the nodes, and nodes that adopted each other's reports would keep a target cold
// forever.
const coldReportTolerance = 50 * time.Millisecond

// ReportCold returns, by target ID, how many milliseconds each cold target of the region stays
// cold. Only one node notices when a target becomes cold without a registration.
func (t *Table) ReportCold(now time.Time) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cold map[string]int64
	for x := range t.marked.cold {
		left := x.coldUntil.Sub(now)
		if left <= 0 || t.targets[x.ID] != x { // an answer may come after the target has restarted
			delete(t.marked.cold, x)
			continue
		}
		if x.Region == t.Region && x.goneAt.IsZero() {
			if cold == nil {
				cold = make(map[string]int64)
			}
			cold[x.ID] = left.Milliseconds()
		}
	}
	return cold
}

// NewlyCold is a target that this node took for warm until it learned otherwise.
type NewlyCold struct {
	ID    string
	Left  time.Duration // for how long it stays cold
	Sends int           // of this node to it within the last second
}

// MergeCold merges another node's report of cold targets and returns those that this node took for
// warm.
func (t *Table) MergeCold(now time.Time, cold map[string]int64) []NewlyCold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []NewlyCold
	for id, ms := range cold {
		left := time.Duration(ms) * time.Millisecond
		x := t.targets[id]
		if x == nil || x.coldUntil.Sub(now) >= left-coldReportTolerance {
			continue
		}
		if x.confirmation.presumedUntil.Sub(now) >= left-coldReportTolerance {
			continue // the target has said since that it is warm
		}
		if !now.Before(x.coldUntil) {
			news = append(news, NewlyCold{ID: id, Left: left, Sends: x.sendsWithinSecond(now)})
		}
		t.setColdUntil(x, now.Add(left))
	}
	return news
}

// Probes returns the usable targets of a service in the region that this node has to ask whether
// they are cold: those that it owns or, where the region has more targets than a node chooses from,
// those to which it sent a request within the last second. A probe counts as a request to a target
// that announces a limit.
func (t *Table) Probes(now time.Time, service string, owns func(target string) bool) []*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buildIndex()
	local := t.byRegion[service][t.Region]
	shared := len(local) > localSubset
	if shared {
		local = t.subset(subsetKey{service, t.Region, t.Node})
	}
	var list []*Target
	for _, x := range local {
		if !t.usable(now, x, false) || x.isCold(now) {
			continue
		}
		if shared && !x.sentRecently(now) || !shared && !owns(x.ID) {
			continue
		}
		if x.limit.Announced {
			if !t.limitAllows(now, x) {
				continue
			}
			x.limit.bucket.Take()
		}
		list = append(list, x)
	}
	return list
}

// DiscardReports discards the loads that other nodes reported, after this node itself was paused.
func (t *Table) DiscardReports() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node := range t.reports {
		t.dropReport(node)
	}
	for _, x := range t.targets {
		x.lease = jwroom.Lease{}
	}
}

// dropReport subtracts a node's loads from the sums and deletes its report.
func (t *Table) dropReport(node string) {
	for _, l := range t.reports[node].loads {
		l.Target.othersLoad.add(l.NodeLoad, -1)
	}
	delete(t.reports, node)
}

// expireReports drops the reports of nodes that have sent nothing for reportMaxAge.
func (t *Table) expireReports(now time.Time) {
	for node, report := range t.reports {
		if now.Sub(report.at) >= reportMaxAge {
			t.dropReport(node)
		}
	}
}

// loadSum is the load of the other nodes of the region at a target. It is updated with each report
// instead of being summed for each decision, as a region of full size has about 75 nodes.
type loadSum struct {
	calls        int
	callsByLevel countsByPriority
	unread       countsByPriority
	memoryTokens int
}

// add adds a load if sign is 1, and subtracts it if sign is -1.
func (s *loadSum) add(l NodeLoad, sign int) {
	s.calls += sign * l.Calls
	s.memoryTokens += sign * l.MemoryTokens
	for i := range priorityLevels {
		s.callsByLevel[i] += sign * l.CallsByLevel[i]
		s.unread[i] += sign * l.Unread[i]
	}
}
