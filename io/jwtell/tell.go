package jwtell

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Line is one decision about a request as a node logged it.
type Line struct {
	Message  string `json:"message"`
	Node     string `json:"node"`
	Request  string `json:"request"`
	Entry    string `json:"entry"`
	Version  uint64 `json:"version"`
	Service  string `json:"service"`
	Target   string `json:"target"`
	Peer     string `json:"peer"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Status   int    `json:"status"`
	Attempt  int    `json:"attempt"`
	LeftMS   int64  `json:"leftMs"`
	TookMS   int64  `json:"tookMs"`
	Expected int64  `json:"expectedMs"`
	First    int64  `json:"firstMs"`
	Calls    int    `json:"calls"`
	Belief   int64  `json:"beliefAgeMs"`
	Cold     bool   `json:"cold"`
}

// Story is what the logs hold of one request.
type Story struct {
	Request string
	Lines   []Line // in the order of each log
	Damaged int    // lines that could not be read
}

// longLine bounds a line of a log.
const longLine = 1 << 20

// Read adds the lines of one log. What stands before a line's first brace is
// passed over, as collectors put the time or the host there.
func (s *Story) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), longLine)
	for in.Scan() {
		text := in.Text()
		if !strings.Contains(text, s.Request) {
			continue
		}
		var l Line
		begin := strings.IndexByte(text, '{')
		if begin < 0 || json.Unmarshal([]byte(text[begin:]), &l) != nil {
			s.Damaged++
			continue
		}
		if l.Request == s.Request {
			s.Lines = append(s.Lines, l)
		}
	}
	return errors.Wrap(in.Err(), "read log")
}

// Tell writes the story, the node that the caller spoke to first, and ends
// with the cause of a failure.
func (s *Story) Tell(w io.Writer) {
	if len(s.Lines) == 0 {
		fmt.Fprintf(w, "%s: no line in these logs; it never reached these nodes, was served and its line dropped, or is of another time\n", s.Request)
		return
	}
	for _, node := range s.nodes() {
		fmt.Fprintf(w, "%s:\n", node)
		for _, l := range s.Lines {
			if l.Node == node {
				fmt.Fprintf(w, "  %6d ms  %s\n", l.TookMS, l.words())
			}
		}
	}
	fmt.Fprintf(w, "cause: %s\n", s.Cause())
	if s.Damaged > 0 {
		fmt.Fprintf(w, "(%d damaged lines passed over)\n", s.Damaged)
	}
}

// nodes returns the nodes with lines: the one that the caller spoke to first,
// which alone knows the entry.
func (s *Story) nodes() []string {
	var first, others []string
	seen := make(map[string]bool)
	for _, l := range s.Lines {
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

// words says one decision in plain words.
func (l *Line) words() string {
	var b strings.Builder
	switch l.Message {
	case "send":
		fmt.Fprintf(&b, "sent to target %s", l.Target)
		fmt.Fprintf(&b, " (%d calls there, first event expected in %d ms, registration %d ms old", l.Calls, l.Expected, l.Belief)
		if l.Cold {
			b.WriteString(", cold")
		}
		b.WriteString(")")
		if l.First > 0 {
			fmt.Fprintf(&b, ", first event after %d ms", l.First)
		}
	case "forward":
		fmt.Fprintf(&b, "passed on to node %s", l.Peer)
	case "answer":
		b.WriteString("ended")
	default:
		b.WriteString(l.Message)
	}
	fmt.Fprintf(&b, ": %s", l.outcome())
	if l.Reason != "" {
		fmt.Fprintf(&b, ", %s", l.Reason)
	}
	if l.Entry != "" {
		fmt.Fprintf(&b, " [entry %s, configuration %d, %d ms left]", l.Entry, l.Version, l.LeftMS)
	}
	return b.String()
}

func (l *Line) outcome() string {
	text := map[string]string{
		"finished":   "answered",
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

// Cause returns why the request failed, or that it was served.
func (s *Story) Cause() string {
	var last *Line
	for i := range s.Lines {
		l := &s.Lines[i]
		if l.Message == "send" && l.Outcome != "finished" {
			last = l
		}
	}
	for i := len(s.Lines) - 1; i >= 0; i-- {
		l := &s.Lines[i]
		switch {
		case l.Message != "answer" && l.Outcome == "finished" && l.Status < 500:
			return "none, it was served"
		case l.Message == "send" && l.Outcome == "finished":
			return fmt.Sprintf("target %s answered with its own failure, %d", l.Target, l.Status)
		}
	}
	if last != nil {
		return fmt.Sprintf("target %s: %s", last.Target, last.Reason)
	}
	return s.Lines[len(s.Lines)-1].Reason
}
