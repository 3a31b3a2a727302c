package jwlogtrace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one decision about a request as a node logged it; jwlog.Decision
// describes the fields.
type Line struct {
	Message    string `json:"message"`
	Node       string `json:"node"`
	Request    string `json:"request"`
	Entry      string `json:"entry"`
	Version    uint64 `json:"version"`
	Service    string `json:"service"`
	Workspace  string `json:"workspace"`
	Units      int64  `json:"units"`
	LevelUnits int64  `json:"levelUnits"`
	Target     string `json:"target"`
	Peer       string `json:"peer"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason"`
	Status     int    `json:"status"`
	Attempt    int    `json:"attempt"`
	LeftMS     int64  `json:"leftMs"`
	TookMS     int64  `json:"tookMs"`
	ExpectedMS int64  `json:"expectedMs"`
	FirstMS    int64  `json:"firstMs"`
	PauseMS    int64  `json:"pauseMs"`
	SilentMS   int64  `json:"silentMs"`
	Calls      int    `json:"calls"`
	ViewAgeMS  int64  `json:"viewAgeMs"`
	LoadAgeMS  int64  `json:"loadAgeMs"`
	WaitedMS   int64  `json:"waitedMs"`
	Waiting    int    `json:"waiting"`
	Cold       bool   `json:"cold"`

	Region      string `json:"region"` // set if the request was rejected for its share, like the fields below, or forwarded by a share
	Urgency     int    `json:"urgency"`
	Asked       int64  `json:"asked"`
	Granted     int64  `json:"granted"`
	TotalAsked  int64  `json:"totalAsked"`
	Room        int64  `json:"room"`
	WaitingWork int64  `json:"waitingWork"`
	ShareAgeMS  int64  `json:"shareAgeMs"`
	SharePct    int64  `json:"sharePercent"`
}

// Trace holds the log lines about one request.
type Trace struct {
	Request   string
	Lines     []Line   // in the order of each log
	Starts    []Start  // of nodes, in the order of each log
	Damaged   int      // lines that could not be read
	restarted []string // nodes that restarted while the request ran there
}

// Start is one start of a node's process.
type Start struct {
	Node string    `json:"node"`
	Time time.Time `json:"time"`
}

// maxLineSize is the maximum length in bytes of a log line that can be read.
const maxLineSize = 1 << 20

// Read adds the lines of one log. It ignores text before a line's first brace,
// since log collectors put the time or the host there.
func (t *Trace) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLineSize)
	for in.Scan() {
		text := in.Text()
		if strings.Contains(text, startedMark) {
			t.addStart(text)
			continue
		}
		if !strings.Contains(text, t.Request) {
			continue
		}
		var l Line
		begin := strings.IndexByte(text, '{')
		if begin < 0 || json.Unmarshal([]byte(text[begin:]), &l) != nil {
			t.Damaged++
			continue
		}
		if l.Request == t.Request {
			t.Lines = append(t.Lines, l)
		}
	}
	return errors.Wrap(in.Err(), "read log")
}

// startedMark identifies a line about a start before it is decoded.
const startedMark = `"message":"started"`

// addStart records a start of a node. If the request was still running there
// according to earlier lines, it ended with the process, which was killed or lost
// power.
func (t *Trace) addStart(text string) {
	var start Start
	begin := strings.IndexByte(text, '{')
	if begin < 0 || json.Unmarshal([]byte(text[begin:]), &start) != nil {
		t.Damaged++
		return
	}
	t.Starts = append(t.Starts, start)
	running := false
	for _, l := range t.Lines {
		if l.Node == start.Node {
			running = l.Message == "begun"
		}
	}
	if running {
		t.restarted = append(t.restarted, start.Node)
	}
}

// Write writes the lines of each node, beginning with the node that the caller
// called, and then the cause of a failure.
func (t *Trace) Write(w io.Writer) {
	if len(t.Lines) == 0 {
		fmt.Fprintf(w, "%s: no line in these logs: the request never reached these nodes, it was lost with a node that was killed before the first event, it was served and its line was dropped, or it was sent at another time\n", t.Request)
		t.writeStarts(w)
		return
	}
	for _, node := range t.nodes() {
		fmt.Fprintf(w, "%s:\n", node)
		for _, l := range t.Lines {
			if l.Node == node {
				fmt.Fprintf(w, "  %6d ms  %s\n", l.TookMS, l.sentence())
			}
		}
	}
	fmt.Fprintf(w, "cause: %s\n", t.Cause())
	if t.Damaged > 0 {
		fmt.Fprintf(w, "(%d damaged lines skipped)\n", t.Damaged)
	}
}

// writeStarts lists the starts of each node except its first one. Requests that
// ran there before such a start, or were sent there until then, are lost.
func (t *Trace) writeStarts(w io.Writer) {
	seen := make(map[string]bool)
	for _, start := range t.Starts {
		if seen[start.Node] {
			fmt.Fprintf(w, "  %s restarted at %s\n", start.Node, start.Time.Format(time.RFC3339Nano))
		}
		seen[start.Node] = true
	}
}

// nodes returns the nodes with lines, beginning with the one that the caller
// called. Only that node logs the entry.
func (t *Trace) nodes() []string {
	var first, others []string
	seen := make(map[string]bool)
	for _, l := range t.Lines {
		if seen[l.Node] {
			continue
		}
		seen[l.Node] = true
		if l.Entry != "" {
			first = append(first, l.Node)
		} else {
			others = append(others, l.Node)
		}
	}
	return append(first, others...)
}

