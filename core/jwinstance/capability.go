package jwinstance

import "time"

// usualQueue is the time that prompts may take to be read at a target without being a backlog.
const usualQueue = 50 * time.Millisecond

// readSample is the number of prompt tokens that Capability.ReadTime is for.
const readSample = 1000

// Capability is what the usable warm targets of a service in the region can do. A unit of work is one
// second of one target of usual speed.
type Capability struct {
	Capacity float64       // work per second
	Backlog  float64       // work that the targets have accepted and not begun
	EventGap time.Duration // shortest time between two events of a stream at any of the targets
	ReadTime time.Duration // of a thousand prompt tokens
	Slots    int           // of each target, the mean
}

// Capability returns what the targets of a service in the region can do. Where this node knows only a
// subset of them, the others are assumed to be like these.
func (t *Table) Capability(now time.Time, service string) Capability {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.subset(subsetKey{service, t.Region, t.Node})
	stats := t.statsOf(service)
	var r Capability
	targets := 0
	for _, x := range list {
		if !t.usable(now, x, false) || x.isCold(now) {
			continue
		}
		targets++
		slots := max(x.Slots, 1)
		r.Capacity += 1 / x.usualPace()
		r.Slots += slots
		if gap := x.estimatedGap(now); r.EventGap == 0 || gap < r.EventGap {
			r.EventGap = gap
		}
		l := x.loadFor(Need{Priority: priorityLevels})
		queue := max(stats.firstEvent.readTime(l.unreadAhead, 0)-usualQueue, 0)
		waiting := time.Duration(max(l.calls-slots, 0)) * stats.slotTime / time.Duration(slots)
		r.Backlog += (queue + waiting).Seconds()
	}
	if targets == 0 {
		return Capability{}
	}
	r.Slots /= targets
	r.ReadTime = stats.firstEvent.readTime(readSample, 0)
	total := float64(len(t.byRegion[service][t.Region])) / float64(len(list))
	r.Capacity *= total
	r.Backlog *= total
	return r
}

// usualPace returns the mean time that work takes at a target relative to one that does nothing else.
func (x *Target) usualPace() float64 {
	if x.meanPace == 0 {
		return 1
	}
	return x.meanPace
}
