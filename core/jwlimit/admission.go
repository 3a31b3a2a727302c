package jwlimit

import (
	"time"

	"jujubewheel/core/jwcatalogue"
)

// admission is one request while it is decided on.
type admission struct {
	*Query
	limiter *Limiter
	entry   *meter
	owner   *pool
	service *pool
}

// ceiling says how far a class may fill what it shares with others: more
// urgent classes reach further, so drafts never leave them without a place.
type ceiling struct {
	node  float64 // share of the node's own limit
	queue float64 // requests outstanding for each slot of the service
}

var ceilings = map[jwcatalogue.Class]ceiling{
	jwcatalogue.Draft:        {node: 0.8, queue: 1.6},
	jwcatalogue.Lookup:       {node: 0.9, queue: 2.6},
	jwcatalogue.Confirmation: {node: 1, queue: 5},
}

// foreignFill is the share of slots up to which a region takes requests of
// other regions, so that its own callers find the rest.
const foreignFill = 0.9

// refuse goes through the tests in turn, the cheapest for the caller last: a
// limit of the entry is named as such even when the service is full as well.
func (a *admission) refuse() (Refusal, bool) {
	if a.Room.Targets == 0 && !a.Away {
		return Refusal{Reason: NoTarget, RetryAfter: a.spread(noTargetPause)}, true
	}
	if a.nodeFull() {
		return Refusal{Reason: NodeFull, RetryAfter: a.spread(a.gap())}, true
	}
	if refusal, refused := a.overLimits(); refused {
		return refusal, true
	}
	if a.Away {
		return Refusal{}, false
	}
	if a.Foreign && float64(a.Room.Outstanding) >= foreignFill*float64(a.Room.Slots) {
		return Refusal{Reason: Crowded, RetryAfter: a.spread(a.gap())}, true
	}
	return a.overRoom()
}

// noTargetPause is when to come back while no target may get the request.
const noTargetPause = 2 * time.Second

func (a *admission) nodeFull() bool {
	most := a.limiter.Running
	return most > 0 && float64(a.limiter.running) >= a.ceiling().node*float64(most)
}

// overLimits tests the entry's own limits, of which this node has a share.
// A request sent here by another region was counted there.
func (a *admission) overLimits() (Refusal, bool) {
	if a.Foreign {
		return Refusal{}, false
	}
	limits := a.Query.Entry.Limits
	share := a.limiter.share(a.Query.Entry.Name, a.entry, limits.Concurrent, a.Now)
	a.entry.refill(limits, share, a.Now)
	if limits.Concurrent > 0 && a.entry.running >= share.concurrent {
		return Refusal{Reason: EntryConcurrent, RetryAfter: a.spread(a.gap())}, true
	}
	if limits.Rate <= 0 {
		return Refusal{}, false
	}
	gap := time.Duration(float64(time.Second) / (limits.Rate * share.fraction))
	if a.turn(&a.entry.book, a.entry.tokens, gap) {
		return Refusal{}, false
	}
	return a.later(EntryRate, &a.entry.book, gap), true
}

// turn reports whether a request may take one of the free places: a caller that
// retries at the time it was given does if there is one, others only what is
// not kept for such callers. Without this, new callers take the places first,
// and one who did so is refused time and again.
func (a *admission) turn(b *book, free float64, gap time.Duration) bool {
	if a.limiter.Policy.NoBooking {
		return free >= 1
	}
	if free >= 1 && b.take(a.Caller, a.Now) {
		return true
	}
	return free-float64(b.due(a.Now, gap)) >= 1
}

// overRoom tests what the service can still take.
func (a *admission) overRoom() (Refusal, bool) {
	if a.Room.Wait == 0 {
		return Refusal{}, false
	}
	most := a.mostQueue()
	switch queue := a.queue(); {
	case queue >= most:
		return Refusal{Reason: Crowded, RetryAfter: a.inTurn(a.service, a.Room.Wait)}, true
	case queue >= ownerPart*most && a.overOwner():
		return Refusal{Reason: OwnerShare, RetryAfter: a.inTurn(a.owner, a.Room.Wait)}, true
	}
	if late := a.late(); late > 0 && !a.limiter.Policy.NoDeadline {
		return Refusal{Reason: TooLate, RetryAfter: a.inTurn(a.service, late)}, true
	}
	return Refusal{}, false
}

// queue returns the requests outstanding for each slot of the service.
func (a *admission) queue() float64 {
	return float64(a.Room.Outstanding) / float64(max(a.Room.Slots, 1))
}