// sentence describes one decision.
func (l *Line) sentence() string {
	var b strings.Builder
	switch l.Message {
	case "send":
		fmt.Fprintf(&b, "sent to target %s", l.Target)
		fmt.Fprintf(&b, " (%d calls there, first event expected in %d ms, registration %d ms old", l.Calls, l.ExpectedMS, l.ViewAgeMS)
		if l.Cold {
			b.WriteString(", cold")
		}
		b.WriteString(")")
		if l.FirstMS > 0 {
			fmt.Fprintf(&b, ", first event after %d ms", l.FirstMS)
		}
	case "forward":
		fmt.Fprintf(&b, "forwarded to node %s", l.Peer)
		if l.Region != "" {
			fmt.Fprintf(&b, " (%d%% of such requests go to region %s, whose load was reported %d ms before, first event expected in %d ms)", l.SharePct, l.Region, l.ShareAgeMS, l.ExpectedMS)
		}
	case "wait":
		fmt.Fprintf(&b, "waited %d ms in the node for a target with room (%d requests ahead, other nodes' loads %d ms old)", l.WaitedMS, l.Waiting, l.LoadAgeMS)
	case "begun":
		fmt.Fprintf(&b, "first event from %s arrived", l.Peer)
	case "answer":
		b.WriteString("ended")
	default:
		b.WriteString(l.Message)
	}
	if l.Message != "begun" {
		fmt.Fprintf(&b, ": %s", l.outcome())
	}
	if l.Reason != "" {
		fmt.Fprintf(&b, ", %s", l.Reason)
	}
	if l.Region != "" {
		fmt.Fprintf(&b, " (%s)", l.shareSentence())
	}
	if l.Workspace != "" && l.Outcome == "refused" {
		fmt.Fprintf(&b, " (workspace %s, request of %d units, the node had %d)", l.Workspace, l.Units, l.LevelUnits)
	}
	if l.Entry != "" {
		fmt.Fprintf(&b, " [entry %s, configuration %d, %d ms left]", l.Entry, l.Version, l.LeftMS)
	}
	return b.String()
}

func (l *Line) outcome() string {
	text := map[string]string{
		"finished":   "answered",
		"placed":     "a target had room",
		"forwarded":  "another region was better",
		"dropped":    "given up",
		"notRun":     "not run",
		"failed":     "failed, may have run",
		"broken":     "broke off in the stream",
		"unknown":    "outcome unknown",
		"cut":        "cut off in the answer",
		"callerGone": "the caller had left",
	}[l.Outcome]
	if text == "" {
		text = l.Outcome
	}
	if l.Status > 0 {
		text += fmt.Sprintf(" with %d", l.Status)
	}
	return text
}

// minSilenceMS is the time in milliseconds without an event after which a target
// counts as silent: several times the longest pause that callers regard as on
// time.
const minSilenceMS = 1000

// stopLine returns the line of a node that ended the request at the end of its
// planned stop, nil if none did.
func (t *Trace) stopLine() *Line {
	for i := range t.Lines {
		if l := &t.Lines[i]; l.Outcome == "cut" && strings.HasPrefix(l.Reason, "the node stopped") {
			return l
		}
	}
	return nil
}

func (t *Trace) callerLeft() bool {
	return slices.ContainsFunc(t.Lines, func(l Line) bool { return l.Message == "answer" && l.Outcome == "callerGone" && l.Entry != "" })
}

// Cause returns why the request failed, or that it was served.
func (t *Trace) Cause() string {
	if len(t.restarted) > 0 {
		return fmt.Sprintf("node %s ended while the stream ran there: it was killed or lost power", t.restarted[0])
	}
	var last *Line
	for i := range t.Lines {
		l := &t.Lines[i]
		if l.Message == "send" && l.Outcome != "finished" {
			last = l
		}
	}
	for i := len(t.Lines) - 1; i >= 0; i-- {
		l := &t.Lines[i]
		switch {
		case l.Message != "answer" && l.Outcome == "finished" && l.Status < 500:
			return "none, it was served"
		case l.Message == "send" && l.Outcome == "finished":
			return fmt.Sprintf("target %s answered with its own failure, %d", l.Target, l.Status)
		}
	}
	if line := t.stopLine(); line != nil {
		return fmt.Sprintf("node %s: %s", line.Node, line.Reason)
	}
	if last != nil && last.SilentMS >= minSilenceMS {
		return fmt.Sprintf("target %s had sent nothing for %d ms: crashed silently, frozen or cut off", last.Target, last.SilentMS)
	}
	if last != nil && t.callerLeft() {
		return fmt.Sprintf("the caller left after %d ms, target %s had not finished (first event after %d ms, 0 for none)", last.TookMS, last.Target, last.FirstMS)
	}
	if last != nil {
		return fmt.Sprintf("target %s: %s", last.Target, last.Reason)
	}
	for i := range t.Lines {
		if l := &t.Lines[i]; l.Message == "wait" && l.Outcome == "dropped" {
			return fmt.Sprintf("no target had room for %d ms: %s", l.WaitedMS, l.Reason)
		}
	}
	return t.Lines[len(t.Lines)-1].Reason
}
