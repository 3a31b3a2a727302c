package jwdispatch

import (
	"bytes"
	"strconv"
)

// eventTracker follows a text/event-stream over several tries: it holds back what is
// no whole event yet, and knows the last event that went out.
type eventTracker struct {
	partial        []byte
	lastSent       uint64 // id of the last event sent, 0 for none
	firstOfTry     uint64 // id of the first event of this try, 0 before it
	startsWithDone bool   // this try began with the end mark
}

var (
	eventSeparator     = []byte("\n\n")
	eventSeparatorCRLF = []byte("\r\n\r\n")
	idField            = []byte("id:")
	doneEvent          = []byte("data: [DONE]")
)

// maxHeldBytes bounds what is held back of an event, so that a stream without
// events, or with endless ones, still flows.
const maxHeldBytes = 64 << 10

// restart begins a new try; what the last one left half said is dropped.
func (e *eventTracker) restart() {
	e.partial = e.partial[:0]
	e.firstOfTry = 0
	e.startsWithDone = false
}

// takeComplete returns the takeComplete events in what was held back and p; at the end of the
// stream it returns everything. The result is good until the next call.
func (e *eventTracker) takeComplete(p []byte, end bool) []byte {
	held := len(e.partial)
	if held == 0 && (end || bytes.HasSuffix(p, eventSeparator)) {
		e.recordFirst(p)
		return p
	}
	all := append(e.partial, p...)
	cut := len(all)
	if !end && len(all) <= maxHeldBytes {
		cut = completeLength(all)
	}
	if cut == 0 {
		e.partial = all
		return nil
	}
	out := bytes.Clone(all[:cut])
	e.partial = append(all[:0], all[cut:]...)
	e.recordFirst(out)
	return out
}

// completeLength returns the length of the whole events that p begins with.
func completeLength(p []byte) int {
	end := 0
	for _, mark := range [][]byte{eventSeparator, eventSeparatorCRLF} {
		if i := bytes.LastIndex(p, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// recordFirst notes the id of the first event of a try.
func (e *eventTracker) recordFirst(p []byte) {
	if e.firstOfTry == 0 && !e.startsWithDone && len(p) > 0 {
		e.firstOfTry = firstID(p)
		e.startsWithDone = bytes.HasPrefix(p, doneEvent)
	}
}

// resumed reports whether this try goes on after the last event sent, and not
// from the beginning. A stream whose events have ids begins with one, so an end
// mark in its place is all that was left of it.
func (e *eventTracker) resumed() bool {
	return e.lastSent > 0 && (e.firstOfTry == e.lastSent+1 || e.startsWithDone)
}

// recordSent notes events that went out.
func (e *eventTracker) recordSent(p []byte) {
	if id := lastID(p); id > 0 {
		e.lastSent = id
	}
}

// lastEventID is the id of the last event sent, as the header Last-Event-ID has it;
// empty when there is none.
func (e *eventTracker) lastEventID() string {
	if e.lastSent == 0 {
		return ""
	}
	return strconv.FormatUint(e.lastSent, 10)
}

// firstID returns the id of the first event in p, 0 if it has none or one that
// is no number.
func firstID(p []byte) uint64 {
	event, _, _ := bytes.Cut(p, eventSeparator)
	return parseID(event)
}

// lastID returns the highest-placed id in p.
func lastID(p []byte) uint64 {
	for len(p) > 0 {
		i := bytes.LastIndex(p, idField)
		if i < 0 {
			return 0
		}
		if i == 0 || p[i-1] == '\n' {
			return parseID(p[i:])
		}
		p = p[:i]
	}
	return 0
}

// parseID returns the number of the id field that a line of the event has.
func parseID(event []byte) uint64 {
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
