package jwlimit

import (
	"maps"
	"slices"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwtarget"
)

// How the nodes of a region share an entry's limits.
const (
	evenFraction = 0.5                    // part of a limit split evenly; the rest goes by demand
	maxReportAge = 5 * time.Second        // how long a node's report of its demand counts
	shareTTL     = 200 * time.Millisecond // how long a computed share stands
	rateWindow   = time.Second            // time over which demand is averaged
)

// Usage is what a node reports to the others of one entry.
type Usage struct {
	Name    string  // of the entry
	Rate    float64 // requests that asked, a second
	Running int
}

// usageReport is another node's report about an entry.
type usageReport struct {
	rate    float64
	running int
	at      time.Time
}

// meter counts the requests of one entry on this node.
type meter struct {
	running         int
	rate            float64 // requests that asked, a second, averaged
	rateUpdatedAt   time.Time
	tokens          float64
	refilled        time.Time
	reservations    reservationQueue
	reported        map[string]usageReport // by node
	ownReported     float64                // rate that this node last reported
	share           share
	shareComputedAt time.Time // when share was computed
}

// share is this node's part of an entry's limits.
type share struct {
	fraction   float64 // of the rate
	concurrent int
}

// recordRequest takes one request into the average rate.
func (m *meter) recordRequest(now time.Time) {
	m.rate = m.rateAt(now) + 1/rateWindow.Seconds()
	m.rateUpdatedAt = now
}

// rateAt returns the average rate as it has sunk until now.
func (m *meter) rateAt(now time.Time) float64 {
	elapsed := now.Sub(m.rateUpdatedAt)
	if elapsed <= 0 {
		return m.rate
	}
	if elapsed > 10*rateWindow {
		return 0
	}
	decay := 1 / (1 + elapsed.Seconds()/rateWindow.Seconds())
	return m.rate * decay
}

// refill adds the tokens of the time passed to the bucket.
func (m *meter) refill(limits jwcatalogue.Limits, s share, now time.Time) {
	capacity := max(float64(limits.Burst)*s.fraction, 1)
	if m.refilled.IsZero() {
		m.tokens = capacity
	}
	elapsed := max(now.Sub(m.refilled), 0)
	m.tokens = min(m.tokens+limits.Rate*s.fraction*elapsed.Seconds(), capacity)
	m.tokens = max(m.tokens, 0)
	m.refilled = now
}

// SetMembers takes over the live nodes of the region, this one included.
func (l *Limiter) SetMembers(nodes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = slices.Clone(nodes)
	slices.Sort(l.members)
	for _, m := range l.entries {
		m.shareComputedAt = time.Time{}
		maps.DeleteFunc(m.reported, func(node string, _ usageReport) bool {
			return !slices.Contains(l.members, node)
		})
	}
}

// Merge takes over what another node of the region uses.
func (l *Limiter) Merge(node string, usages []Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range usages {
		m := l.meterFor(u.Name)
		if m.reported == nil {
			m.reported = make(map[string]usageReport)
		}
		m.reported[node] = usageReport{rate: u.Rate, running: u.Running, at: now}
	}
}

// Usages returns what this node uses, for telling the other nodes of the region.
func (l *Limiter) Usages(now time.Time) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Usage
	for name, m := range l.entries {
		rate := m.rateAt(now)
		m.ownReported = rate
		if rate > 0 || m.running > 0 {
			out = append(out, Usage{Name: name, Rate: rate, Running: m.running})
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// share returns this node's part of an entry's limits. Every node computes the
// parts of all from the same reports, so where they have merged the same, the
// parts add up to the limit and no request needs a call or a write of its own.
// Where they have not, the even part bounds what a node can take too much.
func (l *Limiter) share(name string, m *meter, concurrent int, now time.Time) share {
	if !m.shareComputedAt.IsZero() && now.Sub(m.shareComputedAt) < shareTTL {
		return m.share
	}
	m.shareComputedAt = now
	if len(l.members) < 2 {
		m.share = share{fraction: 1, concurrent: concurrent}
		return m.share
	}
	parts := make([]nodeShare, len(l.members))
	total := 0.0
	for i, node := range l.members {
		parts[i] = nodeShare{node: node, demand: l.demand(node, m, now)}
		total += parts[i].demand
	}
	split(parts, total, name, concurrent)
	m.share = share{fraction: 1 / float64(len(l.members)), concurrent: concurrent / len(l.members)}
	for _, p := range parts {
		if p.node == l.Node {
			m.share = share{fraction: p.fraction, concurrent: p.concurrent}
		}
	}
	m.share.concurrent = min(m.share.concurrent, max(concurrent-l.runningElsewhere(m, now), 0))
	return m.share
}

// runningElsewhere counts the requests of an entry that other nodes run, as far as
// they reported. A part that has just grown is thus not filled before the node
// whose part shrank has finished what it had above.
func (l *Limiter) runningElsewhere(m *meter, now time.Time) int {
	n := 0
	for node, report := range m.reported {
		if node != l.Node && now.Sub(report.at) <= maxReportAge {
			n += report.running
		}
	}
	return n
}

// demand returns what a node asks of an entry, by the last report. This node's
// own demand counts as it was reported as well: were it counted at once, each of
// many nodes hit by the same burst would take itself for the only one that
// asks, and together they would run several times the limit.
func (l *Limiter) demand(node string, m *meter, now time.Time) float64 {
	if node == l.Node {
		return m.ownReported
	}
	report, known := m.reported[node]
	if !known || now.Sub(report.at) > maxReportAge {
		return 0
	}
	return report.rate
}

// nodeShare is one node's nodeShare of a limit.
type nodeShare struct {
	node       string
	demand     float64
	fraction   float64
	concurrent int
	remainder  float64 // what whole numbers left of the part
	tieBreak   uint64  // breaks ties, other for each entry
}

// split divides a limit over the nodes; the whole numbers add up to it.
func split(parts []nodeShare, total float64, name string, concurrent int) {
	even := 1 / float64(len(parts))
	remaining := concurrent
	entry := jwtarget.NameKey(name)
	for i := range parts {
		p := &parts[i]
		p.fraction = even
		if total > 0 {
			p.fraction = evenFraction*even + (1-evenFraction)*p.demand/total
		}
		exact := p.fraction * float64(concurrent)
		p.concurrent = int(exact)
		p.remainder = exact - float64(p.concurrent)
		p.tieBreak = jwtarget.Mix(entry, jwtarget.NameKey(p.node))
		remaining -= p.concurrent
	}
	slices.SortFunc(parts, byRemainder)
	for i := 0; i < remaining; i++ {
		parts[i%len(parts)].concurrent++
	}
}

// byRemainder sorts the parts with the largest rest first.
func byRemainder(a, b nodeShare) int {
	switch {
	case a.remainder > b.remainder:
		return -1
	case a.remainder < b.remainder:
		return 1
	case a.tieBreak < b.tieBreak:
		return -1
	}
	return 1
}
