package jwquota

import (
	"math"
	"slices"
	"strings"
	"time"

	"jujubewheel/core/jwworkspace"
)

const (
	// averagedOver is the time over which demand and income are averaged.
	averagedOver = 2 * time.Second
	// childFor is how long the claim of a node counts.
	childFor = 1500 * time.Millisecond
	// needFor is how long units are reserved for a node that lacked them; it asks again
	// while its requests wait.
	needFor = 200 * time.Millisecond
	// wantedFor is how long a workspace counts as active after it last asked.
	wantedFor = 10 * time.Second
	// shortFor is how long the report counts that a quota is used up.
	shortFor = 400 * time.Millisecond
	// totalFor is how long the total demand counts that the root reported, and aloneShare is
	// how many times its even part a node has ahead that doesn't know it.
	totalFor   = 3 * time.Second
	aloneShare = 2
	// shortAfter is how long the root lacks units before a quota counts as used up;
	// what others give back may still be on its way.
	shortAfter = 800 * time.Millisecond
)

// account is what a node holds of one workspace's quota.
type account struct {
	level    float64   // units that may be spent
	minted   time.Time // up to which the node's own part was added
	demand   rate      // of this node's requests
	income   rate      // what they were given
	largest  float64   // request seen, fading
	waiting  []*Waiter
	children []child   // by name
	root     bool      // units of the workspace are gathered at this node
	asked    time.Time // when a request or another node asked last
	wanted   time.Time // until when others want what this node doesn't need
	total    float64   // units a second that are asked for at all nodes which the root reaches
	totalAt  time.Time // when that was reported
	short    time.Time // until when the quota is known to be used up
	scarce   time.Time // until when others are known to lack units
	lackFrom time.Time // since when the root has lacked units
	lackAt   time.Time // when it did so last
	claimed  time.Time // when the node claimed last
	booked   time.Time // up to which refused callers are given a Retry-After
}

// child is what a node that asks this one claimed last.
type child struct {
	name   string
	at     time.Time
	demand float64
	first  float64   // that its first waiting request lacks
	need   float64   // that it was not given
	since  time.Time // when it began to lack units
}

// rate is an exponential average of units a second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, units float64) {
	r.value = r.now(now) + units/averagedOver.Seconds()
	r.at = now
}

func (r *rate) now(now time.Time) float64 {
	d := now.Sub(r.at)
	if d <= 0 {
		return r.value
	}
	return r.value * math.Exp(-d.Seconds()/averagedOver.Seconds())
}

// mint adds the node's even part of the time that passed.
func (a *account) mint(now time.Time, q jwworkspace.Quota, b Bounds, p Place) {
	d := now.Sub(a.minted)
	a.minted = now
	added := 0.0
	if p.Counted && d > 0 {
		added = q.Rate / float64(max(p.Fleet, 1)) * d.Seconds()
	}
	if a.level+added <= a.static(q, b, p) {
		a.level += added
		return
	}
	most := a.most(now, q, b, p)
	a.level = min(a.level+added, most)
}

// most returns the units that the node may keep.
func (a *account) most(now time.Time, q jwworkspace.Quota, b Bounds, p Place) float64 {
	return a.static(q, b, p) + a.target(now, q, b, p) + a.lacking(now)
}

// static returns the units that the node may keep whatever is asked for.
func (a *account) static(q jwworkspace.Quota, b Bounds, p Place) float64 {
	part := leafPart
	if p.Group > 0 {
		part += poolPart * float64(p.Group)
	}
	if a.root {
		part += rootPart * float64(max(p.Live, 1))
	}
	return b.still(q) * part / float64(max(p.Fleet, 1))
}

// target returns the units that the node wants to have ahead. Together all want what is
// minted in that time at most, however much is asked for: what is held for a flood would
// be spent beside what is minted meanwhile.
func (a *account) target(now time.Time, q jwworkspace.Quota, b Bounds, p Place) float64 {
	units := a.demand.now(now)
	if p.Group > 0 {
		for _, c := range a.children {
			if now.Sub(c.at) < childFor {
				units += c.demand
			}
		}
	}
	fleet := float64(max(p.Fleet, 1))
	most := aloneShare * q.Rate / fleet * float64(max(p.Group, 1))
	if now.Sub(a.totalAt) < totalFor && a.total > 0 {
		most = units * min(q.Rate*float64(max(p.Live, 1))/fleet/a.total, 1)
	}
	return min(units, most) * b.ahead(q).Seconds()
}

