package jwlimit

import (
	"time"

	"jujubewheel/core/jwcatalogue"
)

// admission is the state of the decision on one request.
type admission struct {
	*Query
	limiter    *Limiter
	entryMeter *meter
	owner      *pool
	service    *pool
}

// classLimit limits how much of a shared resource a class may use. More urgent
// classes have higher limits, so that drafts always leave some capacity to
// them.
type classLimit struct {
	node        float64 // fraction of the node's limit of concurrent requests
	outstanding float64 // outstanding requests per slot of the service
}

var classLimits = map[jwcatalogue.Class]classLimit{
	jwcatalogue.Draft:        {node: 0.8, outstanding: 1.6},
	jwcatalogue.Lookup:       {node: 0.9, outstanding: 2.6},
	jwcatalogue.Confirmation: {node: 1, outstanding: 5},
}

// maxForeignUse is the fraction of the slots in use up to which a region
// accepts requests of other regions, so that the remaining slots are free for
// its own callers.
const maxForeignUse = 0.9

// check makes the checks one after the other until one rejects the request. The
// rejections that cost the caller least come last: a request above a limit of
// the entry is rejected for that reason even when the service is full as well.
func (a *admission) check() (Rejection, bool) {
	if a.Capacity.Targets == 0 && !a.Away {
		return Rejection{Reason: NoTarget, RetryAfter: a.withJitter(noTargetRetryAfter)}, true
	}
	if a.nodeFull() {
		return Rejection{Reason: NodeFull, RetryAfter: a.withJitter(a.slotInterval())}, true
	}
	if refusal, refused := a.checkEntryLimits(); refused {
		return refusal, true
	}
	if a.Away {
		return Rejection{}, false
	}
	if a.Foreign && float64(a.Capacity.Outstanding) >= maxForeignUse*float64(a.Capacity.Slots) {
		return Rejection{Reason: QueueFull, RetryAfter: a.withJitter(a.slotInterval())}, true
	}
	return a.checkCapacity()
}

// noTargetRetryAfter is the retry time while no target may get the request;
// jitter is added to it.
const noTargetRetryAfter = 2 * time.Second

// nodeFull reports whether this node runs as many requests as the class allows.
func (a *admission) nodeFull() bool {
	maxRunning := a.limiter.MaxRunning
	return maxRunning > 0 && float64(a.limiter.running) >= a.classLimit().node*float64(maxRunning)
}

// checkEntryLimits checks this node's share of the entry's limits. A request
// from another region was already counted there.
func (a *admission) checkEntryLimits() (Rejection, bool) {
	if a.Foreign {
		return Rejection{}, false
	}
	limits := a.Query.Entry.Limits
	share := a.limiter.share(a.Query.Entry.Name, a.entryMeter, limits.Concurrent, a.Now)
	a.entryMeter.refill(limits, share, a.Now)
	if limits.Concurrent > 0 && a.entryMeter.running >= share.concurrent {
		return Rejection{Reason: EntryConcurrent, RetryAfter: a.withJitter(a.slotInterval())}, true
	}
	if limits.Rate <= 0 {
		return Rejection{}, false
	}
	interval := time.Duration(float64(time.Second) / (limits.Rate * share.fraction))
	if a.mayTakeToken(&a.entryMeter.reservations, a.entryMeter.tokens, interval) {
		return Rejection{}, false
	}
	return a.rejectWithReservation(EntryRate, &a.entryMeter.reservations, interval), true
}

// mayTakeToken reports whether a request may take one of the free tokens. A
// caller that retries at its reserved time may take any of them; others may
// take only tokens that are not reserved. Otherwise new callers would take the
// tokens first, and callers that retry at the given time would be rejected
// again and again.
func (a *admission) mayTakeToken(q *reservationQueue, free float64, interval time.Duration) bool {
	if a.limiter.Policy.NoReservations {
		return free >= 1
	}
	if free >= 1 && q.claim(a.Caller, a.Now) {
		return true
	}
	return free-float64(q.pending(a.Now, interval)) >= 1
}

// checkCapacity checks whether the service can accept the request.
func (a *admission) checkCapacity() (Rejection, bool) {
	if a.Capacity.Wait == 0 {
		return Rejection{}, false
	}
	limit := a.maxOutstandingPerSlot()
	switch queue := a.outstandingPerSlot(); {
	case queue >= limit:
		return Rejection{Reason: QueueFull, RetryAfter: a.staggeredRetryAfter(a.service, a.Capacity.Wait)}, true
	case queue >= ownerQueueShare*limit && a.ownerOverShare():
		return Rejection{Reason: OwnerShare, RetryAfter: a.staggeredRetryAfter(a.owner, a.Capacity.Wait)}, true
	}
	if late := a.lateness(); late > 0 && !a.limiter.Policy.NoDeadline {
		return Rejection{Reason: TooLate, RetryAfter: a.staggeredRetryAfter(a.service, late)}, true
	}
	return Rejection{}, false
}

// outstandingPerSlot returns the number of outstanding requests per slot of the
// service.
func (a *admission) outstandingPerSlot() float64 {
	return float64(a.Capacity.Outstanding) / float64(max(a.Capacity.Slots, 1))
}