// late returns how far past its deadline the request would end, or past the
// time for the first token that its entry asks for it would begin.
func (a *admission) late() time.Duration {
	wait := a.wait()
	late := time.Duration(0)
	if a.Left > 0 {
		late = wait + a.Work - a.Left
	}
	if first := a.Query.Entry.FirstToken; first > 0 {
		late = max(late, wait-first)
	}
	return min(late, wait)
}

// wait is the expected wait of the request's class. The targets honour
// priorities, so an urgent request waits for the urgent ones alone.
func (a *admission) wait() time.Duration {
	if a.Query.Entry.Class == jwcatalogue.Draft || a.limiter.Policy.NoClasses {
		return a.Room.Wait
	}
	if a.service.running == 0 {
		return 0
	}
	return time.Duration(float64(a.Room.Wait) * float64(a.service.urgent) / float64(a.service.running))
}

// ownerPart is the part of a class's queue that an owner above its share may
// fill. The rest is for the other owners of the class, so that a burst takes
// nothing from them, nor from a more urgent class.
const ownerPart = 0.7

// boundMore is how much further requests may queue that are bound to this
// region. The others have other regions to go to; were all treated alike, the
// bound ones would be refused while the others wait in the places they need.
const boundMore = 1.4

// mostQueue returns the requests outstanding for each slot of the service from
// which the request is refused.
func (a *admission) mostQueue() float64 {
	if a.Bound {
		return boundMore * a.ceiling().queue
	}
	return a.ceiling().queue
}

// overOwner reports whether an owner holds more than its share of a service. Its
// share is what this node may hope to run and queue, divided by the owners
// that ask.
func (a *admission) overOwner() bool {
	if a.limiter.Policy.NoOwners || a.Query.Entry.Class == jwcatalogue.Confirmation {
		return false
	}
	nodes := max(len(a.limiter.members), 1)
	capacity := ownerPart * a.mostQueue() * float64(a.Room.Slots) / float64(nodes)
	fair := capacity / float64(a.limiter.owners(a.Query.Entry.Service, a.service, a.Now))
	return float64(a.owner.running) >= max(fair, 1)
}

// askedFor is how long after its last request an owner counts for the shares.
const askedFor = 5 * time.Second

// owners returns how many owners run or ask for something of a service. It
// counts anew after shareFor, since there may be hundreds.
func (l *Limiter) owners(name string, service *pool, now time.Time) int {
	if service.owners > 0 && now.Sub(service.counted) < shareFor {
		return service.owners
	}
	n := 0
	for key, p := range l.pools {
		if key.service == name && (p.running > 0 || now.Sub(p.asked) < askedFor) {
			n++
		}
	}
	service.owners = max(n, 1)
	service.counted = now
	return service.owners
}

func (a *admission) ceiling() ceiling {
	if c, known := ceilings[a.Query.Entry.Class]; known && !a.limiter.Policy.NoClasses {
		return c
	}
	return ceilings[jwcatalogue.Draft]
}

// gap is the time in which the service frees one slot for this node.
func (a *admission) gap() time.Duration {
	slots := max(a.Room.Slots, 1)
	nodes := max(len(a.limiter.members), 1)
	return a.Room.Work * time.Duration(nodes) / time.Duration(slots)
}

// later refuses with the next free turn of a book.
func (a *admission) later(reason Reason, b *book, gap time.Duration) Refusal {
	if a.limiter.Policy.NoBooking {
		return Refusal{Reason: reason, RetryAfter: a.spread(gap)}
	}
	at, kept := b.add(a.Caller, a.Now, gap)
	if !kept {
		return Refusal{Reason: reason, RetryAfter: a.spread(maxRetryAfter / 2)}
	}
	return Refusal{Reason: reason, RetryAfter: at.Sub(a.Now)}
}

// Bounds of the Retry-After that a caller gets.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// backShare is the part of what a service finishes that is left to callers who
// come back.
const backShare = 0.25

// inTurn returns when a caller who is refused for want of room is to retry: after
// the others who were given a time, at a pace that leaves most of the room to those
// who come for the first time. Were all to retry soon, they would come
// in the midst of an overload again and again, new callers would be refused in
// their favour, and everyone would be served only after several tries: late.
func (a *admission) inTurn(p *pool, least time.Duration) time.Duration {
	pace := time.Duration(float64(a.gap()) / backShare)
	p.back = p.back.Add(pace)
	if soonest := a.Now.Add(least); p.back.Before(soonest) {
		p.back = soonest
	}
	if latest := a.Now.Add(maxRetryAfter / 2); p.back.After(latest) {
		p.back = latest
	}
	return a.spread(p.back.Sub(a.Now))
}

// spread returns a time between d and twice that, so that callers refused
// together do not come back together.
func (a *admission) spread(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter/2)
	return d + time.Duration(a.Random*float64(d))
}
