package jwwaitroom

import (
	"slices"
	"sync"
	"time"
)

// Reason says why a request does not wait or no longer waits.
type Reason string

// The possible reasons.
const (
	None      Reason = ""
	Expired   Reason = "can't be served in time any more"
	Displaced Reason = "displaced by a more urgent request"
	Full      Reason = "the waiting room is full"
	Stopping  Reason = "the node is stopping"
)

// Request describes a request that waits. Priority orders first, then Share, then LatestStart.
type Request struct {
	Service     string
	Priority    int       // 0 is the most urgent
	Share       float64   // weight of its workspace; the larger goes first
	LatestStart time.Time // a start after this time would be too late
	Bytes       int64     // memory that the request takes while it waits
}

// Ticket is the place of a request in the room.
type Ticket struct {
	Request
	seq     uint64 // order of arrival
	waiting bool
	signal  chan Reason
}

// Signal delivers None when it is the request's turn to look for a target, or the reason why the
// room has dropped it.
func (t *Ticket) Signal() <-chan Reason { return t.signal }

// Room is a waiting room. The exported fields must be set before use and bound it; 0 admits
// nothing. It is safe for concurrent use.
type Room struct {
	MaxRequests int
	MaxBytes    int64

	mu       sync.Mutex
	all      []*Ticket           // ordered by before
	services map[string]*service // of the services with waiting requests, or with a measured rate
	bytes    int64
	seq      uint64
}

// service holds the waiting requests of one service.
type service struct {
	queue []*Ticket // ordered by before

	// At most one request has its turn, so that none takes the room of one that goes before it.
	holder  *Ticket
	size    int     // turns of the current round
	left    int     // of these, those not given yet
	again   int     // turns of the round after this one: targets may have got room since it began
	resumed bool    // the current round has cut another one short
	rotated *Ticket // last request that got a turn beyond the first in order

	lastStart time.Time // when a request last left the queue for a target, zero if the queue was empty since
	interval  time.Duration
}

// intervalWeight is the weight of a new sample in the mean time between two starts.
const intervalWeight = 0.1

// maxInterval limits a sample of the mean time between two starts. Requests rarely wait longer.
const maxInterval = 2 * time.Second

// maxServices limits the number of services with a measured rate.
const maxServices = 64

// before reports whether a goes before b.
func before(a, b *Ticket) bool { return compare(a, b) < 0 }

func compare(a, b *Ticket) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.Share > b.Share:
		return -1
	case a.Share < b.Share:
		return 1
	}
	if c := a.LatestStart.Compare(b.LatestStart); c != 0 {
		return c
	}
	if a.seq < b.seq {
		return -1
	}
	if a.seq > b.seq {
		return 1
	}
	return 0
}

// Enter puts a request into the room. It returns the reason if the request can't wait: because it
// could no longer be served, or because the room is full of requests that go before it.
func (r *Room) Enter(now time.Time, q Request) (*Ticket, Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(q.LatestStart) {
		return nil, Expired
	}
	r.seq++
	t := &Ticket{Request: q, seq: r.seq, signal: make(chan Reason, 1)}
	if !r.fits(t) {
		r.expire(now)
	}
	if !r.makeRoom(t) {
		return nil, Full
	}
	r.add(t)
	return t, None
}

// fits reports whether a request fits without dropping another.
func (r *Room) fits(t *Ticket) bool {
	return len(r.all) < r.MaxRequests && r.bytes+t.Bytes <= r.MaxBytes
}

// makeRoom drops requests that go after t until it fits; it reports false, and drops none, if it
// can't fit.
func (r *Room) makeRoom(t *Ticket) bool {
	count, bytes, n := len(r.all)+1, r.bytes+t.Bytes, 0
	for count > r.MaxRequests || bytes > r.MaxBytes {
		n++
		if n > len(r.all) || !before(t, r.all[len(r.all)-n]) {
			return false
		}
		count--
		bytes -= r.all[len(r.all)-n].Bytes
	}
	for ; n > 0; n-- {
		r.drop(r.all[len(r.all)-1], Displaced)
	}
	return true
}

func (r *Room) add(t *Ticket) {
	t.waiting = true
	r.bytes += t.Bytes
	r.all = insert(r.all, t)
	s := r.service(t.Service)
	s.queue = insert(s.queue, t)
}

func (r *Room) service(name string) *service {
	if r.services == nil {
		r.services = make(map[string]*service)
	}
	s := r.services[name]
	if s == nil {
		if len(r.services) >= maxServices {
			for other, old := range r.services {
				if len(old.queue) == 0 && old.holder == nil {
					delete(r.services, other)
				}
			}
		}
		s = &service{}
		r.services[name] = s
	}
	return s
}

func insert(list []*Ticket, t *Ticket) []*Ticket {
	i, _ := slices.BinarySearchFunc(list, t, compare)
	return slices.Insert(list, i, t)
}

