package jwmember

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// DefaultRelayThreshold is the number of nodes in a region at which they start to
	// report through relays. If each node reports to each other one, the number of
	// reports grows quadratically, and a hundred nodes would each spend most of their time on them.
	DefaultRelayThreshold = 12
	// relaySuspectAfter is how long a node may stay unseen before the relay of its data
	// centre reports it as unresponsive. Nodes report to their relay twice a second.
	relaySuspectAfter = 2 * time.Second
)

// Large reports whether a region has so many nodes that they report through relays.
func (t *Table) Large(now time.Time, region string) bool {
	threshold := t.RelayThreshold
	if threshold == 0 {
		threshold = DefaultRelayThreshold
	}
	return t.Count(now, region) >= threshold
}

// Relay returns the relay of a data centre, through which its other nodes report:
// the live node with the highest capacity, and of several the first by name. It
// returns false if no node there is live. The relay may be this node.
func (t *Table) Relay(now time.Time, dataCentre string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, ok := Member{}, false
	consider := func(m Member) {
		if !ok || ranksBefore(m, best) {
			best, ok = m, true
		}
	}
	if t.Self.Serving && t.Self.DataCentre == dataCentre {
		consider(t.Self)
	}
	for _, r := range t.members {
		if r.Serving && r.DataCentre == dataCentre && t.live(now, r) {
			consider(r.Member)
		}
	}
	return best, ok
}

// ranksBefore reports whether a is preferred over b as a relay.
func ranksBefore(a, b Member) bool { return compareRelays(a, b) < 0 }

// compareRelays orders members by preference as a relay: by falling capacity, then
// by name.
func compareRelays(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(a.Name, b.Name))
}

// AllRelays returns the relays of all data centres, sorted by data centre. It
// includes this node if it is a relay.
func (t *Table) AllRelays(now time.Time) []Member {
	best := make(map[string]Member)
	for _, m := range t.Live(now, "") {
		if old, ok := best[m.DataCentre]; !ok || ranksBefore(m, old) {
			best[m.DataCentre] = m
		}
	}
	list := make([]Member, 0, len(best))
	for _, dc := range slices.Sorted(maps.Keys(best)) {
		list = append(list, best[dc])
	}
	return list
}

// roundTripStep is the resolution at which nodes' round trips to the store are compared.
const roundTripStep = 25 * time.Millisecond

// RecordStoreRoundTrip records how long a call to the store took; the shortest one counts.
func (t *Table) RecordStoreRoundTrip(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	roundTrip := (d.Truncate(roundTripStep) + roundTripStep).Milliseconds()
	if t.Self.StoreRoundTrip == 0 || roundTrip < t.Self.StoreRoundTrip {
		t.invalidateViews()
		t.Self.StoreRoundTrip = roundTrip
	}
}

// SetStoreLost records whether this node's calls of the store fail.
func (t *Table) SetStoreLost(lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Self.StoreLost != lost {
		t.invalidateViews()
		t.Self.StoreLost = lost
	}
}

// RelaysNearStore returns the relays with the shortest round trips to the store, at most limit.
// Those that don't reach the store are left out unless none does.
func (t *Table) RelaysNearStore(now time.Time, limit int) []Member {
	list := t.AllRelays(now)
	if slices.ContainsFunc(list, func(m Member) bool { return !m.StoreLost }) {
		list = slices.DeleteFunc(list, func(m Member) bool { return m.StoreLost })
	}
	slices.SortStableFunc(list, compareRoundTrips)
	return list[:min(len(list), limit)]
}

// roundTripOrMax returns the round trip to the store in milliseconds, or the maximum
// if it is unknown, so that such members sort last.
func (m *Member) roundTripOrMax() int64 {
	if m.StoreRoundTrip == 0 {
		return math.MaxInt64
	}
	return m.StoreRoundTrip
}

// SubstituteRelay returns the relay of another data centre from which this node takes the changes of
// the store while its own relay fails; false if none reaches the store. The nodes of a data centre are
// spread over all others.
func (t *Table) SubstituteRelay(now time.Time) (Member, bool) {
	self := t.Local()
	list := slices.DeleteFunc(t.AllRelays(now), func(m Member) bool { return m.DataCentre == self.DataCentre || m.StoreLost })
	return Root(list, self.Name)
}

// StartSource returns the node from which this one, which starts, takes what the store holds; false
// if it has to read the store itself. That is the preferred relay of its data centre or, if this node
// is that, one of the readers relays nearest to the store. Nodes that start too count, since all may
// have been killed at once.
func (t *Table) StartSource(now time.Time, readers int) (Member, bool) {
	relays := t.startRelays(now)
	self := t.Local()
	if own := relays[self.DataCentre]; own.Name != self.Name {
		return own, true
	}
	var near []Member
	for _, dc := range slices.Sorted(maps.Keys(relays)) {
		if m := relays[dc]; dc != self.DataCentre && !m.StoreLost {
			near = append(near, m)
		}
	}
	slices.SortStableFunc(near, compareRoundTrips)
	if len(near) < readers || compareRoundTrips(self, near[readers-1]) <= 0 {
		return Member{}, false
	}
	return Root(near[:readers], self.Name)
}

// startRelays returns the preferred relay of each data centre, this node included, whether it serves
// already or not.
func (t *Table) startRelays(now time.Time) map[string]Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := map[string]Member{t.Self.DataCentre: t.Self}
	for _, r := range t.members {
		if !t.live(now, r) || r.isStopping() {
			continue
		}
		if old, ok := best[r.DataCentre]; !ok || ranksBefore(r.Member, old) {
			best[r.DataCentre] = r.Member
		}
	}
	return best
}

