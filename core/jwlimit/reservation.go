package jwlimit

import "time"

// Limits of a reservationQueue.
const (
	maxReservations  = 4096                   // maximum number of reservations
	reservationGrace = 2 * time.Second        // how long a reservation is kept past its time; callers are given whole seconds, rounded up
	earlyTolerance   = 100 * time.Millisecond // how much before its reserved time a caller may return
)

// reservationQueue reserves retry times for rejected callers, one after the
// other. The zero value is empty; the lock of the Limiter guards it.
type reservationQueue struct {
	queue    []reservation // ordered by time
	byCaller map[uint64]time.Time
	nextFree time.Time // next time that can be reserved
}

// reservation is the retry time of one caller.
type reservation struct {
	caller uint64
	at     time.Time
}

// reserve returns the reserved time of a caller: the one it already has, or the
// next free one. If that is too far in the future, if the queue is full or if
// the caller is unknown, nothing is reserved and the caller competes with new
// ones.
func (q *reservationQueue) reserve(caller uint64, now time.Time, interval time.Duration) (at time.Time, kept bool) {
	q.prune(now)
	if at, found := q.byCaller[caller]; found && at.After(now) {
		return at, true
	}
	at = q.nextFree
	if earliest := now.Add(max(interval, minRetryAfter)); at.Before(earliest) {
		at = earliest
	}
	if caller == 0 || at.Sub(now) > maxRetryAfter || len(q.queue) >= maxReservations {
		return time.Time{}, false
	}
	if q.byCaller == nil {
		q.byCaller = make(map[uint64]time.Time)
	}
	q.byCaller[caller] = at
	q.queue = append(q.queue, reservation{caller: caller, at: at})
	q.nextFree = at.Add(interval)
	return at, true
}

// claim uses up the reservation of a caller and returns true if its time has
// come and is not over.
func (q *reservationQueue) claim(caller uint64, now time.Time) bool {
	q.prune(now)
	at, found := q.byCaller[caller]
	if !found || now.Add(earlyTolerance).Before(at) {
		return false
	}
	delete(q.byCaller, caller)
	return true
}

// pending counts the unused reservations whose time has come, or comes before a
// token taken now is available again.
func (q *reservationQueue) pending(now time.Time, interval time.Duration) int {
	q.prune(now)
	n := 0
	for _, t := range q.queue {
		if t.at.After(now.Add(interval)) {
			break
		}
		if at, found := q.byCaller[t.caller]; found && at.Equal(t.at) {
			n++
		}
	}
	return n
}

// prune removes reservations whose callers did not return.
func (q *reservationQueue) prune(now time.Time) {
	n := 0
	for n < len(q.queue) && now.Sub(q.queue[n].at) > reservationGrace {
		if at, found := q.byCaller[q.queue[n].caller]; found && at.Equal(q.queue[n].at) {
			delete(q.byCaller, q.queue[n].caller)
		}
		n++
	}
	q.queue = q.queue[n:]
}
