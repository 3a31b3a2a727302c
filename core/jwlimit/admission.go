package jwlimit

import (
	"time"

	"jujubewheel/core/jwcatalogue"
)

// admission is one request while it is decided on.
type admission struct {
	*Query
	limiter    *Limiter
	entryMeter *meter
	owner      *pool
	service    *pool
}

// classLimit says how far a class may fill what it shares with others: more
// urgent classes reach further, so drafts never leave them without a place.
type classLimit struct {
	node        float64 // share of the node's own limit
	outstanding float64 // requests outstanding for each slot of the service
}

var classLimits = map[jwcatalogue.Class]classLimit{
	jwcatalogue.Draft:        {node: 0.8, outstanding: 1.6},
	jwcatalogue.Lookup:       {node: 0.9, outstanding: 2.6},
	jwcatalogue.Confirmation: {node: 1, outstanding: 5},
}

// maxForeignUse is the share of slots up to which a region takes requests of
// other regions, so that its own callers find the rest.
const maxForeignUse = 0.9

// check goes through the tests in turn, the cheapest for the caller last: a
// limit of the entry is named as such even when the service is full as well.
func (a *admission) check() (Refusal, bool) {
	if a.Room.Targets == 0 && !a.Away {
		return Refusal{Reason: NoTarget, RetryAfter: a.withJitter(noTargetRetryAfter)}, true
	}
	if a.nodeFull() {
		return Refusal{Reason: NodeFull, RetryAfter: a.withJitter(a.slotInterval())}, true
	}
	if refusal, refused := a.checkEntryLimits(); refused {
		return refusal, true
	}
	if a.Away {
		return Refusal{}, false
	}
	if a.Foreign && float64(a.Room.Outstanding) >= maxForeignUse*float64(a.Room.Slots) {
		return Refusal{Reason: Crowded, RetryAfter: a.withJitter(a.slotInterval())}, true
	}
	return a.checkCapacity()
}

// noTargetRetryAfter is when to come back while no target may get the request.
const noTargetRetryAfter = 2 * time.Second

func (a *admission) nodeFull() bool {
	maxRunning := a.limiter.Running
	return maxRunning > 0 && float64(a.limiter.running) >= a.classLimit().node*float64(maxRunning)
}

// checkEntryLimits tests the entry's own limits, of which this node has a share.
// A request sent here by another region was counted there.
func (a *admission) checkEntryLimits() (Refusal, bool) {
	if a.Foreign {
		return Refusal{}, false
	}
	limits := a.Query.Entry.Limits
	share := a.limiter.share(a.Query.Entry.Name, a.entryMeter, limits.Concurrent, a.Now)
	a.entryMeter.refill(limits, share, a.Now)
	if limits.Concurrent > 0 && a.entryMeter.running >= share.concurrent {
		return Refusal{Reason: EntryConcurrent, RetryAfter: a.withJitter(a.slotInterval())}, true
	}
	if limits.Rate <= 0 {
		return Refusal{}, false
	}
	interval := time.Duration(float64(time.Second) / (limits.Rate * share.fraction))
	if a.mayTakeToken(&a.entryMeter.reservations, a.entryMeter.tokens, interval) {
		return Refusal{}, false
	}
	return a.refuseWithReservation(EntryRate, &a.entryMeter.reservations, interval), true
}

// mayTakeToken reports whether a request may take one of the free places: a caller that
// retries at the time it was given does if there is one, others only what is
// not kept for such callers. Without this, new callers take the places first,
// and one who did so is refused time and again.
func (a *admission) mayTakeToken(q *reservationQueue, free float64, interval time.Duration) bool {
	if a.limiter.Policy.NoBooking {
		return free >= 1
	}
	if free >= 1 && q.claim(a.Caller, a.Now) {
		return true
	}
	return free-float64(q.pending(a.Now, interval)) >= 1
}

// checkCapacity tests what the service can still take.
func (a *admission) checkCapacity() (Refusal, bool) {
	if a.Room.Wait == 0 {
		return Refusal{}, false
	}
	limit := a.maxOutstandingPerSlot()
	switch queue := a.outstandingPerSlot(); {
	case queue >= limit:
		return Refusal{Reason: Crowded, RetryAfter: a.staggeredRetryAfter(a.service, a.Room.Wait)}, true
	case queue >= ownerQueueShare*limit && a.ownerOverShare():
		return Refusal{Reason: OwnerShare, RetryAfter: a.staggeredRetryAfter(a.owner, a.Room.Wait)}, true
	}
	if late := a.lateness(); late > 0 && !a.limiter.Policy.NoDeadline {
		return Refusal{Reason: TooLate, RetryAfter: a.staggeredRetryAfter(a.service, late)}, true
	}
	return Refusal{}, false
}

// outstandingPerSlot returns the requests outstanding for each slot of the service.
func (a *admission) outstandingPerSlot() float64 {
	return float64(a.Room.Outstanding) / float64(max(a.Room.Slots, 1))
}

// lateness returns how far past its deadline the request would end, or past the
// time for the first token that its entry asks for it would begin.
func (a *admission) lateness() time.Duration {
	wait := a.expectedWait()
	late := time.Duration(0)
	if a.Left > 0 {
		late = wait + a.Work - a.Left
	}
	if first := a.Query.Entry.FirstToken; first > 0 {
		late = max(late, wait-first)
	}
	return min(late, wait)
}

