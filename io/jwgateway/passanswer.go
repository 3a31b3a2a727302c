package jwgateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwevent"
	"jujubewheel/core/jwmemory"
	"jujubewheel/io/jwconn"
)

const (
	// maxBufferedAnswer is the size up to which an answer other than a stream is buffered
	// completely, so that an incomplete one can be detected before anything is sent to the caller.
	maxBufferedAnswer = 256 << 10
	// maxEventSize limits the size of one event of a stream.
	maxEventSize = 256 << 10
	// maxDrain limits how much of an unwanted answer is read to keep its connection usable.
	maxDrain = 64 << 10
	// maxDrainTime is how long that may take.
	maxDrainTime = 100 * time.Millisecond
	// readSize is the size of one read from a stream; it holds several events.
	readSize = 1 << 10
)

var byteOrderMark = []byte(jwevent.BOM)

// drain reads the rest of an answer, so that its connection can be used again.
func drain(a *jwconn.Answer) {
	if a.Framing == jwconn.FramedByConnection || a.Length > maxDrain {
		return
	}
	t := time.AfterFunc(maxDrainTime, a.Abort)
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, a.Body, maxDrain)
}

// closeAnswer closes an answer and records whether the request's body had been sent by then.
func (q *request) closeAnswer(a *jwconn.Answer) {
	q.answer.givenUp = a.GivenUp() && !q.writeCut.Load()
	q.answer.conn = a.ConnUse()
	a.Close()
	if err := a.BodyError(); err != nil {
		q.answer.bodyError = err.Error()
	}
}

