package jwrouter

import (
	"time"
)

// PlaceReason states why a request runs in a region, or why in none.
type PlaceReason string

// The reasons for a placement.
const (
	AtHome       PlaceReason = "home"         // the home region runs the request
	CheaperHere  PlaceReason = "cheaperHere"  // running here costs less than in any other region, including the wait
	AlreadyMoved PlaceReason = "alreadyMoved" // another node forwarded it here, so it is not forwarded again
	Bound        PlaceReason = "bound"        // its data must not leave this region
	NotAllowed   PlaceReason = "notAllowed"   // the entry or the policy allows no other region
	Away         PlaceReason = "away"         // another region costs less
	NoCapacity   PlaceReason = "noRoom"       // this region cannot run it, but another can
	WrongRegion  PlaceReason = "wrongRegion"  // its data is bound to another region, so it is neither run nor forwarded here
	Nowhere      PlaceReason = "nowhere"      // no region is known to have a target
)

// Placement is the region chosen for a request. An empty Region means that the
// request must not run in any region that this node can reach.
type Placement struct {
	Region string
	Reason PlaceReason
	Wait   time.Duration // expected time that the request waits for a slot there
}

// Place chooses the region of a request. A request changes region at most once,
// because a node forwards only requests that came directly from a caller.
// Neither a forged nor a lost record of hops can make it loop.
func (r *Router) Place(q *Query) Placement {
	if q.bound() && q.Home != r.Region {
		return Placement{Reason: WrongRegion}
	}
	capacity := r.Targets.Capacity(q.Entry.Service, q.Now)
	here := Placement{Region: r.Region, Reason: AtHome, Wait: capacity.Wait}
	if capacity.Targets == 0 || q.RejectedLocally {
		here = Placement{Reason: Nowhere}
	}
	if reason, fixed := r.mustStay(q); fixed {
		if here.Region != "" {
			here.Reason = reason
		}
		return here
	}
	if here.Region != "" && capacity.Wait == 0 && q.Home == r.Region {
		return here
	}
	return r.cheapest(q, here)
}

// mustStay reports whether a request must not be sent to another region, and
// why.
func (r *Router) mustStay(q *Query) (PlaceReason, bool) {
	switch {
	case q.bound():
		return Bound, true
	case q.Forwarded || len(q.Hops) > 0:
		return AlreadyMoved, true
	case len(q.Entry.Regions) == 0 && q.Home == r.Region, r.Policy.HomeOnly:
		return NotAllowed, true
	}
	return "", false
}

// cheapest returns the placement with the lowest cost, among this region and
// the others.
func (r *Router) cheapest(q *Query, here Placement) Placement {
	best := here
	lowest := r.cost(q, r.Region, here.Wait)
	if here.Region != "" {
		best.Reason = CheaperHere
		lowest -= q.Entry.Weights.Wait * r.Policy.margin().Seconds()
	}
	var buf [typicalRegions]Load
	loads := r.Regions.loads(q.Entry.Service, q.Now, buf[:0])
	for i := range loads {
		l := &loads[i]
		if l.Region == r.Region || l.Targets == 0 || !allowed(q, l.Region) {
			continue
		}
		wait := l.wait()
		if q.RejectedLocally && wait > 0 {
			continue
		}
		cost := r.cost(q, l.Region, wait)
		if best.Region == "" || cost < lowest {
			best = Placement{Region: l.Region, Reason: Away, Wait: wait}
			lowest = cost
		}
	}
	if here.Region == "" && best.Region != "" {
		best.Reason = NoCapacity
	}
	return best
}

// typicalRegions is the number of regions that are compared without allocating
// memory.
const typicalRegions = 16

// allowed reports whether the entry allows a request to run in a region. The
// home region of the workspace is always allowed.
func allowed(q *Query, region string) bool {
	if region == q.Home {
		return true
	}
	for _, name := range q.Entry.Regions {
		if name == region || name == anyRegion {
			return true
		}
	}
	return false
}

// anyRegion in an entry's list of regions allows all regions.
const anyRegion = "*"

// cost returns the cost of running a request in a region: the sum of the wait,
// the round trip, the price of the link and the cost of leaving home, each with
// its weight from the entry.
func (r *Router) cost(q *Query, region string, wait time.Duration) float64 {
	w := q.Entry.Weights
	cost := w.Wait * wait.Seconds()
	if region != r.Region {
		link := r.Regions.link(region)
		cost += w.Wait*2*link.Delay.Seconds() + w.Cost*link.Price
	}
	if region != q.Home {
		cost += w.SentAway
	}
	if q.late(wait) {
		cost += missedDeadlineCost
	}
	return cost
}

// missedDeadlineCost is the cost of an answer that misses its deadline. It is
// so high that the price of a link and the cost of leaving home hardly matter
// beside it.
const missedDeadlineCost = 10