// expectedWait is the expected expectedWait of the request's class. The targets honour
// priorities, so an urgent request waits for the urgent ones alone.
func (a *admission) expectedWait() time.Duration {
	if a.Query.Entry.Class == jwcatalogue.Draft || a.limiter.Policy.NoClasses {
		return a.Room.Wait
	}
	if a.service.running == 0 {
		return 0
	}
	return time.Duration(float64(a.Room.Wait) * float64(a.service.urgent) / float64(a.service.running))
}

// ownerQueueShare is the part of a class's queue that an owner above its share may
// fill. The rest is for the other owners of the class, so that a burst takes
// nothing from them, nor from a more urgent class.
const ownerQueueShare = 0.7

// boundQueueFactor is how much further requests may queue that are bound to this
// region. The others have other regions to go to; were all treated alike, the
// bound ones would be refused while the others wait in the places they need.
const boundQueueFactor = 1.4

// maxOutstandingPerSlot returns the requests outstanding for each slot of the service from
// which the request is refused.
func (a *admission) maxOutstandingPerSlot() float64 {
	if a.Bound {
		return boundQueueFactor * a.classLimit().outstanding
	}
	return a.classLimit().outstanding
}

// ownerOverShare reports whether an owner holds more than its share of a service. Its
// share is what this node may hope to run and queue, divided by the owners
// that ask.
func (a *admission) ownerOverShare() bool {
	if a.limiter.Policy.NoOwners || a.Query.Entry.Class == jwcatalogue.Confirmation {
		return false
	}
	nodes := max(len(a.limiter.members), 1)
	capacity := ownerQueueShare * a.maxOutstandingPerSlot() * float64(a.Room.Slots) / float64(nodes)
	fairShare := capacity / float64(a.limiter.activeOwners(a.Query.Entry.Service, a.service, a.Now))
	return float64(a.owner.running) >= max(fairShare, 1)
}

// ownerActiveFor is how long after its last request an owner counts for the shares.
const ownerActiveFor = 5 * time.Second

// activeOwners returns how many activeOwners run or ask for something of a service. It
// counts anew after shareFor, since there may be hundreds.
func (l *Limiter) activeOwners(name string, service *pool, now time.Time) int {
	if service.owners > 0 && now.Sub(service.ownersCountedAt) < shareTTL {
		return service.owners
	}
	n := 0
	for key, p := range l.pools {
		if key.service == name && (p.running > 0 || now.Sub(p.lastRequest) < ownerActiveFor) {
			n++
		}
	}
	service.owners = max(n, 1)
	service.ownersCountedAt = now
	return service.owners
}

func (a *admission) classLimit() classLimit {
	if c, known := classLimits[a.Query.Entry.Class]; known && !a.limiter.Policy.NoClasses {
		return c
	}
	return classLimits[jwcatalogue.Draft]
}

// slotInterval is the time in which the service frees one slot for this node.
func (a *admission) slotInterval() time.Duration {
	slots := max(a.Room.Slots, 1)
	nodes := max(len(a.limiter.members), 1)
	return a.Room.Work * time.Duration(nodes) / time.Duration(slots)
}

// refuseWithReservation refuses with the next free turn of a book.
func (a *admission) refuseWithReservation(reason Reason, q *reservationQueue, interval time.Duration) Refusal {
	if a.limiter.Policy.NoBooking {
		return Refusal{Reason: reason, RetryAfter: a.withJitter(interval)}
	}
	at, kept := q.reserve(a.Caller, a.Now, interval)
	if !kept {
		return Refusal{Reason: reason, RetryAfter: a.withJitter(maxRetryAfter / 2)}
	}
	return Refusal{Reason: reason, RetryAfter: at.Sub(a.Now)}
}

// Bounds of the Retry-After that a caller gets.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// retryCapacityShare is the part of what a service finishes that is left to callers who
// come back.
const retryCapacityShare = 0.25

// staggeredRetryAfter returns when a caller who is refused for want of room is to retry: after
// the others who were given a time, at a pace that leaves most of the room to those
// who come for the first time. Were all to retry soon, they would come
// in the midst of an overload again and again, new callers would be refused in
// their favour, and everyone would be served only after several tries: late.
func (a *admission) staggeredRetryAfter(p *pool, minWait time.Duration) time.Duration {
	pace := time.Duration(float64(a.slotInterval()) / retryCapacityShare)
	p.lastRetryAt = p.lastRetryAt.Add(pace)
	if soonest := a.Now.Add(minWait); p.lastRetryAt.Before(soonest) {
		p.lastRetryAt = soonest
	}
	if latest := a.Now.Add(maxRetryAfter / 2); p.lastRetryAt.After(latest) {
		p.lastRetryAt = latest
	}
	return a.withJitter(p.lastRetryAt.Sub(a.Now))
}

// withJitter returns a time between d and twice that, so that callers refused
// together do not come back together.
func (a *admission) withJitter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter/2)
	return d + time.Duration(a.Random*float64(d))
}