// compareRoundTrips orders members by their round trips to the store.
func compareRoundTrips(a, b Member) int { return cmp.Compare(a.roundTripOrMax(), b.roundTripOrMax()) }

// Root returns the relay that gathers the data of a name, and false if relays is
// empty. It uses rendezvous hashing over the data centres, so that the choice stays
// in its data centre when another node becomes the relay there.
func Root(relays []Member, name string) (Member, bool) {
	var root Member
	maxScore := uint64(0)
	for _, m := range relays {
		if s := rendezvousScore(m.DataCentre, name); root.Name == "" || s > maxScore {
			root, maxScore = m, s
		}
	}
	return root, root.Name != ""
}

// IsRelay reports whether this node is the relay of its data centre.
func (t *Table) IsRelay(now time.Time) bool {
	m, ok := t.Relay(now, t.Self.DataCentre)
	return ok && m.Name == t.Self.Name
}

// OtherRelays returns the relays of a region's data centres except this node's own, sorted
// by data centre.
func (t *Table) OtherRelays(now time.Time, region string) []Member {
	var list []Member
	for _, dc := range t.dataCentres(region) {
		if m, ok := t.Relay(now, dc); ok && dc != t.Self.DataCentre {
			list = append(list, m)
		}
	}
	return list
}

// Unseen returns nodes of this node's region that may be running although this node has
// not seen them recently, for a relay to call: one from each other data centre without a
// live node, and one from its own that would be the relay instead of this node. Successive
// values of turn go through the candidates of each data centre.
func (t *Table) Unseen(now time.Time, turn int) []Member {
	var list []Member
	for _, dc := range t.dataCentres(t.Self.Region) {
		if _, ok := t.Relay(now, dc); ok && dc != t.Self.DataCentre {
			continue
		}
		if unseen := t.unseen(now, dc); len(unseen) > 0 {
			list = append(list, unseen[turn%len(unseen)])
		}
	}
	return list
}

// unseen returns the nodes of a data centre that are registered or were seen within a
// minute but are not considered to be running, in order of preference as its relay. For
// this node's own data centre it returns only those preferred over this node.
func (t *Table) unseen(now time.Time, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, r := range t.members {
		known := r.registered || now.Sub(r.lastSeen) < forgetAfter
		if !known || r.Region != t.Self.Region || r.DataCentre != dataCentre || t.live(now, r) {
			continue
		}
		if dataCentre != t.Self.DataCentre || ranksBefore(r.Member, t.Self) {
			list = append(list, r.Member)
		}
	}
	slices.SortFunc(list, compareRelays)
	return list
}

// dataCentres returns the data centres of a region's known nodes except this one, sorted.
func (t *Table) dataCentres(region string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, r := range t.members {
		if r.Region == region && !slices.Contains(list, r.DataCentre) {
			list = append(list, r.DataCentre)
		}
	}
	slices.Sort(list)
	return list
}

// Liveness is a relay's report of which nodes are live: all registered nodes except
// Unresponsive, and those in Unlisted, which are seen without being registered, as happens
// while the store is unavailable. Both lists are sorted by name.
type Liveness struct {
	Unresponsive []string `json:"unresponsive,omitempty"`
	Unlisted     []string `json:"unlisted,omitempty"`
}

// Liveness returns this node's report of which nodes are live, for MergeLiveness at others.
func (t *Table) Liveness(now time.Time) Liveness {
	t.mu.Lock()
	defer t.mu.Unlock()
	var report Liveness
	for name, r := range t.members {
		overdue := r.DataCentre == t.Self.DataCentre && now.Sub(r.lastSeen) > relaySuspectAfter
		lives := t.live(now, r) && !overdue
		switch {
		case r.registered && !lives && now.Sub(r.registeredAt) >= registrationGrace:
			report.Unresponsive = append(report.Unresponsive, name)
		case !r.registered && lives:
			report.Unlisted = append(report.Unlisted, name)
		}
	}
	slices.Sort(report.Unresponsive)
	slices.Sort(report.Unlisted)
	return report
}

// MergeLiveness merges a relay's report of which nodes are live. Where all nodes exchange
// state with each other, SeenByOther does this with the names of the live nodes; the
// unresponsive ones reported here are fewer.
func (t *Table) MergeLiveness(now time.Time, report Liveness) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-indirectAge)
	t.invalidateViews()
	for name, r := range t.members {
		_, unresponsive := slices.BinarySearch(report.Unresponsive, name)
		_, unlisted := slices.BinarySearch(report.Unlisted, name)
		switch {
		case unresponsive && at.After(r.lastSeen):
			r.lastFailed = now
		case !unresponsive && (r.registered || unlisted) && at.After(r.lastSeen):
			r.lastSeen = at
		}
	}
}

// RecentlyStopping returns the nodes whose planned stop this node learned of within the given
// age, sorted by name, for MergeStopping at others.
func (t *Table) RecentlyStopping(now time.Time, age time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, r := range t.members {
		if r.isStopping() && now.Sub(r.stoppedAt) < age {
			list = append(list, r.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// MergeStopping merges the state of a stopping node as a third node reports it. This does
// not count as seeing the node.
func (t *Table) MergeStopping(now time.Time, m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[m.Name]; r != nil {
		t.invalidateViews()
		r.merge(now, m)
	}
}
