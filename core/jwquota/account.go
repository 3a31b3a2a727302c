package jwquota

import (
	"math"
	"slices"
	"strings"
	"time"

	"jujubewheel/core/jwworkspace"
)

const (
	// averageTimeConstant is the time over which demand and income are averaged.
	averageTimeConstant = 2 * time.Second
	// claimTTL is how long the claim of a node counts.
	claimTTL = 1500 * time.Millisecond
	// reservationTTL is how long units are reserved for a node that lacked them; it asks again
	// while its requests wait.
	reservationTTL = 200 * time.Millisecond
	// activePeriod is how long a workspace counts as active after it last asked.
	activePeriod = 10 * time.Second
	// exhaustedTTL is how long the report counts that a quota is used up.
	exhaustedTTL = 400 * time.Millisecond
	// totalDemandTTL is how long the total demand counts that the root reported, and aloneShare is
	// how many times its even part a node has ahead that doesn't know it.
	totalDemandTTL     = 3 * time.Second
	unknownTotalFactor = 2
	// exhaustedAfter is how long the root lacks units before a quota counts as used up;
	// what others give back may still be on its way.
	exhaustedAfter = 800 * time.Millisecond
)

// account is what a node holds of one workspace's quota.
type account struct {
	level              float64   // units that may be spent
	refilledAt         time.Time // up to which the node's own part was added
	demand             rate      // of this node's requests
	spendRate          rate      // what they were given
	largestRequest     float64   // request seen, fading
	waiting            []*Waiter
	children           []child   // by name
	root               bool      // units of the workspace are gathered at this node
	lastAsked          time.Time // when a request or another node asked last
	wantedUntil        time.Time // until when others want what this node doesn't need
	totalDemand        float64   // units a second that are asked for at all nodes which the root reaches
	totalDemandAt      time.Time // when that was reported
	exhaustedUntil     time.Time // until when the quota is known to be used up
	scarceUntil        time.Time // until when others are known to lack units
	shortageSince      time.Time // since when the root has lacked units
	lastShortage       time.Time // when it did so last
	lastClaim          time.Time // when the node claimed last
	retriesBookedUntil time.Time // up to which refused callers are given a Retry-After
}

// child is what a node that asks this one claimed last.
type child struct {
	name      string
	claimedAt time.Time
	demand    float64
	firstNeed float64   // that its first waiting request lacks
	need      float64   // that it was not given
	needSince time.Time // when it began to lack units
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

// refill adds the node's even part of the time that passed.
func (a *account) refill(now time.Time, q jwworkspace.Quota, b Bounds, p Topology) {
	d := now.Sub(a.refilledAt)
	a.refilledAt = now
	added := 0.0
	if p.Counted && d > 0 {
		added = q.Rate / float64(max(p.FleetSize, 1)) * d.Seconds()
	}
	if a.level+added <= a.baseLevel(q, b, p) {
		a.level += added
		return
	}
	most := a.maxLevel(now, q, b, p)
	a.level = min(a.level+added, most)
}

// maxLevel returns the units that the node may keep.
func (a *account) maxLevel(now time.Time, q jwworkspace.Quota, b Bounds, p Topology) float64 {
	return a.baseLevel(q, b, p) + a.targetLevel(now, q, b, p) + a.pendingUnits(now)
}

// baseLevel returns the units that the node may keep whatever is asked for.
func (a *account) baseLevel(q jwworkspace.Quota, b Bounds, p Topology) float64 {
	part := nodeShare
	if p.GroupSize > 0 {
		part += relayShare * float64(p.GroupSize)
	}
	if a.root {
		part += rootShare * float64(max(p.LiveNodes, 1))
	}
	return b.baseUnspent(q) * part / float64(max(p.FleetSize, 1))
}

// targetLevel returns the units that the node wants to have ahead. Together all want what is
// minted in that time at most, however much is asked for: what is held for a flood would
// be spent beside what is minted meanwhile.
func (a *account) targetLevel(now time.Time, q jwworkspace.Quota, b Bounds, p Topology) float64 {
	units := a.demand.current(now)
	if p.GroupSize > 0 {
		for _, c := range a.children {
			if now.Sub(c.claimedAt) < claimTTL {
				units += c.demand
			}
		}
	}
	fleet := float64(max(p.FleetSize, 1))
	most := unknownTotalFactor * q.Rate / fleet * float64(max(p.GroupSize, 1))
	if now.Sub(a.totalDemandAt) < totalDemandTTL && a.totalDemand > 0 {
		most = units * min(q.Rate*float64(max(p.LiveNodes, 1))/fleet/a.totalDemand, 1)
	}
	return min(units, most) * b.prefetchTime(q).Seconds()
}

// pendingUnits returns the units that requests and other nodes wait for.
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

// knownTotalDemand returns the units a second that are asked for at all nodes, 0 if that isn't known.
func (a *account) knownTotalDemand(now time.Time) float64 {
	if a.root {
		a.totalDemand, a.totalDemandAt = a.subtreeDemand(now), now
	}
	if now.Sub(a.totalDemandAt) >= totalDemandTTL {
		return 0
	}
	return a.totalDemand
}

// isScarce reports whether requests wait for units here or are known to elsewhere.
func (a *account) isScarce(now time.Time) bool {
	if a.root {
		return a.pendingUnits(now) > a.level
	}
	return now.Before(a.scarceUntil)
}

// firstNeed returns the units of the request or node that has waited longest.
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

// allocate returns the units that a node is given: what its waiting requests lack, whole
// or for the first of them, after those that have waited longer; and what it wants
// ahead from what nobody waits for.
func (a *account) allocate(now time.Time, node string, c Claim) float64 {
	at, known := slices.BinarySearchFunc(a.children, node, func(c child, name string) int { return strings.Compare(c.name, name) })
	if !known {
		a.children = slices.Insert(a.children, at, child{name: node})
	}
	old := a.children[at]
	fresh := child{name: node, claimedAt: now, demand: c.Demand, needSince: now}
	if old.need > 0 && now.Sub(old.claimedAt) < reservationTTL {
		fresh.needSince = old.needSince
	}
	free, rest := a.level, a.level
	for _, w := range a.waiting {
		rest -= w.cost
		if w.since.Before(fresh.needSince) {
			free -= w.cost
		}
	}
	for _, x := range a.children {
		if x.name == node || x.need <= 0 || now.Sub(x.claimedAt) >= reservationTTL {
			continue
		}
		rest -= x.need
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
	units += max(min(c.Prefetch, rest-c.Need), 0)
	a.children[at] = fresh
	return units
}

// subtreeDemand returns what all nodes ask for that claim here, and this one.
func (a *account) subtreeDemand(now time.Time) float64 {
	units := a.demand.current(now)
	a.children = slices.DeleteFunc(a.children, func(c child) bool { return now.Sub(c.claimedAt) >= claimTTL })
	for _, c := range a.children {
		units += c.demand
	}
	return units
}

// serveWaiting gives waiting requests what there is, the first first.
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

// active reports whether the workspace asked for something lately.
func (a *account) active(now time.Time) bool { return now.Sub(a.lastAsked) < activePeriod }

// noteShortage notes that the root noteShortage units and reports whether it has for long.
func (a *account) noteShortage(now time.Time) bool {
	if now.Sub(a.lastShortage) > reservationTTL {
		a.shortageSince = now
	}
	a.lastShortage = now
	return now.Sub(a.shortageSince) >= exhaustedAfter
}
