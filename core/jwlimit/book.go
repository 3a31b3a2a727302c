package jwlimit

import "time"

// Limits of a book of turns.
const (
	maxReservations  = 4096                   // callers that a turn is kept for
	reservationGrace = 2 * time.Second        // how long a turn is kept; callers get whole seconds, rounded up
	earlyTolerance   = 100 * time.Millisecond // how much too early a caller may come
)

// reservationQueue keeps turns for refused callers, one after the other. The zero value is
// empty; the lock of its limiter guards it.
type reservationQueue struct {
	queue    []reservation // by time
	byCaller map[uint64]time.Time
	nextFree time.Time // when the next free turn is
}

type reservation struct {
	caller uint64
	at     time.Time
}

// reserve returns the turn of a caller: the one it has, or the next free one. When
// that is too far off none is kept, and the caller must try its luck.
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

// claim uses the turn of a caller, if its time has come and not passed.
func (q *reservationQueue) claim(caller uint64, now time.Time) bool {
	q.prune(now)
	at, found := q.byCaller[caller]
	if !found || now.Add(earlyTolerance).Before(at) {
		return false
	}
	delete(q.byCaller, caller)
	return true
}

// pending counts the turns that nobody has used yet and whose time has come, or
// comes before a place taken now is free again.
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

// prune forgets turns whose callers did not come.
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
