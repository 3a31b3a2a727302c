package jwinstance

import "time"

// coldRoom is the part of a target that counts as room while it is cold and takes few requests.
const coldRoom = 0.25

// Room is what the targets of a service in the region can run.
type Room struct {
	Targets float64 // whole targets; cold, failing, limited and slow ones count in part
	Slots   int     // of the targets that count
}

// Room returns what the targets of a service in the region can run now, without those that drain, leave,
// are closed or can't be reached.
func (t *Table) Room(now time.Time, service string) Room {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buildIndex()
	var r Room
	for _, x := range t.byRegion[service][t.Region] {
		if part := t.room(now, x); part > 0 {
			r.Targets += part
			r.Slots += max(x.Slots, 1)
		}
	}
	return r
}

// room returns how much of a target counts as room, from 0 to 1. A target that refused a request for
// want of a slot is full, which does not make it less room.
func (t *Table) room(now time.Time, x *Target) float64 {
	if x.Draining || x.Leaving || t.evacuated[x.DataCentre] || now.Before(x.closedUntil) || !x.goneAt.IsZero() || x.dialFailures > 0 {
		return 0
	}
	part := 1 / float64(1+min(x.failures, maxPenalizedFailures))
	if x.isCold(now) {
		part *= coldRoom
	}
	if x.load.Pace > 1 && now.Sub(x.loadAt) < reportMaxAge {
		part /= x.load.Pace
	}
	if x.limit.Announced {
		slots := x.limit.Rate * t.statsOf(x.Service).slotTime.Seconds()
		part = min(part, slots/float64(max(x.Slots, 1)))
	}
	return part
}
