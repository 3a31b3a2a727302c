package jwquota

import (
	"math"
	"slices"
	"strings"
	"time"

	"jujubewheel/core/jwworkspace"
)

const (
	// averageTimeConstant is the time constant of the averages of demand and spending.
	averageTimeConstant = 2 * time.Second
	// claimTTL is how long the last claim of a node stays valid.
	claimTTL = 1500 * time.Millisecond
	// reservationTTL is how long units stay reserved for a node that lacked them. The
	// node claims again while its requests wait.
	reservationTTL = 200 * time.Millisecond
	// activePeriod is how long a workspace counts as active after its last request or claim.
	activePeriod = 10 * time.Second
	// exhaustedTTL is how long a report that a quota is used up stays valid.
	exhaustedTTL = 400 * time.Millisecond
	// totalDemandTTL is how long the total demand that the root reported stays valid, and
	// unknownTotalFactor bounds what a node without a valid report prefetches, as a multiple
	// of its equal share.
	totalDemandTTL     = 3 * time.Second
	unknownTotalFactor = 2
	// exhaustedAfter is how long the root must lack units before a quota counts as used up;
	// units that other nodes return may still be in transit.
	exhaustedAfter = 800 * time.Millisecond
)

// account is the state that a node keeps of one workspace's quota.
type account struct {
	level              float64   // units that may be spent
	refilledAt         time.Time // time up to which the node's own share was added
	demand             rate      // of the units that this node's requests ask for
	spendRate          rate      // of the units that these requests were granted
	largestRequest     float64   // maximum cost of the requests so far, decayed with each request
	waiting            []*Waiter // oldest first
	children           []child   // sorted by name
	root               bool      // the workspace's units are gathered at this node
	lastAsked          time.Time // time of the last request, or of the last claim with demand
	wantedUntil        time.Time // until when other nodes want this node's surplus
	totalDemand        float64   // units a second that are asked for at all nodes which the root reaches
	totalDemandAt      time.Time // when totalDemand was reported
	exhaustedUntil     time.Time // until when the quota is known to be used up
	scarceUntil        time.Time // until when other nodes are known to lack units
	shortageSince      time.Time // since when the root has lacked units
	lastShortage       time.Time // when the root last lacked units
	lastClaim          time.Time // when the node last claimed units
	retriesBookedUntil time.Time // latest retry time that was given to a rejected caller
	urgency            urgencyShares
}

// child is the last claim of a node that claims units from this one.
type child struct {
	name      string
	claimedAt time.Time
	demand    float64    // units a second that are asked for there
	byLevel   LevelRates // the part of demand that is asked for by urgency level
	firstNeed float64    // units that its first waiting request lacks
	need      float64    // units that it lacked and was not granted
	needSince time.Time  // when it began to lack units
}

// rate is an exponential average of units a second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, units float64) {
	r.value = r.current(now) + units/averageTimeConstant.Seconds()
	r.at = now
}

func (r *rate) current(now time.Time) float64 {
	d := now.Sub(r.at)
	if d <= 0 {
		return r.value
	}
	return r.value * math.Exp(-d.Seconds()/averageTimeConstant.Seconds())
}

// refill adds the node's equal share of the quota for the time since the last refill.
func (a *account) refill(now time.Time, q jwworkspace.Quota, b Bounds, topo Topology) {
	d := now.Sub(a.refilledAt)
	a.refilledAt = now
	added := 0.0
	if topo.Counted && d > 0 {
		added = q.Rate / float64(max(topo.FleetSize, 1)) * d.Seconds()
	}
	if a.level+added <= a.baseLevel(q, b, topo) {
		a.level += added
		return
	}
	limit := a.maxLevel(now, q, b, topo)
	a.level = min(a.level+added, limit)
}

// maxLevel returns the units that the node may keep.
func (a *account) maxLevel(now time.Time, q jwworkspace.Quota, b Bounds, topo Topology) float64 {
	return a.baseLevel(q, b, topo) + a.targetLevel(now, q, b, topo) + a.pendingUnits(now)
}

// baseLevel returns the units that the node may keep regardless of demand.
func (a *account) baseLevel(q jwworkspace.Quota, b Bounds, topo Topology) float64 {
	share := nodeShare
	if topo.GroupSize > 0 {
		share += relayShare * float64(topo.GroupSize)
	}
	if a.root {
		share += rootShare * float64(max(topo.LiveNodes, 1))
	}
	return b.baseUnspent(q) * share / float64(max(topo.FleetSize, 1))
}

// targetLevel returns the units that the node wants to hold for upcoming requests. All
// nodes together want at most what the quota's rate adds in the prefetch time, however
// high the demand is: units held for a flood of requests would be spent in addition to
// those that the rate adds in the same time.
func (a *account) targetLevel(now time.Time, q jwworkspace.Quota, b Bounds, topo Topology) float64 {
	units := a.demand.current(now)
	if topo.GroupSize > 0 {
		for _, c := range a.children {
			if now.Sub(c.claimedAt) < claimTTL {
				units += c.demand
			}
		}
	}
	fleet := float64(max(topo.FleetSize, 1))
	limit := unknownTotalFactor * q.Rate / fleet * float64(max(topo.GroupSize, 1))
	if now.Sub(a.totalDemandAt) < totalDemandTTL && a.totalDemand > 0 {
		limit = units * min(q.Rate*float64(max(topo.LiveNodes, 1))/fleet/a.totalDemand, 1)
	}
	return min(units, limit) * b.prefetchTime(q).Seconds()
}

