package jwgateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

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
	held, ok := g.holdAnswer(q, a)
	if !ok {
		return g.copyAnswer(q, a, onEvents)
	}
	defer g.memory.Release(jwmemory.Answers, held)
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedAnswer))
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
	if a.Complete() || len(body) < maxBufferedAnswer {
		q.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	q.w.WriteHeader(a.Status)
	_, _ = q.w.Write(body)
	if len(body) == maxBufferedAnswer && !a.Complete() {
		if _, err := io.Copy(q.w, a.Body); err != nil {
			q.lastReason = err.Error()
			return failed
		}
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
	r := &eventReader{
		body: a.Body, framing: a.Framing, buf: make([]byte, readSize),
		onEvents: func(events int) {
			q.events += events
			onEvents(events)
		},
		onFirst: func() { g.logStreamStart(q) },
		onEnd:   func(partial int) { q.answer.partial = partial },
	}
	if q.answerStarted {
		r.wantID = nextID(q.lastEvent())
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

// eventReader reads the events of a stream.
type eventReader struct {
	body     io.Reader
	framing  jwconn.Framing
	onEvents func(events int)  // called with the number of events that have arrived
	onFirst  func()            // called once, when the first events have arrived
	onEnd    func(partial int) // called once, with the number of bytes that arrived after the last complete event
	wantID   string            // identifier that the first event must have, "" for any
	buf      []byte
	scanner  jwevent.Scanner
	buffered []byte // what was read and belongs to events that were not returned, after the returned ones
	passed   int    // number of bytes of buffered that were returned
	begun    bool
}

// next reads once and returns the complete events, none if the read completed none. They are valid
// until the next call. At the end of the stream it also returns the verdict on it, and the reason
// for any but finished. A stream that ends inside an event has broken off, whatever its framing.
func (r *eventReader) next() (events []byte, end Verdict, reason string) {
	r.buffered = append(r.buffered[:0], r.buffered[r.passed:]...)
	r.passed = 0
	n, err := r.body.Read(r.buf)
	complete, count := r.scanner.Scan(r.buf[:n])
	if complete > 0 {
		r.passed = len(r.buffered) + complete
	}
	r.buffered = append(r.buffered, r.buf[:n]...)
	if count > 0 && !r.count(r.buffered[:r.passed], count) {
		return nil, failed, "the stream was resumed at another event"
	}
	if err != nil {
		r.onEnd(len(r.buffered) - r.passed)
	}
	switch {
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

// count reports events to the callbacks. It returns false if the stream does not begin with the
// event that was asked for.
func (r *eventReader) count(events []byte, n int) bool {
	r.onEvents(n)
	if r.begun {
		return true
	}
	r.begun = true
	r.onFirst()
	return r.wantID == "" || jwevent.FirstID(events) == r.wantID
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
	if _, err := q.w.Write(events); err != nil {
		q.lastReason = "the caller is gone"
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

// nextID returns the identifier that follows a numeric one, "" for any other.
func nextID(id string) string {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return ""
	}
	return strconv.FormatInt(n+1, 10)
}

// isStream reports whether an answer is a stream of events.
func isStream(a *jwconn.Answer) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") && a.Status == http.StatusOK
}
