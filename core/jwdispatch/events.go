package jwdispatch

import (
	"bytes"
	"strconv"
)

// events follows a text/event-stream over several tries: it holds back what is
// no whole event yet, and knows the last event that went out.
type events struct {
	partial []byte
	last    uint64 // id of the last event sent, 0 for none
	first   uint64 // id of the first event of this try, 0 before it
	atEnd   bool   // this try began with the end mark
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
	endMark      = []byte("data: [DONE]")
)

// mostHeld bounds what is held back of an event, so that a stream without
// events, or with endless ones, still flows.
const mostHeld = 64 << 10

// restart begins a new try; what the last one left half said is dropped.
func (e *events) restart() {
	e.partial = e.partial[:0]
	e.first = 0
	e.atEnd = false
}

// whole returns the whole events in what was held back and p; at the end of the
// stream it returns everything. The result is good until the next call.
func (e *events) whole(p []byte, end bool) []byte {
	held := len(e.partial)
	if held == 0 && (end || bytes.HasSuffix(p, eventEnd)) {
		e.see(p)
		return p
	}
	all := append(e.partial, p...)
	cut := len(all)
	if !end && len(all) <= mostHeld {
		cut = endOfEvents(all)
	}
	if cut == 0 {
		e.partial = all
		return nil
	}
	out := bytes.Clone(all[:cut])
	e.partial = append(all[:0], all[cut:]...)
	e.see(out)
	return out
}

// endOfEvents returns the length of the whole events that p begins with.
func endOfEvents(p []byte) int {
	cut := 0
	for _, mark := range [][]byte{eventEnd, eventEndCRLF} {
		if i := bytes.LastIndex(p, mark); i >= 0 {
			cut = max(cut, i+len(mark))
		}
	}
	return cut
}

// see notes the id of the first event of a try.
func (e *events) see(p []byte) {
	if e.first == 0 && !e.atEnd && len(p) > 0 {
		e.first = firstID(p)
		e.atEnd = bytes.HasPrefix(p, endMark)
	}
}

// resumed reports whether this try goes on after the last event sent, and not
// from the beginning. A stream whose events have ids begins with one, so an end
// mark in its place is all that was left of it.
func (e *events) resumed() bool {
	return e.last > 0 && (e.first == e.last+1 || e.atEnd)
}

// sent notes events that went out.
func (e *events) sent(p []byte) {
	if id := lastID(p); id > 0 {
		e.last = id
	}
}

// after is the id of the last event sent, as the header Last-Event-ID has it;
// empty when there is none.
func (e *events) after() string {
	if e.last == 0 {
		return ""
	}
	return strconv.FormatUint(e.last, 10)
}

// firstID returns the id of the first event in p, 0 if it has none or one that
// is no number.
func firstID(p []byte) uint64 {
	event, _, _ := bytes.Cut(p, eventEnd)
	return idOf(event)
}

// lastID returns the highest-placed id in p.
func lastID(p []byte) uint64 {
	for len(p) > 0 {
		i := bytes.LastIndex(p, idField)
		if i < 0 {
			return 0
		}
		if i == 0 || p[i-1] == '\n' {
			return idOf(p[i:])
		}
		p = p[:i]
	}
	return 0
}

// idOf returns the number of the id field that a line of the event has.
func idOf(event []byte) uint64 {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return 0
}
