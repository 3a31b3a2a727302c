package jwreturn

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// MaxPeriod is the longest time between two slots of a request while a fair part of the requests is
	// admitted.
	MaxPeriod = 2 * time.Second
	// MinPeriod is the shortest one.
	MinPeriod = 500 * time.Millisecond
	// timeoutShare is the part of a request's time that a period takes: callers honour a Retry-After of at
	// most a third of the time that they have left.
	timeoutShare = 0.25
	maxWaitShare = 1.0 / 3
	// minSlot is the shortest slot. Callers return some time later than told, as they first connect.
	minSlot = 200 * time.Millisecond
	// margin is how long after the start of its slot a caller is told to return, for differences between
	// the nodes' clocks.
	margin = 30 * time.Millisecond
	// maxDoublings limits how much rarer the slots become.
	maxDoublings = 20
)

// Period returns the period of requests that may take a time altogether, 0 if that is not limited.
func Period(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return MaxPeriod
	}
	return min(max(time.Duration(timeoutShare*float64(timeout)), MinPeriod), MaxPeriod)
}

// Plan gives the slots of a request while a part of the requests like it is admitted.
type Plan struct {
	Fingerprint [16]byte
	Period      time.Duration // see Period
	Fraction    float64       // part of the requests that is admitted
}

// slots returns the length of a slot and the number of periods from one to the next. If a slot would be
// too short, there is one in each second, fourth and so on period; those of a smaller fraction are among
// those of a larger one, so that a change does not move them.
func (p Plan) slots() (length time.Duration, every int64) {
	f := p.Fraction
	every = 1
	for f*float64(p.Period) < float64(min(minSlot, p.Period)) && every < 1<<maxDoublings {
		f, every = 2*f, 2*every
	}
	return time.Duration(f * float64(p.Period)), every
}

// position returns how long ago the period of the request began, and the number of that period.
func (p Plan) position(now time.Time) (since time.Duration, n int64) {
	h := binary.LittleEndian.Uint64(p.Fingerprint[:8])
	at := now.UnixNano() + int64(h%uint64(p.Period))
	return time.Duration(at % int64(p.Period)), at/int64(p.Period) + int64(binary.LittleEndian.Uint64(p.Fingerprint[8:])>>40)
}

// Admits reports whether the request is in one of its slots.
func (p Plan) Admits(now time.Time) bool {
	if p.Fraction >= 1 {
		return true
	}
	length, every := p.slots()
	since, n := p.position(now)
	return since < length && n%every == 0
}

// next returns how long after now the request's first slot is that it can reach by waiting for at least a
// time.
func (p Plan) next(now time.Time, least time.Duration) time.Duration {
	length, every := p.slots()
	since, n := p.position(now.Add(least))
	if n%every == 0 && since+minSlot <= length+margin {
		return least + max(margin-since, 0)
	}
	ahead := every - n%every
	return least + time.Duration(ahead)*p.Period - since + margin
}

// Return is a rejection for which a return is planned.
type Return struct {
	Plan
	MinWait  time.Duration // before which there is no room for the request in any case
	TimeLeft time.Duration
}

// Wait returns after which time the caller is to return. It returns false if the caller would not wait for
// that long.
func (r Return) Wait(now time.Time) (time.Duration, bool) {
	wait := r.MinWait
	if r.Fraction < 1 {
		wait = r.next(now, r.MinWait)
	}
	return wait, wait <= time.Duration(math.Floor(maxWaitShare*float64(r.TimeLeft)))
}