// lacking returns the units that requests and other nodes wait for.
func (a *account) lacking(now time.Time) float64 {
	units := 0.0
	for _, w := range a.waiting {
		units += w.cost
	}
	for _, c := range a.children {
		if now.Sub(c.at) < needFor {
			units += c.need
		}
	}
	return units
}

// allAsk returns the units a second that are asked for at all nodes, 0 if that isn't known.
func (a *account) allAsk(now time.Time) float64 {
	if a.root {
		a.total, a.totalAt = a.asksTotal(now), now
	}
	if now.Sub(a.totalAt) >= totalFor {
		return 0
	}
	return a.total
}

// isScarce reports whether requests wait for units here or are known to elsewhere.
func (a *account) isScarce(now time.Time) bool {
	if a.root {
		return a.lacking(now) > a.level
	}
	return now.Before(a.scarce)
}

// first returns the units of the request or node that has waited longest.
func (a *account) first(now time.Time) float64 {
	units, since := 0.0, now
	if len(a.waiting) > 0 {
		units, since = a.waiting[0].cost, a.waiting[0].since
	}
	for _, c := range a.children {
		if c.need > 0 && now.Sub(c.at) < needFor && c.since.Before(since) {
			units, since = c.first, c.since
		}
	}
	return units
}

// share returns the units that a node is given: what its waiting requests lack, whole
// or for the first of them, after those that have waited longer; and what it wants
// ahead from what nobody waits for.
func (a *account) share(now time.Time, node string, c Claim) float64 {
	at, known := slices.BinarySearchFunc(a.children, node, func(c child, name string) int { return strings.Compare(c.name, name) })
	if !known {
		a.children = slices.Insert(a.children, at, child{name: node})
	}
	old := a.children[at]
	fresh := child{name: node, at: now, demand: c.Demand, since: now}
	if old.need > 0 && now.Sub(old.at) < needFor {
		fresh.since = old.since
	}
	free, rest := a.level, a.level
	for _, w := range a.waiting {
		rest -= w.cost
		if w.since.Before(fresh.since) {
			free -= w.cost
		}
	}
	for _, x := range a.children {
		if x.name == node || x.need <= 0 || now.Sub(x.at) >= needFor {
			continue
		}
		rest -= x.need
		if x.since.Before(fresh.since) {
			free -= x.need
		}
	}
	units := 0.0
	switch {
	case c.Need <= free:
		units = c.Need
	case c.First <= free:
		units = c.First
	}
	fresh.need, fresh.first = max(c.Need-units, 0), c.First
	units += max(min(c.Ahead, rest-c.Need), 0)
	a.children[at] = fresh
	return units
}

// asksTotal returns what all nodes ask for that claim here, and this one.
func (a *account) asksTotal(now time.Time) float64 {
	units := a.demand.now(now)
	a.children = slices.DeleteFunc(a.children, func(c child) bool { return now.Sub(c.at) >= childFor })
	for _, c := range a.children {
		units += c.demand
	}
	return units
}

// serve gives waiting requests what there is, the first first.
func (a *account) serve(now time.Time) {
	n := 0
	for n < len(a.waiting) && a.level >= a.waiting[n].cost {
		w := a.waiting[n]
		a.level -= w.cost
		a.income.add(now, w.cost)
		w.served = true
		close(w.ready)
		n++
	}
	a.waiting = append(a.waiting[:0], a.waiting[n:]...)
}

// active reports whether the workspace asked for something lately.
func (a *account) active(now time.Time) bool { return now.Sub(a.asked) < wantedFor }

// lacks notes that the root lacks units and reports whether it has for long.
func (a *account) lacks(now time.Time) bool {
	if now.Sub(a.lackAt) > needFor {
		a.lackFrom = now
	}
	a.lackAt = now
	return now.Sub(a.lackFrom) >= shortAfter
}
