package jwdispatch

import (
	"bytes"
	"strconv"

	"jujubewheel/core/jwevent"
)

// eventTracker tracks a text/event-stream over several tries. It holds back
// incomplete events and remembers the last event that was sent to the caller.
type eventTracker struct {
	partial        []byte
	lastSent       uint64 // id of the last event sent to the caller, 0 for none
	firstOfTry     uint64 // id of the first event of this try, 0 before it arrives or if it has no number
	startsWithDone bool   // this try began with the end marker of a stream
	order          jwevent.Scanner
	lastOfTry      uint64 // id of the last event of this try that has a number, 0 for none
}

var (
	eventSeparator = []byte("\n\n")
	doneEvent      = []byte("data: [DONE]")
)

// maxHeldBytes is the maximum length of an incomplete event that is held back,
// so that a stream without event separators, or with very long events, is still
// passed on.
const maxHeldBytes = 64 << 10

// restart begins a new try and drops the incomplete event of the last one.
func (e *eventTracker) restart() {
	e.partial = e.partial[:0]
	e.firstOfTry = 0
	e.startsWithDone = false
	e.order, e.lastOfTry = jwevent.Scanner{}, 0
}

// takeComplete returns the complete events in p and the bytes held back before
// it. At the end of the stream it returns everything. The result is valid until
// the next call.
func (e *eventTracker) takeComplete(p []byte, end bool) []byte {
	held := len(e.partial)
	if held == 0 && (end || bytes.HasSuffix(p, eventSeparator)) {
		e.recordFirst(p)
		return p
	}
	all := append(e.partial, p...)
	n := len(all)
	if !end && len(all) <= maxHeldBytes {
		n = completeLength(all)
	}
	if n == 0 {
		e.partial = all
		return nil
	}
	out := bytes.Clone(all[:n])
	e.partial = append(all[:0], all[n:]...)
	e.recordFirst(out)
	return out
}

// takeOrdered returns the events at the beginning of p, and whether they are all
// of p, up to the first one whose number isn't the one after the last number of
// this try. Events without a number are in order everywhere.
func (e *eventTracker) takeOrdered(p []byte) (ordered []byte, all bool) {
	for at := 0; at < len(p); {
		begun := e.order.InEvent() // a long event of which the beginning was sent on
		n, event := e.order.Next(p[at:])
		if !event {
			return p, true
		}
		if id := numericID(jwevent.FirstID(p[at : at+n])); id > 0 && !begun {
			if e.lastOfTry > 0 && id != e.lastOfTry+1 {
				return p[:at], false
			}
			e.lastOfTry = id
		}
		at += n
	}
	return p, true
}

// completeLength returns the length of the complete events at the beginning of
// p.
func completeLength(p []byte) int {
	var s jwevent.Scanner
	n, _ := s.Scan(p)
	return n
}

// recordFirst records the id of the first event of a try.
func (e *eventTracker) recordFirst(p []byte) {
	if e.firstOfTry == 0 && !e.startsWithDone && len(p) > 0 {
		e.firstOfTry = firstID(p)
		e.startsWithDone = bytes.HasPrefix(p, doneEvent)
	}
}

// resumed reports whether this try continues after the last event sent and did
// not start from the beginning. A stream whose events have ids starts with an
// event with an id, so a try that starts with the end marker had nothing else
// left to send.
func (e *eventTracker) resumed() bool {
	return e.lastSent > 0 && (e.firstOfTry == e.lastSent+1 || e.startsWithDone)
}

// recordSent records events that were sent to the caller.
func (e *eventTracker) recordSent(p []byte) {
	if id := lastID(p); id > 0 {
		e.lastSent = id
	}
}

// lastEventID returns the id of the last event sent, as used in the
// Last-Event-ID header, or an empty string if there is none.
func (e *eventTracker) lastEventID() string {
	if e.lastSent == 0 {
		return ""
	}
	return strconv.FormatUint(e.lastSent, 10)
}

// firstID returns the id of the first event in p, or 0 if that event has no id
// or one that is not a number.
func firstID(p []byte) uint64 {
	var s jwevent.Scanner
	for i := range p {
		if n, events := s.Scan(p[i : i+1]); n > 0 && events > 0 {
			p = p[:i+1]
			break
		}
	}
	return numericID(jwevent.FirstID(p))
}

// lastID returns the id that stands last in p, or 0 if there is none or it is
// not a number.
func lastID(p []byte) uint64 { return numericID(jwevent.LastID(p)) }

// numericID returns an id that is a number, or 0 for any other.
func numericID(id string) uint64 {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
