package jwlimit

import "time"

// Limits of a book of turns.
const (
	maxTurns  = 4096                   // callers that a turn is kept for
	turnGrace = 2 * time.Second        // how long a turn is kept; callers get whole seconds, rounded up
	turnEarly = 100 * time.Millisecond // how much too early a caller may come
)

// book keeps turns for refused callers, one after the other. The zero value is
// empty; the lock of its limiter guards it.
type book struct {
	turns  []turn // by time
	caller map[uint64]time.Time
	next   time.Time // when the next free turn is
}

type turn struct {
	caller uint64
	at     time.Time
}

// add returns the turn of a caller: the one it has, or the next free one. When
// that is too far off none is kept, and the caller must try its luck.
func (b *book) add(caller uint64, now time.Time, gap time.Duration) (at time.Time, kept bool) {
	b.prune(now)
	if at, has := b.caller[caller]; has && at.After(now) {
		return at, true
	}
	at = b.next
	if earliest := now.Add(max(gap, minRetryAfter)); at.Before(earliest) {
		at = earliest
	}
	if caller == 0 || at.Sub(now) > maxRetryAfter || len(b.turns) >= maxTurns {
		return time.Time{}, false
	}
	if b.caller == nil {
		b.caller = make(map[uint64]time.Time)
	}
	b.caller[caller] = at
	b.turns = append(b.turns, turn{caller: caller, at: at})
	b.next = at.Add(gap)
	return at, true
}

// take uses the turn of a caller, if its time has come and not passed.
func (b *book) take(caller uint64, now time.Time) bool {
	b.prune(now)
	at, has := b.caller[caller]
	if !has || now.Add(turnEarly).Before(at) {
		return false
	}
	delete(b.caller, caller)
	return true
}

// due counts the turns that nobody has used yet and whose time has come, or
// comes before a place taken now is free again.
func (b *book) due(now time.Time, gap time.Duration) int {
	b.prune(now)
	n := 0
	for _, t := range b.turns {
		if t.at.After(now.Add(gap)) {
			break
		}
		if at, has := b.caller[t.caller]; has && at.Equal(t.at) {
			n++
		}
	}
	return n
}

// prune forgets turns whose callers did not come.
func (b *book) prune(now time.Time) {
	n := 0
	for n < len(b.turns) && now.Sub(b.turns[n].at) > turnGrace {
		if at, has := b.caller[b.turns[n].caller]; has && at.Equal(b.turns[n].at) {
			delete(b.caller, b.turns[n].caller)
		}
		n++
	}
	b.turns = b.turns[n:]
}
