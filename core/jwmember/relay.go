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
	// DefaultRelayThreshold is the number of nodes in a region from which on they report through
	// relays: each to each, their reports grow with the square of it, and a node of
	// a hundred does little else.
	DefaultRelayThreshold = 12
	// relaySuspectAfter is how long a node of the own data centre may stay unseen before its
	// relay reports to others that it is unresponsive: it reports twice a second there.
	relaySuspectAfter = 2 * time.Second
)

// Large reports whether the nodes of a region are so many that they report through
// relays.
func (t *Table) Large(now time.Time, region string) bool {
	threshold := t.RelayThreshold
	if threshold == 0 {
		threshold = DefaultRelayThreshold
	}
	return t.Count(now, region) >= threshold
}

// Relay returns the node that the others of its data centre report through: of the
// live the one of most capacity, the first by name of equals; false if
// none is believed to live. It may be the node itself.
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

// ranksBefore reports whether a relays rather than b.
func ranksBefore(a, b Member) bool { return compareRelays(a, b) < 0 }

// compareRelays orders members by who of them relays.
func compareRelays(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(a.Name, b.Name))
}

// AllRelays returns the relays of all data centres, by data centre, the node itself if
// it is one.
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

// roundTripStep is how finely the round trips of nodes to the store are distinguished.
const roundTripStep = 25 * time.Millisecond

// Reached notes how long a call of the store took.
func (t *Table) Reached(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trip := (d.Truncate(roundTripStep) + roundTripStep).Milliseconds()
	if t.Self.Trip == 0 || trip < t.Self.Trip {
		t.invalidateViews()
		t.Self.Trip = trip
	}
}

// Nearest returns the relays that are nearest to the store, so many at most.
func (t *Table) Nearest(now time.Time, limit int) []Member {
	list := t.AllRelays(now)
	slices.SortStableFunc(list, func(a, b Member) int { return cmp.Compare(a.roundTripOrMax(), b.roundTripOrMax()) })
	return list[:min(len(list), limit)]
}

// roundTripOrMax orders members by their round roundTripOrMax to the store, those that don't know it last.
func (m *Member) roundTripOrMax() int64 {
	if m.Trip == 0 {
		return math.MaxInt64
	}
	return m.Trip
}

// Leads reports whether the node itself is the relay of its data centre, or will be as soon
// as it serves.
func (t *Table) Leads(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.members {
		if r.Serving && r.DataCentre == t.Self.DataCentre && t.live(now, r) && ranksBefore(r.Member, t.Self) {
			return false
		}
	}
	return true
}

// Root returns the one of some relays at which what belongs to a name is gathered, by
// rendezvous hashing of their data centres.
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

// IsRelay reports whether the node itself is the relay of its data centre.
func (t *Table) IsRelay(now time.Time) bool {
	m, ok := t.Relay(now, t.Self.DataCentre)
	return ok && m.Name == t.Self.Name
}

// Relays returns the relays of the other data centres of a region, by data centre.
func (t *Table) Relays(now time.Time, region string) []Member {
	var list []Member
	for _, dc := range t.dataCentres(region) {
		if m, ok := t.Relay(now, dc); ok && dc != t.Self.DataCentre {
			list = append(list, m)
		}
	}
	return list
}

// Unseen returns nodes of the own region that may run though this one has not seen them
// lately, for a relay to call: of each other data centre without a live node one, and of the
// own one that would be the relay. Rising turns return others.
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

// unseen returns the nodes of a data centre that were registered or seen within a minute and
// aren't taken to run, those first that would be its relay; of the own one only those that
// would be it before this node.
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

// Liveness is what a relay reports of who lives: all registered nodes but the unresponsive,
// and those that aren't registered but seen all the same, as while the store is away.
type Liveness struct {
	Unresponsive []string `json:"unresponsive,omitempty"`
	Unlisted     []string `json:"unlisted,omitempty"`
}

// Liveness returns who is seen and who isn't, for MergeLiveness elsewhere.
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

// MergeLiveness merges the report of a relay of who lives. Where all exchange state with each other
// SeenByOther does this, by names; the unresponsive are fewer.
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

// Stopping returns the nodes that stop by plan and began so within an age, by name, for
// MergeStopping elsewhere.
func (t *Table) Stopping(now time.Time, age time.Duration) []Member {
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

// MergeStopping takes what another node says of a third; it doesn't count as seen.
func (t *Table) MergeStopping(now time.Time, m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[m.Name]; r != nil {
		t.invalidateViews()
		r.merge(now, m)
	}
}
