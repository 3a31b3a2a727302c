package jwinstance

import (
	"slices"
	"time"

	"jujubewheel/core/jwroom"
)

const (
	// queueShare is how many calls may wait at a target, as a share of its slots. A slot then finds a
	// call while the nodes learn that another one has ended.
	queueShare = 0.25
	// minQueue is the same for a target of few slots.
	minQueue = 1
	// directRounds and relayRounds are how many parts a node may compute before the others see what
	// it took with the first: reports pass directly, or through one or two relays.
	directRounds = 2
	relayRounds  = 4
)

// reportView sums up which reports of other nodes count. It is the same for all targets, so it is
// computed at most once in viewInterval.
type reportView struct {
	holds   time.Duration          // how long parts and reports count without newer ones
	silent  map[*Target]jwroom.Use // loads from reports that are older
	at      time.Time
	oldest  time.Time // arrival of the oldest report that counts
	missing int
	nodes   int
	relayed bool
}

// viewInterval is how long a reportView is used.
const viewInterval = 10 * time.Millisecond

// hasRoom reports whether this node's part of a target's room allows the request.
func (t *Table) hasRoom(now time.Time, x *Target, n Need) bool {
	v := t.reportView(now)
	if x.lease.Due(now, v.oldest) {
		t.renewLease(now, x, n, v)
	}
	return x.lease.Allows(x.ownUse(), x.othersUse())
}

// ReadyAt returns the earliest time at which a target of the region may take a request by time alone:
// one that backs off after it refused a request, asked for no more, or is cold and has got as many
// as it can handle. It returns false if there is none.
func (t *Table) ReadyAt(now time.Time, n Need) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.listFor(n) {
		if x.Region != t.Region || x.Draining || x.Leaving || t.evacuated[x.DataCentre] || !x.goneAt.IsZero() || x.dialFailures > 0 ||
			n.Exclude[x.ID] || slices.Contains(n.AvoidAddresses, x.Address) || x.limit.Announced && !t.limitAllows(now, x) {
			continue
		}
		ready := laterTime(laterTime(now, x.backoffUntil), x.closedUntil)
		if ready.Before(x.coldUntil) && !t.coldAllows(now, x) {
			ready = laterTime(ready, t.coldReadyAt(now, x))
		}
		if !ok || ready.Before(at) {
			at, ok = ready, true
		}
	}
	return at, ok
}

// coldReadyAt returns when this node may send to a cold target again that takes no more now.
func (t *Table) coldReadyAt(now time.Time, x *Target) time.Time {
	rate := int(t.ColdRate(x.Service, x.ID))
	i := len(x.recentSends) + x.writing - rate // the sends up to this one must be a second old
	switch {
	case rate <= 0:
		return x.coldUntil
	case i >= 0 && i < len(x.recentSends):
		return x.recentSends[i].Add(recentSendAge)
	}
	return now.Add(recentSendAge)
}

func (t *Table) renewLease(now time.Time, x *Target, n Need, v *reportView) {
	rounds := directRounds
	if v.relayed {
		rounds = relayRounds
	}
	fraction := 0.0
	if t.Rand != nil {
		const steps = 1 << 16
		fraction = float64(t.Rand(steps)) / steps
	}
	nodes := t.sharingNodes(x, v.nodes)
	x.lease.Renew(now, roomOf(x, n), jwroom.View{
		Own: x.ownUse(), Others: x.othersUse(), Silent: v.silent[x], ReportedAt: v.oldest, LeaseTime: v.holds,
		Nodes: nodes, Missing: (v.missing*nodes + v.nodes - 1) / v.nodes, Rounds: rounds,
	}, fraction)
}

// othersUse returns what the other nodes use of a target, as last reported.
func (x *Target) othersUse() jwroom.Use {
	return jwroom.Use{Calls: x.othersLoad.calls, Memory: x.othersLoad.memoryTokens}
}

func (x *Target) ownUse() jwroom.Use { return jwroom.Use{Calls: x.calls, Memory: x.memoryInUse} }

// reported records that this node's use of the target goes into a report.
func (x *Target) reported() { x.lease.Reported(x.ownUse()) }

// roomOf returns the room of a target.
func roomOf(x *Target, n Need) jwroom.Room {
	slots := max(x.Slots, 1)
	return jwroom.Room{Slots: slots, Queue: max(int(queueShare*float64(slots)), minQueue), Memory: n.Capacity}
}

// sharingNodes returns how many of the region's nodes have a target in their subsets.
func (t *Table) sharingNodes(x *Target, nodes int) int {
	all := len(t.byRegion[x.Service][x.Region])
	if all <= localSubset {
		return nodes
	}
	return max((nodes*localSubset+all-1)/all, 1)
}

// reportView returns which reports count now.
func (t *Table) reportView(now time.Time) *reportView {
	v := &t.view
	if !v.at.IsZero() && now.Sub(v.at) < viewInterval {
		return v
	}
	t.expireReports(now)
	*v = reportView{at: now, nodes: 1, holds: jwroom.LeaseTime}
	if t.ReportInterval != nil {
		v.holds = jwroom.LeaseTimeFor(t.ReportInterval())
	}
	if t.Nodes != nil {
		v.nodes = max(t.Nodes(), 1)
	}
	counted := 0
	for _, report := range t.reports {
		v.relayed = v.relayed || report.fromRelay
		if now.Sub(report.at) >= v.holds {
			v.addSilent(report)
			continue
		}
		counted++
		if v.oldest.IsZero() || report.at.Before(v.oldest) {
			v.oldest = report.at
		}
	}
	if !v.relayed || counted == 0 {
		v.missing = max(v.nodes-1-counted, 0)
	}
	return v
}

// addSilent adds the loads of a report that is too old to count.
func (v *reportView) addSilent(report nodeReport) {
	if v.silent == nil {
		v.silent = make(map[*Target]jwroom.Use)
	}
	for _, l := range report.loads {
		u := v.silent[l.Target]
		v.silent[l.Target] = jwroom.Use{Calls: u.Calls + l.Calls, Memory: u.Memory + l.MemoryTokens}
	}
}

// RoomAge returns how old the oldest report is on which the parts of the targets' room rest, and how
// many nodes of the region have not reported recently.
func (t *Table) RoomAge(now time.Time) (age time.Duration, missing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.reportView(now)
	if v.oldest.IsZero() {
		return 0, v.missing
	}
	return now.Sub(v.oldest), v.missing
}
