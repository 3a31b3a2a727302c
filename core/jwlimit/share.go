package jwlimit

import (
	"maps"
	"slices"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwtarget"
)

// Parameters for sharing an entry's limits between the nodes of a region.
const (
	equalFraction = 0.5                    // fraction of a limit that is divided equally; the remainder is divided by demand
	maxReportAge  = 5 * time.Second        // how long a node's report of its demand is used
	shareTTL      = 200 * time.Millisecond // how long a computed share is used
	rateWindow    = time.Second            // time over which demand is averaged
)

// Usage is what a node reports to the other nodes of its region about one
// entry.
type Usage struct {
	Name    string  // name of the entry
	Rate    float64 // requests per second that asked for admission
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
	rate            float64 // average number of requests per second that asked for admission
	rateUpdatedAt   time.Time
	tokens          float64
	refilled        time.Time
	reservations    reservationQueue
	reported        map[string]usageReport // by node
	ownReported     float64                // rate that this node reported last
	share           share
	shareComputedAt time.Time // when share was computed
}

// share is this node's share of an entry's limits.
type share struct {
	fraction   float64 // fraction of the rate and of the burst
	concurrent int
}

// recordRequest includes one request in the average rate.
func (m *meter) recordRequest(now time.Time) {
	m.rate = m.rateAt(now) + 1/rateWindow.Seconds()
	m.rateUpdatedAt = now
}

// rateAt returns the average rate, reduced by the time since the last request.
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

// refill adds the tokens for the time since the last refill.
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

// SetMembers sets the live nodes of the region, including this one.
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

// Merge stores the usage reported by another node of the region.
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

// Usages returns the usage of this node, to be reported to the other nodes of
// the region.
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

// share returns this node's share of an entry's limits. Every node computes the
// shares of all nodes from the same reports. If all nodes have merged the same
// reports, the shares add up to the limit, and no single request needs a remote
// call or write. If they have not, the fraction that is divided equally limits
// how far a node can exceed its share.
func (l *Limiter) share(name string, m *meter, concurrent int, now time.Time) share {
	if !m.shareComputedAt.IsZero() && now.Sub(m.shareComputedAt) < shareTTL {
		return m.share
	}
	m.shareComputedAt = now
	if len(l.members) < 2 {
		m.share = share{fraction: 1, concurrent: concurrent}
		return m.share
	}
	shares := make([]nodeShare, len(l.members))
	total := 0.0
	for i, node := range l.members {
		shares[i] = nodeShare{node: node, demand: l.demand(node, m, now)}
		total += shares[i].demand
	}
	split(shares, total, name, concurrent)
	m.share = share{fraction: 1 / float64(len(l.members)), concurrent: concurrent / len(l.members)}
	for _, p := range shares {
		if p.node == l.Node {
			m.share = share{fraction: p.fraction, concurrent: p.concurrent}
		}
	}
	m.share.concurrent = min(m.share.concurrent, max(concurrent-l.runningElsewhere(m, now), 0))
	return m.share
}

// runningElsewhere returns the number of requests of an entry that other nodes
// reported as running. A share that has just grown is thus not used up before
// the node whose share shrank has finished the requests above it.
func (l *Limiter) runningElsewhere(m *meter, now time.Time) int {
	n := 0
	for node, report := range m.reported {
		if node != l.Node && now.Sub(report.at) <= maxReportAge {
			n += report.running
		}
	}
	return n
}

// demand returns the demand of a node for an entry, as last reported. For this
// node, too, the reported value is used: with the current one, each of many
// nodes that get the same burst would assume that it alone has demand, and
// together they would run several times the limit.
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

// nodeShare is one node's share of a limit.
type nodeShare struct {
	node       string
	demand     float64
	fraction   float64
	concurrent int
	remainder  float64 // fractional part of the share of the concurrent requests
	tieBreak   uint64  // breaks ties, different for each entry
}

// split divides a limit among the nodes; the whole numbers add up to it.
func split(shares []nodeShare, total float64, name string, concurrent int) {
	equal := 1 / float64(len(shares))
	remaining := concurrent
	entry := jwtarget.NameKey(name)
	for i := range shares {
		p := &shares[i]
		p.fraction = equal
		if total > 0 {
			p.fraction = equalFraction*equal + (1-equalFraction)*p.demand/total
		}
		exact := p.fraction * float64(concurrent)
		p.concurrent = int(exact)
		p.remainder = exact - float64(p.concurrent)
		p.tieBreak = jwtarget.Mix(entry, jwtarget.NameKey(p.node))
		remaining -= p.concurrent
	}
	slices.SortFunc(shares, byRemainder)
	for i := 0; i < remaining; i++ {
		shares[i%len(shares)].concurrent++
	}
}

// byRemainder sorts the shares with the largest remainder first.
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