// passAnswer passes an answer to the caller. onEvents is called with the number of events that have
// arrived; for an answer that is not a stream it is called once.
func (g *Gateway) passAnswer(q *request, a *jwconn.Answer, onEvents func(events int)) Verdict {
	q.answer.framing = a.Framing
	if isStream(a) {
		return g.passStream(q, a, onEvents)
	}
	g.limitAnswerTime(q)
	body, err := g.readAnswer(a)
	onEvents(1)
	if err != nil {
		q.lastReason = err.Error()
		return failed
	}
	if q.answerStarted {
		// A stream can't be resumed with an answer that is not a stream.
		q.lastReason = "the stream was not resumed"
		return failed
	}
	q.answerStarted = true
	g.copyHeaders(q, a)
	if a.Complete() {
		q.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	q.w.WriteHeader(a.Status)
	err = q.write(a, body)
	switch {
	case err == jwconn.ErrNoMemory || q.writeCut.Load():
		err = jwconn.ErrNoMemory
	case !a.Complete():
		err = q.passRest(a)
	default:
		err = nil // the answer was passed on, whether or not its caller is there
	}
	if err != nil {
		q.lastReason = err.Error()
		return failed
	}
	return finished
}

// copyHeaders copies the end-to-end headers of an answer to the caller's.
func (g *Gateway) copyHeaders(q *request, a *jwconn.Answer) {
	length := a.Header.Get("Content-Length")
	stripHopByHop(a.Header)
	h := q.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if q.method == http.MethodHead && length != "" {
		h["Content-Length"] = []string{length}
	}
}

// passStream passes complete events on as they arrive. If the stream fails within an event, the
// incomplete event is dropped, so that another target can resume after the last complete one.
func (g *Gateway) passStream(q *request, a *jwconn.Answer, onEvents func(events int)) Verdict {
	if q.answerStarted && q.events > 0 && !jwevent.IsNumber(q.lastEvent()) {
		q.lastReason = "a stream without numbers can't be resumed"
		return failed
	}
	r := &eventReader{
		body: a.Body, framing: a.Framing, buf: make([]byte, readSize),
		series: g.seriesOf(q), resumed: q.answerStarted,
		onEvents: func(events int) {
			q.events += events
			onEvents(events)
		},
		onFirst: func() { g.logStreamStart(q) },
		onEnd:   func(partial int) { q.answer.partial = partial },
		hold:    a.Hold,
		onBlock: func() { q.sendTimer.Reset(maxEventPause) },
		onFault: func(f jwevent.Fault) {
			a.Abort() // the target is to stop, and nothing that follows is part of an answer
			g.metrics.garbledStreams[f.Kind].Inc(1)
		},
	}
	if g.controlsOverload(q.service) {
		return g.passBuffered(q, a, r)
	}
	for {
		events, end, reason := r.next()
		if (len(events) > 0 || end == finished && !q.answerStarted) && !g.passEvents(q, a, events) {
			return failed
		}
		if end != "" {
			q.setReason(reason)
			return end
		}
	}
}

// passEvents writes events as writeEvents does. The time that a slow caller takes is not counted as the target's.
func (g *Gateway) passEvents(q *request, a *jwconn.Answer, events []byte) bool {
	q.sendTimer.Pause()
	started := time.Now()
	ok := g.writeEvents(q, a, events)
	if now := time.Now(); now.Sub(started) > slowWrite {
		q.readResumed = now
	}
	q.sendTimer.Reset(maxEventPause)
	return ok
}

// seriesOf returns what the events of a request's stream must be, nil if they may be anything.
func (g *Gateway) seriesOf(q *request) *jwevent.Series {
	if q.entry.Kind != jwentry.Stream && !q.answerStarted {
		return nil
	}
	s := &jwevent.Series{Numbered: q.entry.Resumable}
	if d, ok := g.Dialect.(EventDialect); ok {
		s.Field = d.EventField()
	}
	if q.answerStarted || q.entry.Resumable {
		s.Resume(q.lastEvent())
	}
	return s
}

// eventReader reads the events of a stream.
type eventReader struct {
	body     io.Reader
	framing  jwconn.Framing
	series   *jwevent.Series     // what the events must be, nil for anything
	resumed  bool                // the caller has the beginning of the stream
	onEvents func(events int)    // called with the number of events that have arrived
	onFirst  func()              // called once, when the first events have arrived
	onEnd    func(partial int)   // called once, with the number of bytes that arrived after the last complete event
	hold     func(n int64) bool  // accounts for the bytes held, if not nil; false if they may not be
	writing  atomic.Int64        // bytes held of events that were returned and are still being written
	onBlock  func()              // called when only blocks without events have arrived, if not nil
	onFault  func(jwevent.Fault) // called once, if what arrived is no event of the series, if not nil
	buf      []byte
	scanner  jwevent.Scanner
	buffered []byte // what was read and belongs to events that were not returned, after the returned ones
	passed   int    // number of bytes of buffered that were returned
	checked  int    // number of bytes of buffered that belong to complete events; more than passed while one is undecided
	held     int    // number of events that are undecided
	begun    bool
	trimmed  bool // the byte order mark of a resumed stream is dropped, if there was one
}

// next reads once and returns the complete events, none if the read completed none. They are valid
// until the next call. At the end of the stream it also returns the verdict on it, and the reason
// for any but finished. A stream that ends inside an event has broken off, whatever its framing, and
// so has one with anything that is no event of its series: only the events before that are returned.
func (r *eventReader) next() (events []byte, end Verdict, reason string) {
	r.compact()
	n, err := r.body.Read(r.buf)
	scanned := len(r.buffered)
	r.buffered = append(r.buffered, r.buf[:n]...)
	held := r.hold == nil || r.hold(int64(cap(r.buffered))+r.writing.Load())
	count, fault := r.check(scanned)
	if fault.Kind == "" && err == io.EOF && !r.scanner.InEvent() {
		count += r.held
		r.passed = r.checked
	}
	r.report(count, n)
	if fault.Kind != "" && r.onFault != nil {
		r.onFault(fault)
	}
	if err != nil || fault.Kind != "" {
		r.onEnd(len(r.buffered) - r.passed)
	}
	switch {
	case fault.Kind != "":
		return r.buffered[:r.passed], broken, fault.String()
	case !held:
		return r.buffered[:r.passed], broken, jwconn.ErrNoMemory.Error()
	case err == io.EOF && r.scanner.InEvent():
		return r.buffered[:r.passed], broken, "the stream ended inside an event"
	case err == io.EOF && !r.begun && r.framing == jwconn.FramedByConnection:
		return nil, broken, "the connection ended before the first event"
	case err == io.EOF:
		return r.buffered[:r.passed], finished, ""
	case err != nil:
		return r.buffered[:r.passed], broken, err.Error()
	case len(r.buffered)-r.passed > maxEventSize:
		return r.buffered[:r.passed], failed, "an event is too large"
	}
	return r.buffered[:r.passed], "", ""
}

// compact drops the events that were returned, and the buffer of a long one with them.
func (r *eventReader) compact() {
	rest, to := r.buffered[r.passed:], r.buffered[:0]
	if cap(r.buffered) > jwmemory.FreeBytes && len(rest) <= readSize {
		to = make([]byte, 0, 2*readSize)
	}
	r.release(append(to, rest...))
}

// release replaces the buffer by the part of it that was not returned.
func (r *eventReader) release(rest []byte) {
	r.buffered, r.checked, r.passed = rest, r.checked-r.passed, 0
}

// check finds the events that are complete and marks those of the series as passed, up to the first
// one that isn't. at is where the bytes begin that were not scanned yet.
func (r *eventReader) check(at int) (events int, f jwevent.Fault) {
	for {
		n, event := r.scanner.Next(r.buffered[at:])
		if n == 0 {
			return events, f
		}
		at += n
		block := jwevent.NoEvent
		if event {
			at -= r.trim()
			if block, f = r.classify(r.buffered[r.checked:at]); f.Kind != "" {
				return events, f
			}
		}
		r.checked = at
		switch block {
		case jwevent.Undecided:
			r.held++
		case jwevent.Event:
			events += 1 + r.held
			r.held = 0
		}
		if r.held == 0 {
			r.passed = at
		}
		if !event {
			return events, f
		}
	}
}

func (r *eventReader) classify(block []byte) (jwevent.Block, jwevent.Fault) {
	if r.series == nil {
		return jwevent.Event, jwevent.Fault{}
	}
	return r.series.Next(block)
}

// trim drops the byte order mark of a stream of which the caller has the beginning, and returns its length.
func (r *eventReader) trim() int {
	first := !r.trimmed
	r.trimmed = true
	if !first || !r.resumed || !bytes.HasPrefix(r.buffered[r.checked:], byteOrderMark) {
		return 0
	}
	r.buffered = append(r.buffered[:r.checked], r.buffered[r.checked+len(byteOrderMark):]...)
	return len(byteOrderMark)
}

// report reports to the callbacks what a read has completed.
func (r *eventReader) report(events, read int) {
	if events == 0 {
		if read > 0 && r.passed+r.held > 0 && r.onBlock != nil {
			r.onBlock()
		}
		return
	}
	r.onEvents(events)
	if !r.begun {
		r.begun = true
		r.onFirst()
	}
}

// setReason sets the reason of a send that failed, unless it is empty.
func (q *request) setReason(reason string) {
	if reason != "" {
		q.lastReason = reason
	}
}

// writeEvents writes events to the caller and flushes them, preceded by the status and headers if
// they are the first. It returns false if the caller is gone.
func (g *Gateway) writeEvents(q *request, a *jwconn.Answer, events []byte) bool {
	if !q.answerStarted {
		q.answerStarted = true
		g.copyHeaders(q, a)
		q.w.WriteHeader(a.Status)
	}
	if q.link != nil {
		q.link.beginWrite()
		defer q.link.endWrite()
	}
	if err := q.write(a, events); err != nil {
		q.lastReason = "the caller is gone"
		if q.writeCut.Load() || err == jwconn.ErrNoMemory {
			q.lastReason = jwconn.ErrNoMemory.Error()
		}
		return false
	}
	if f, ok := q.w.(http.Flusher); ok {
		f.Flush()
	}
	if id := jwevent.LastID(events); id != "" {
		q.lastEventID = id
	}
	return true
}

// isStream reports whether an answer is a stream of events.
func isStream(a *jwconn.Answer) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") && a.Status == http.StatusOK
}
