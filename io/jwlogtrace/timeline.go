package jwlogtrace

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Series holds a value for each second of a Timeline.
type Series struct {
	Name   string
	Counts []float64
}

// Timeline holds counts from logs for each second, by the nodes' own clocks. It covers
// the period of the logs, up to 24 hours.
type Timeline struct {
	Start            time.Time
	Outcomes         []Series // requests by outcome, at the node that the caller called
	Rejections       []Series // rejected requests among these, by reason
	StoreLost        []Series // 1 by node while the store does not answer
	NodeDown         []Series // 1 by node while it does not run
	StoreLostSeconds Series   // longest time, in seconds, that a running node has had no answer from the store
}

// maxPeriod limits the period of a Timeline, so that a clock that is years ahead does
// not make a plot endless.
const maxPeriod = 24 * time.Hour

// NewTimeline returns the counts of a log.
func NewTimeline(l *Log) *Timeline {
	first, last := l.span()
	d := &Timeline{Start: first.Truncate(time.Second)}
	n := int(min(last.Sub(d.Start), maxPeriod)/time.Second) + 1
	outcomes, rejections := map[string][]float64{}, map[string][]float64{}
	d.StoreLostSeconds = Series{"longest", make([]float64, n)}
	for _, name := range slices.Sorted(maps.Keys(l.Nodes)) {
		events := l.Nodes[name]
		for i := range events {
			e := &events[i]
			if outcome, reason := e.ending(); outcome != "" {
				d.count(outcomes, outcome, e.Time, n)
				if reason != "" {
					d.count(rejections, reason, e.Time, n)
				}
			}
		}
		lost, down := states(events, d.Start, n)
		d.StoreLost = append(d.StoreLost, Series{name, lost})
		d.NodeDown = append(d.NodeDown, Series{name, down})
		age := 0.0
		for i := range n {
			age = (age + 1) * lost[i]
			d.StoreLostSeconds.Counts[i] = max(d.StoreLostSeconds.Counts[i], age)
		}
	}
	d.Outcomes, d.Rejections = seriesOf(outcomes), seriesOf(rejections)
	return d
}

func (l *Log) span() (first, last time.Time) {
	for _, events := range l.Nodes {
		if len(events) == 0 {
			continue
		}
		if a := events[0].Time; first.IsZero() || a.Before(first) {
			first = a
		}
		if b := events[len(events)-1].Time; b.After(last) {
			last = b
		}
	}
	return first, last
}

// ending returns how the request of a line ended for its caller, "" if it did
// not end there, and the reason if it was rejected.
func (e *Event) ending() (outcome, reason string) {
	switch {
	case e.Entry == "":
		return "", ""
	case e.Message == "answer" && (e.Outcome == "notRun" || e.Outcome == "refused"):
		return "rejected", e.Reason
	case e.Message == "answer":
		return e.outcomeWithoutStatus(), ""
	case e.Outcome != "finished" || e.Message != "send" && e.Message != "forward":
		return "", ""
	case e.Status >= 500:
		return "target's failure", ""
	}
	return "served", ""
}

func (l *Line) outcomeWithoutStatus() string {
	text, _, _ := strings.Cut(l.outcome(), " with ")
	return text
}

func (d *Timeline) count(counts map[string][]float64, name string, at time.Time, n int) {
	if counts[name] == nil {
		counts[name] = make([]float64, n)
	}
	if i := int(at.Sub(d.Start) / time.Second); i < n {
		counts[name][i]++
	}
}

// states returns for each second whether a node had lost the store and whether
// the node was not running: 1 if so, otherwise 0.
func states(events []Event, start time.Time, n int) (lost, down []float64) {
	lost, down = make([]float64, n), make([]float64, n)
	i, isLost, isDown := 0, 0.0, 1.0
	for second := range n {
		end := start.Add(time.Duration(second+1) * time.Second)
		for ; i < len(events) && events[i].Time.Before(end); i++ {
			switch events[i].Message {
			case "store lost":
				isLost = 1
			case "store regained":
				isLost = 0
			case "started":
				isLost, isDown = 0, 0
			case "stopped":
				isLost, isDown = 0, 1
			}
		}
		lost[second], down[second] = isLost, isDown
	}
	markKilled(events, start, down)
	return lost, down
}

// markKilled sets down to 1 for the seconds between the start of a process and the
// line before it: a process that is killed logs nothing about it.
func markKilled(events []Event, start time.Time, down []float64) {
	for i := 1; i < len(events); i++ {
		if events[i].Message != "started" {
			continue
		}
		from := int(events[i-1].Time.Sub(start)/time.Second) + 1
		to := int(events[i].Time.Sub(start) / time.Second)
		for second := from; second < min(to, len(down)); second++ {
			down[second] = 1
		}
	}
}

func seriesOf(counts map[string][]float64) []Series {
	var list []Series
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, Series{name, counts[name]})
	}
	return list
}
