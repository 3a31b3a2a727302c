package jwlogtrace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Event is one line of a log that reports a change of a node's view, or a
// decision about a request.
type Event struct {
	Line
	Time       time.Time `json:"time"`
	Change     string    `json:"change"`
	DataCentre string    `json:"dataCentre"`
	On         bool      `json:"on"`
	Draining   bool      `json:"draining"`
}

// Log holds the lines of logs by node, in the order of each log. The clocks of
// nodes may differ, so times are compared within one node only. Where a clock was
// set back, a line gets the time of the line above it.
type Log struct {
	Nodes   map[string][]Event
	Damaged int // lines that could not be read
	Jumps   int // lines whose time is before that of the line above them
}

// Read adds one log. It ignores text before a line's first brace, since log
// collectors put the time or the host there. Lines of several nodes may be mixed.
func (l *Log) Read(r io.Reader) error {
	if l.Nodes == nil {
		l.Nodes = make(map[string][]Event)
	}
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLineSize)
	for in.Scan() {
		begin := strings.IndexByte(in.Text(), '{')
		if begin < 0 {
			continue
		}
		var e Event
		if json.Unmarshal(in.Bytes()[begin:], &e) != nil || e.Node == "" {
			l.Damaged++
			continue
		}
		before := l.Nodes[e.Node]
		if len(before) > 0 && e.Time.Before(before[len(before)-1].Time) {
			// The clock was set back; the order of lines is right.
			l.Jumps++
			e.Time = before[len(before)-1].Time
		}
		l.Nodes[e.Node] = append(before, e)
	}
	return errors.Wrap(in.Err(), "read log")
}

// View is what a node knew at a point in time.
type View struct {
	Node      string
	Running   bool
	Version   uint64            // of the configuration, 0 before the first
	Evacuated []string          // data centres
	StoreLost time.Time         // since when the store did not answer, zero while it does
	Targets   map[string]Target // by name
	Last      time.Time         // of the last line up to then
}

// Target is what a node knew about a target.
type Target struct {
	State      string // appeared, beganAnew, returned, draining, leaving or gone
	DataCentre string
	Service    string
	Since      time.Time
}

// ViewAt returns what a node knew at a time of its own clock.
func (l *Log) ViewAt(node string, at time.Time) View {
	v := View{Node: node, Targets: make(map[string]Target)}
	for i := range l.Nodes[node] {
		e := &l.Nodes[node][i]
		if e.Time.After(at) {
			break
		}
		v.Last = e.Time
		v.apply(e)
	}
	return v
}

func (v *View) apply(e *Event) {
	switch e.Message {
	case "started":
		*v = View{Node: v.Node, Running: true, Targets: make(map[string]Target), Last: e.Time}
	case "stopped":
		v.Running = false
	case "configuration in force":
		v.Version = e.Version
	case "store lost":
		v.StoreLost = e.Time
	case "store regained":
		v.StoreLost = time.Time{}
	case "evacuation":
		v.Evacuated = slices.DeleteFunc(v.Evacuated, func(dc string) bool { return dc == e.DataCentre })
		if e.On {
			v.Evacuated = append(v.Evacuated, e.DataCentre)
		}
	case "target":
		state := e.Change
		switch {
		case v.Targets[e.Target].State == leaving && state != restarted:
			state = leaving
		case e.Draining:
			state = "draining"
		}
		v.Targets[e.Target] = Target{State: state, DataCentre: e.DataCentre, Service: e.Service, Since: e.Time}
	case "target leaves":
		t := v.Targets[e.Target]
		t.State, t.Since = leaving, e.Time
		v.Targets[e.Target] = t
	case "target registration gone":
		t := v.Targets[e.Target]
		t.State, t.Since = "gone", e.Time
		v.Targets[e.Target] = t
	}
}

// States of a target that need special treatment: registrations do not change
// leaving, except for restarted, which ends it.
const (
	leaving   = "leaving" // the target announced it in an answer
	restarted = "beganAnew"
)

// Write describes a view, as far as the lines could be read.
func (v *View) Write(w io.Writer, at time.Time) {
	if v.Last.IsZero() {
		fmt.Fprintf(w, "%s: no line before then\n", v.Node)
		return
	}
	state := "running"
	if !v.Running {
		state = "not running"
	}
	fmt.Fprintf(w, "%s: %s, configuration %d, last line %s before\n", v.Node, state, v.Version, at.Sub(v.Last).Round(time.Millisecond))
	if !v.StoreLost.IsZero() {
		fmt.Fprintf(w, "  the store had not answered for %s; what follows is from before that\n", at.Sub(v.StoreLost).Round(time.Millisecond))
	}
	for _, dc := range v.Evacuated {
		fmt.Fprintf(w, "  data centre %s evacuated\n", dc)
	}
	for _, name := range slices.Sorted(maps.Keys(v.Targets)) {
		t := v.Targets[name]
		fmt.Fprintf(w, "  target %s of %s in %s: %s for %s\n", name, t.Service, t.DataCentre, t.State, at.Sub(t.Since).Round(time.Millisecond))
	}
}

// Idle shows why a target got few or no requests in a period: for each node, what
// it sent there and what it knew that kept it from sending.
func (l *Log) Idle(w io.Writer, target string, from, to time.Time) {
	for _, node := range slices.Sorted(maps.Keys(l.Nodes)) {
		l.writeIdle(w, node, target, from, to)
	}
	if l.Jumps > 0 {
		fmt.Fprintf(w, "(clocks were set back %d times; times are by each node's own clock)\n", l.Jumps)
	}
}

func (l *Log) writeIdle(w io.Writer, node, target string, from, to time.Time) {
	v := l.ViewAt(node, from)
	t, known := v.Targets[target]
	sends := map[string]int{}
	var reasons []string
	for i := range l.Nodes[node] {
		e := &l.Nodes[node][i]
		if e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		v.apply(e)
		switch {
		case e.Message == "send" && e.Target == target:
			sends[e.outcome()]++
		case e.Target == target:
			reasons = append(reasons, fmt.Sprintf("after %s: %s %s", e.Time.Sub(from).Round(time.Millisecond), e.Message, e.Change))
		case e.Message == "evacuation" && e.DataCentre == t.DataCentre:
			reasons = append(reasons, fmt.Sprintf("after %s: evacuation of its data centre, on: %t", e.Time.Sub(from).Round(time.Millisecond), e.On))
		}
	}
	fmt.Fprintf(w, "%s: ", node)
	switch {
	case !known && len(reasons) == 0 && len(sends) == 0:
		fmt.Fprintln(w, "target not known")
		return
	case known:
		fmt.Fprintf(w, "%s for %s at the beginning", t.State, from.Sub(t.Since).Round(time.Millisecond))
	default:
		fmt.Fprint(w, "not known at the beginning")
	}
	if slices.Contains(v.Evacuated, t.DataCentre) {
		fmt.Fprint(w, ", its data centre evacuated at the end")
	}
	fmt.Fprintln(w)
	for _, r := range reasons {
		fmt.Fprintf(w, "  %s\n", r)
	}
	for _, name := range slices.Sorted(maps.Keys(sends)) {
		fmt.Fprintf(w, "  %d sends: %s\n", sends[name], name)
	}
	if len(sends) == 0 {
		fmt.Fprintln(w, "  no send ended there")
	}
}