// lateness returns how far past its deadline the request would end, or how far
// past the time that its entry allows for the first token it would begin,
// whichever is more, but at most the expected wait.
func (a *admission) lateness() time.Duration {
	wait := a.expectedWait()
	late := time.Duration(0)
	if a.TimeLeft > 0 {
		late = wait + a.CallTime - a.TimeLeft
	}
	if first := a.Query.Entry.FirstToken; first > 0 {
		late = max(late, wait-first)
	}
	return min(late, wait)
}

// expectedWait returns how long a request of this class is expected to wait.
// The targets respect priorities, so an urgent request waits only for other
// urgent ones.
func (a *admission) expectedWait() time.Duration {
	if a.Query.Entry.Class == jwcatalogue.Draft || a.limiter.Policy.NoClasses {
		return a.Capacity.Wait
	}
	if a.service.running == 0 {
		return 0
	}
	return time.Duration(float64(a.Capacity.Wait) * float64(a.service.urgent) / float64(a.service.running))
}

// ownerQueueShare is the fraction of a class's queue that an owner above its
// share may use. The remainder is kept for the other owners of the class, so that a
// burst displaces neither them nor a more urgent class.
const ownerQueueShare = 0.7

// boundQueueFactor is how much longer the queue may be for requests that are
// bound to this region. Other requests may run in other regions. If all had the
// same limit, bound requests would be rejected while the others fill the queue
// that they need.
const boundQueueFactor = 1.4

// maxOutstandingPerSlot returns the number of outstanding requests per slot
// from which the request is rejected.
func (a *admission) maxOutstandingPerSlot() float64 {
	if a.Bound {
		return boundQueueFactor * a.classLimit().outstanding
	}
	return a.classLimit().outstanding
}

// ownerOverShare reports whether an owner has more requests than its share of a
// service. Its share is what this node can expect to run and queue, divided by
// the number of active owners.
func (a *admission) ownerOverShare() bool {
	if a.limiter.Policy.NoOwners || a.Query.Entry.Class == jwcatalogue.Confirmation {
		return false
	}
	nodes := max(len(a.limiter.members), 1)
	capacity := ownerQueueShare * a.maxOutstandingPerSlot() * float64(a.Capacity.Slots) / float64(nodes)
	fairShare := capacity / float64(a.limiter.activeOwners(a.Query.Entry.Service, a.service, a.Now))
	return float64(a.owner.running) >= max(fairShare, 1)
}

// ownerActiveFor is how long after its last request an owner still counts as
// active.
const ownerActiveFor = 5 * time.Second

// activeOwners returns the number of owners that have running or recent
// requests to a service. The count is kept for shareTTL, since there may be
// hundreds of owners.
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

// classLimit returns the limits of the request's class, or those of drafts for
// an unknown class.
func (a *admission) classLimit() classLimit {
	if c, known := classLimits[a.Query.Entry.Class]; known && !a.limiter.Policy.NoClasses {
		return c
	}
	return classLimits[jwcatalogue.Draft]
}

// slotInterval returns the average time between two slots of the service that
// become free for this node.
func (a *admission) slotInterval() time.Duration {
	slots := max(a.Capacity.Slots, 1)
	nodes := max(len(a.limiter.members), 1)
	return a.Capacity.CallTime * time.Duration(nodes) / time.Duration(slots)
}

// rejectWithReservation rejects the request and reserves the next free place in
// a queue for its caller.
func (a *admission) rejectWithReservation(reason Reason, q *reservationQueue, interval time.Duration) Rejection {
	if a.limiter.Policy.NoReservations {
		return Rejection{Reason: reason, RetryAfter: a.withJitter(interval)}
	}
	at, kept := q.reserve(a.Caller, a.Now, interval)
	if !kept {
		return Rejection{Reason: reason, RetryAfter: a.withJitter(maxRetryAfter / 2)}
	}
	return Rejection{Reason: reason, RetryAfter: at.Sub(a.Now)}
}

// Bounds of the Retry-After that a caller is given.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// retryCapacityShare is the fraction of a service's throughput that is planned
// for callers that retry.
const retryCapacityShare = 0.25

// staggeredRetryAfter returns when a caller that was rejected for lack of
// capacity should retry: after the others that were given a time, at a rate
// that leaves most of the capacity to new callers. If all retried soon, they
// would return during the overload again and again, new callers would be
// rejected in their favour, and all callers would be served late, after several
// tries.
func (a *admission) staggeredRetryAfter(p *pool, minWait time.Duration) time.Duration {
	interval := time.Duration(float64(a.slotInterval()) / retryCapacityShare)
	p.lastRetryAt = p.lastRetryAt.Add(interval)
	if soonest := a.Now.Add(minWait); p.lastRetryAt.Before(soonest) {
		p.lastRetryAt = soonest
	}
	if latest := a.Now.Add(maxRetryAfter / 2); p.lastRetryAt.After(latest) {
		p.lastRetryAt = latest
	}
	return a.withJitter(p.lastRetryAt.Sub(a.Now))
}

// withJitter returns a random time between d and 2*d, so that callers that were
// rejected together do not retry together. It first limits d so that the result
// is within the bounds of a Retry-After.
func (a *admission) withJitter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter/2)
	return d + time.Duration(a.Random*float64(d))
}
