package jwrouter

import (
	"time"
)

// PlaceReason tells why a request runs where it does, or why nowhere.
type PlaceReason string

// The reasons for a place.
const (
	AtHome       PlaceReason = "home"         // the region serves its own
	CheaperHere  PlaceReason = "cheaperHere"  // waiting here costs less than any other region
	AlreadyMoved PlaceReason = "alreadyMoved" // another node sent it here: never sent on
	Bound        PlaceReason = "bound"        // its data must not leave this region
	NotAllowed   PlaceReason = "notAllowed"   // the entry names no other region
	Away         PlaceReason = "away"         // another region costs less
	NoRoom       PlaceReason = "noRoom"       // this region cannot take it, but another can
	WrongRegion  PlaceReason = "wrongRegion"  // bound to another region: not run here and not passed on
	Nowhere      PlaceReason = "nowhere"      // no region known to have a target
)

// Placement is the region for a request; an empty Region says that it must not
// run anywhere this node could reach.
type Placement struct {
	Region string
	Reason PlaceReason
	Wait   time.Duration // expected wait for a slot there
}

// Place chooses the region of a request. A request changes region at most once
// because a node passes on only what came straight from a caller: neither a
// forged nor a lost hop record can make it loop.
func (r *Router) Place(q *Query) Placement {
	if q.bound() && q.Home != r.Region {
		return Placement{Reason: WrongRegion}
	}
	room := r.Targets.Room(q.Entry.Service, q.Now)
	here := Placement{Region: r.Region, Reason: AtHome, Wait: room.Wait}
	if room.Targets == 0 || q.Full {
		here = Placement{Reason: Nowhere}
	}
	if reason, fixed := r.mustStay(q); fixed {
		if here.Region != "" {
			here.Reason = reason
		}
		return here
	}
	if here.Region != "" && room.Wait == 0 && q.Home == r.Region {
		return here
	}
	return r.cheapest(q, here)
}

// mustStay reports whether a request must not be sent to another region.
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

// cheapest weighs the other regions against this one.
func (r *Router) cheapest(q *Query, here Placement) Placement {
	best := here
	lowest := r.cost(q, r.Region, here.Wait)
	if here.Region != "" {
		best.Reason = CheaperHere
		lowest -= q.Entry.Weights.Tail * r.Policy.margin().Seconds()
	}
	var buf [typicalRegions]Load
	loads := r.Regions.loads(q.Entry.Service, q.Now, buf[:0])
	for i := range loads {
		l := &loads[i]
		if l.Region == r.Region || l.Targets == 0 || !allowed(q, l.Region) {
			continue
		}
		wait := l.wait()
		if q.Full && wait > 0 {
			continue
		}
		cost := r.cost(q, l.Region, wait)
		if best.Region == "" || cost < lowest {
			best = Placement{Region: l.Region, Reason: Away, Wait: wait}
			lowest = cost
		}
	}
	if here.Region == "" && best.Region != "" {
		best.Reason = NoRoom
	}
	return best
}

// typicalRegions is how many regions are weighed without allocating.
const typicalRegions = 16

// allowed reports whether the entry lets a request run in a region; the home of
// its workspace is always allowed.
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

// anyRegion in an entry's list of regions allows all of them.
const anyRegion = "*"

// cost weighs the wait, the way there and back, the price of the link and the
// share sent away by the entry's weights.
func (r *Router) cost(q *Query, region string, wait time.Duration) float64 {
	w := q.Entry.Weights
	cost := w.Tail * wait.Seconds()
	if region != r.Region {
		link := r.Regions.link(region)
		cost += w.Tail*2*link.Delay.Seconds() + w.Cost*link.Price
	}
	if region != q.Home {
		cost += w.SentAway
	}
	if q.late(wait) {
		cost += missedDeadlineCost
	}
	return cost
}

// missedDeadlineCost is what an answer that misses its deadline costs, against which
// the price of a link and a share sent away hardly count.
const missedDeadlineCost = 10