func remove(list []*Ticket, t *Ticket) []*Ticket {
	if i, ok := slices.BinarySearchFunc(list, t, compare); ok {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// take removes a ticket that waits.
func (r *Room) take(t *Ticket) {
	t.waiting = false
	r.bytes -= t.Bytes
	r.all = remove(r.all, t)
	s := r.services[t.Service]
	s.queue = remove(s.queue, t)
	if len(s.queue) == 0 {
		s.lastStart = time.Time{}
	}
}

// drop removes a ticket and delivers the reason, in place of a turn that was not taken up yet.
func (r *Room) drop(t *Ticket, reason Reason) {
	r.take(t)
	select {
	case <-t.signal:
	default:
	}
	t.signal <- reason
}

// expire drops the requests that can no longer be served, except those that have their turn and
// decide for themselves.
func (r *Room) expire(now time.Time) {
	for i := len(r.all) - 1; i >= 0; i-- {
		if t := r.all[i]; r.services[t.Service].holder != t && !now.Before(t.LatestStart) {
			r.drop(t, Expired)
		}
	}
}

// Expire drops the requests that can no longer be served.
func (r *Room) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
}

// Offer gives up to n requests of a service their turn, in order and one after another, until none
// finds room any more. It is called when targets may have got room. While a request has its turn,
// the next round begins once that turn has ended.
func (r *Room) Offer(now time.Time, service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		r.offer(now, s, n)
	}
}

func (r *Room) offer(now time.Time, s *service, n int) {
	if s.holder != nil {
		s.again = max(s.again, n)
		return
	}
	s.size, s.left, s.again, s.resumed = n, n, 0, false
	r.giveTurn(now, s, 0)
}

// minRotatingRound is the size of a round from which its last turn rotates over the requests after
// the first ones, so that requests that fit nowhere don't block them.
const minRotatingRound = 3

// giveTurn gives the next turn of a round to the first request from index i on.
func (r *Room) giveTurn(now time.Time, s *service, i int) {
	rotates := s.left == 1 && s.size >= minRotatingRound
	if rotates && s.rotated != nil {
		if next := after(s.queue, s.rotated); next > i && next < len(s.queue) {
			i = next
		}
	}
	for s.left > 0 && i < len(s.queue) {
		t := s.queue[i]
		if !now.Before(t.LatestStart) {
			r.drop(t, Expired)
			continue
		}
		s.holder = t
		s.left--
		if rotates {
			s.rotated = t
		}
		t.signal <- None
		return
	}
	s.left = 0
	if n := s.again; n > 0 {
		r.offer(now, s, n)
	}
}

// endTurn ends the turn of a request, if it has it, and gives the next one; one that has left the
// room does not use up a turn of the round. If targets may have got
// room since the round began, a new one begins; to reach the later requests, not twice in a row.
func (r *Room) endTurn(now time.Time, t *Ticket, gone bool) {
	s := r.services[t.Service]
	if s == nil || s.holder != t {
		return
	}
	s.holder = nil
	if gone {
		s.left = max(s.left, 1)
	}
	if s.again > 0 && !s.resumed {
		r.offer(now, s, s.again)
		s.resumed = true
		return
	}
	r.giveTurn(now, s, after(s.queue, t))
}

// after returns the index of the first ticket that goes after t, which may have left the list.
func after(list []*Ticket, t *Ticket) int {
	i, ok := slices.BinarySearchFunc(list, t, compare)
	if ok {
		i++
	}
	return i
}

// OfferAll is Offer for each service.
func (r *Room) OfferAll(now time.Time, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		r.offer(now, s, n)
	}
}

// Return hands back a turn for which no target was found: the request keeps its place, and the next
// one gets its turn. It returns a reason if the request no longer waits.
func (r *Room) Return(now time.Time, t *Ticket) Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.endTurn(now, t, false)
	if !t.waiting {
		select {
		case reason := <-t.signal:
			return reason
		default:
			return Displaced
		}
	}
	if !now.Before(t.LatestStart) {
		r.take(t)
		return Expired
	}
	return None
}

// Leave removes a request from the room, whether it found a target or was given up. It may be
// called more than once. If it found a target, the next one gets its turn, as there may be room for
// it too.
func (r *Room) Leave(now time.Time, t *Ticket, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[t.Service]; s != nil && started {
		s.recordStart(now)
	}
	if t.waiting {
		r.take(t)
	}
	r.endTurn(now, t, true)
}

// recordStart updates the mean time between two starts while requests wait.
func (s *service) recordStart(now time.Time) {
	if !s.lastStart.IsZero() {
		d := min(now.Sub(s.lastStart), maxInterval)
		if s.interval == 0 {
			s.interval = d
		}
		s.interval += time.Duration(intervalWeight * float64(d-s.interval))
	}
	s.lastStart = now
	if len(s.queue) == 0 {
		s.lastStart = time.Time{}
	}
}

// Ahead returns how many waiting requests of a service go before a new one with the given priority
// and share, and how long they are expected to take to leave.
func (r *Room) Ahead(service string, priority int, share float64) (n int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || len(s.queue) == 0 {
		return 0, 0
	}
	last := &Ticket{Request: Request{Priority: priority, Share: share, LatestStart: time.Unix(1<<40, 0)}}
	n, _ = slices.BinarySearchFunc(s.queue, last, compare)
	return n, time.Duration(n) * s.interval
}

// Load is what the room holds.
type Load struct {
	Requests   int
	Bytes      int64
	ByPriority map[int]int
}

// Load returns what the room holds.
func (r *Room) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Load{Requests: len(r.all), Bytes: r.bytes, ByPriority: make(map[int]int)}
	for _, t := range r.all {
		l.ByPriority[t.Priority]++
	}
	return l
}

// DropAll drops all waiting requests for a reason.
func (r *Room) DropAll(reason Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.all) > 0 {
		r.drop(r.all[len(r.all)-1], reason)
	}
}