// pendingUnits returns the units that requests here and child nodes wait for.
func (a *account) pendingUnits(now time.Time) float64 {
	units := 0.0
	for _, w := range a.waiting {
		units += w.cost
	}
	for _, c := range a.children {
		if now.Sub(c.claimedAt) < reservationTTL {
			units += c.need
		}
	}
	return units
}

// knownTotalDemand returns the units a second that are asked for at all nodes, or 0 if
// no recent report of them exists.
func (a *account) knownTotalDemand(now time.Time) float64 {
	if a.root {
		a.totalDemand, a.totalDemandAt = a.subtreeDemand(now), now
	}
	if now.Sub(a.totalDemandAt) >= totalDemandTTL {
		return 0
	}
	return a.totalDemand
}

// isScarce reports whether units are lacking: at the root whether more are pending than
// it has, at other nodes whether a recent grant reported it.
func (a *account) isScarce(now time.Time) bool {
	if a.root {
		return a.pendingUnits(now) > a.level
	}
	return now.Before(a.scarceUntil)
}

// firstNeed returns the units that the longest waiting request lacks, here or at a child.
func (a *account) firstNeed(now time.Time) float64 {
	units, since := 0.0, now
	if len(a.waiting) > 0 {
		units, since = a.waiting[0].cost, a.waiting[0].since
	}
	for _, c := range a.children {
		if c.need > 0 && now.Sub(c.claimedAt) < reservationTTL && c.needSince.Before(since) {
			units, since = c.firstNeed, c.needSince
		}
	}
	return units
}

// allocate returns the units to grant to a node. Requests and nodes that have waited
// longer come first; from what remains it gets what all its waiting requests lack or, if
// that is too much, what the first of them lacks. Units to prefetch come only from those
// that no request waits for.
func (a *account) allocate(now time.Time, node string, c Claim) float64 {
	index, known := slices.BinarySearchFunc(a.children, node, func(c child, name string) int { return strings.Compare(c.name, name) })
	if !known {
		a.children = slices.Insert(a.children, index, child{name: node})
	}
	old := a.children[index]
	fresh := child{name: node, claimedAt: now, demand: c.Demand, byLevel: c.ByLevel, needSince: now}
	if old.need > 0 && now.Sub(old.claimedAt) < reservationTTL {
		fresh.needSince = old.needSince
	}
	free, unreserved := a.level, a.level
	for _, w := range a.waiting {
		unreserved -= w.cost
		if w.since.Before(fresh.needSince) {
			free -= w.cost
		}
	}
	for _, x := range a.children {
		if x.name == node || x.need <= 0 || now.Sub(x.claimedAt) >= reservationTTL {
			continue
		}
		unreserved -= x.need
		if x.needSince.Before(fresh.needSince) {
			free -= x.need
		}
	}
	units := 0.0
	switch {
	case c.Need <= free:
		units = c.Need
	case c.FirstNeed <= free:
		units = c.FirstNeed
	}
	fresh.need, fresh.firstNeed = max(c.Need-units, 0), c.FirstNeed
	units += max(min(c.Prefetch, unreserved-c.Need), 0)
	a.children[index] = fresh
	return units
}

// subtreeDemand returns the units a second that are asked for at this node and at all
// nodes that claim from it. It also removes children whose claims have expired.
func (a *account) subtreeDemand(now time.Time) float64 {
	units := a.demand.current(now)
	a.children = slices.DeleteFunc(a.children, func(c child) bool { return now.Sub(c.claimedAt) >= claimTTL })
	for _, c := range a.children {
		units += c.demand
	}
	return units
}

// serveWaiting grants units to waiting requests in their order while the level suffices.
func (a *account) serveWaiting(now time.Time) {
	n := 0
	for n < len(a.waiting) && a.level >= a.waiting[n].cost {
		w := a.waiting[n]
		a.level -= w.cost
		a.spendRate.add(now, w.cost)
		w.granted = true
		close(w.ready)
		n++
	}
	a.waiting = append(a.waiting[:0], a.waiting[n:]...)
}

// active reports whether the workspace asked for units within activePeriod.
func (a *account) active(now time.Time) bool { return now.Sub(a.lastAsked) < activePeriod }

// noteShortage records that the root lacks units and reports whether it has lacked them
// for exhaustedAfter.
func (a *account) noteShortage(now time.Time) bool {
	if now.Sub(a.lastShortage) > reservationTTL {
		a.shortageSince = now
	}
	a.lastShortage = now
	return now.Sub(a.shortageSince) >= exhaustedAfter
}
