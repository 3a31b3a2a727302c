package jwbench

import (
	"container/heap"
	"time"
)

// loop is a discrete event loop: it runs events in the order of their virtual
// time.
type loop struct {
	now    time.Time
	events events
	serial int
}

type event struct {
	at     time.Time
	serial int // orders events of the same time by when they were added
	run    func()
}

// after runs f when d of virtual time has passed.
func (l *loop) after(d time.Duration, f func()) {
	l.serial++
	heap.Push(&l.events, event{at: l.now.Add(max(d, 0)), serial: l.serial, run: f})
}

// every runs f first after the duration first and then once each period, until
// the loop ends.
func (l *loop) every(first, period time.Duration, f func()) {
	l.after(first, func() {
		f()
		l.every(period, period, f)
	})
}

// until runs all events up to and including the time end.
func (l *loop) until(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
