package jwgateway

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jujubewheel/core/jwevent"
	"jujubewheel/core/jwmemory"
	"jujubewheel/io/jwconn"
)

const (
	// slowWrite is how long a write to the caller may take before the stream is read on
	// meanwhile.
	slowWrite = 20 * time.Millisecond
	// maxCallerStall is how long a caller may read nothing of a stream before it is cut off.
	// Callers abandon a stream without events after two seconds or a few more.
	maxCallerStall = 8 * time.Second
	// minAnswerBuffer and maxAnswerBuffer are the smallest and the largest buffer for a stream
	// whose caller is slow.
	minAnswerBuffer = 4 << 10
	maxAnswerBuffer = 256 << 10
	// maxPiece is how much of a buffer is written to the caller at once, except for a longer event.
	maxPiece = 16 << 10
)

// cutOff is why the stream of a slow caller was cut off.
type cutOff string

// Reasons for cutting off a stream.
const (
	cutOffStalled cutOff = "stalled" // the caller read nothing for maxCallerStall, or until its deadline
	cutOffShed    cutOff = "memory"  // the node may hold no more, and the caller had read nothing for longest
)

// bufferedStream passes a stream on to a caller that may read slowly. The request's goroutine
// reads from the target and writes to the caller. While a write takes longer than slowWrite, a
// second goroutine reads on into a bounded buffer; it ends once the caller has caught up.
type bufferedStream struct {
	g          *Gateway
	q          *request
	a          *jwconn.Answer
	r          *eventReader // used by the goroutine that reads
	timer      *time.Timer  // calls readOn when a write takes long
	controller *http.ResponseController

	mu      sync.Mutex
	changed sync.Cond // signals changes of the fields below
	writing bool      // a write to the caller is in progress
	reading bool      // readOn runs
	idle    bool      // the request's goroutine waits for events
	aborted bool      // nothing more is to be read
	slow    bool      // it is one of Gateway.slowStreams
	buf     []byte    // events to be written; its capacity is accounted for
	piece   []byte    // events being written from the buffer
	end     Verdict   // at the end of the target's stream
	reason  string    // for end

	held     atomic.Int64 // bytes accounted for
	progress atomic.Int64 // when the caller last read while it is slow, in Unix nanoseconds
	shed     atomic.Bool  // the stream is cut off to free its memory
}

// passBuffered passes a stream on as passStream does, and reads on while the caller is slow.
func (g *Gateway) passBuffered(q *request, a *jwconn.Answer, r *eventReader) Verdict {
	s := &bufferedStream{g: g, q: q, a: a, r: r, controller: http.NewResponseController(q.w)}
	s.changed.L = &s.mu
	s.timer = time.AfterFunc(maxCallerStall, s.readOn)
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.release()
	for {
		switch {
		case len(s.buf) > 0:
			s.take()
			if !s.write(s.piece) {
				return s.abort()
			}
		case s.end != "":
			q.setReason(s.reason)
			return s.end
		case s.reading:
			s.idle = true
			s.changed.Broadcast()
			s.changed.Wait()
			s.idle = false
		default:
			if !s.passNext() {
				return s.abort()
			}
		}
	}
}

// passNext reads from the target and writes to the caller. It returns false if the caller is gone.
func (s *bufferedStream) passNext() bool {
	s.release()
	s.mu.Unlock()
	events, end, reason := s.r.next()
	s.mu.Lock()
	s.end, s.reason = end, reason
	if len(events) == 0 && (end != finished || s.q.answerStarted) {
		return true
	}
	return s.write(events)
}

// write writes events to the caller while readOn may read on. It returns false if the caller is
// gone or was cut off. s.mu is held before and after the call.
func (s *bufferedStream) write(events []byte) bool {
	s.writing = true
	switch {
	case s.slow || s.end != "":
		s.limitWrite()
	default:
		s.timer.Reset(slowWrite)
	}
	s.mu.Unlock()
	ok := s.g.writeEvents(s.q, s.a, events)
	s.timer.Stop()
	s.mu.Lock()
	s.r.writing.Store(0)
	s.writing = false
	if s.slow {
		s.progress.Store(time.Now().UnixNano())
		s.changed.Broadcast()
	}
	return ok
}

// limitWrite limits the time of the current write.
func (s *bufferedStream) limitWrite() {
	deadline := s.q.deadline.Add(deadlineMargin)
	if t := time.Now().Add(maxCallerStall); t.Before(deadline) {
		deadline = t
	}
	_ = s.controller.SetWriteDeadline(deadline)
	if s.shed.Load() {
		s.cutOff()
	}
}

// cutOff makes the current and the next write to the caller fail.
func (s *bufferedStream) cutOff() { _ = s.controller.SetWriteDeadline(time.Unix(1, 0)) }

// take moves events from the buffer to the piece to be written next.
func (s *bufferedStream) take() {
	n := pieceLength(s.buf)
	s.piece = append(s.piece[:0], s.buf[:n]...)
	s.buf = append(s.buf[:0], s.buf[n:]...)
}

// pieceLength returns how many bytes of a buffer of complete events are written next: events of at
// most maxPiece bytes, or one longer event.
func pieceLength(buf []byte) int {
	if len(buf) <= maxPiece {
		return len(buf)
	}
	var s jwevent.Scanner
	if n, _ := s.Scan(buf[:maxPiece]); n > 0 {
		return n
	}
	for i := maxPiece; i < len(buf); i++ {
		if n, _ := s.Scan(buf[i : i+1]); n > 0 {
			return i + 1
		}
	}
	return len(buf)
}

// readOn reads from the target into the buffer until the caller has caught up or the stream ends.
func (s *bufferedStream) readOn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writing || s.reading || s.end != "" {
		return // the write has ended in the meantime
	}
	s.reading = true
	s.begin()
	caughtUp := false
	for s.end == "" && !s.aborted && !caughtUp {
		caughtUp = s.readNext()
	}
	s.reading = false
	s.changed.Broadcast()
}

// begin makes this one of the slow streams.
func (s *bufferedStream) begin() {
	// The events being written are in the reader's buffer, which the next read overwrites.
	s.r.writing.Store(int64(cap(s.r.buffered)))
	s.r.release(bytes.Clone(s.r.buffered[s.r.passed:]))
	if !s.slow {
		s.slow = true
		s.progress.Store(time.Now().Add(-slowWrite).UnixNano())
		s.g.slowStreams.add(s)
		s.g.metrics.slowStreamsTotal.Inc(1)
	}
	s.limitWrite()
}

// readNext reads once, as soon as there is room for what is read. It reports whether the caller
// has caught up.
func (s *bufferedStream) readNext() (caughtUp bool) {
	for !s.makeRoom() {
		if s.idle {
			return true // the request's goroutine can pass it on without the buffer
		}
		s.q.sendTimer.Pause() // the target is not silent
		s.changed.Wait()
		if s.aborted {
			return false
		}
		s.q.readResumed = time.Now()
		s.q.sendTimer.Reset(maxEventPause)
	}
	s.mu.Unlock()
	events, end, reason := s.r.next()
	s.mu.Lock()
	s.buf = append(s.buf, events...)
	s.end, s.reason = end, reason
	if end != "" {
		s.targetDone()
	}
	s.changed.Broadcast()
	return s.idle
}

// targetDone ends the request's part at the target, whose answer is read.
func (s *bufferedStream) targetDone() {
	s.q.sendTimer.Pause()
	if s.q.onRead != nil {
		s.q.onRead()
	}
}

// makeRoom enlarges the buffer if it has no room for the next read, and reports whether it has. If
// the node may hold no more, another stream is shed.
func (s *bufferedStream) makeRoom() bool {
	need := len(s.buf) + len(s.r.buffered) - s.r.passed + readSize
	if need <= cap(s.buf) {
		return true
	}
	size := min(max(2*cap(s.buf), minAnswerBuffer, need), maxAnswerBuffer)
	if need > size {
		return false
	}
	more := int64(size - cap(s.buf))
	if s.piece == nil {
		more += maxPiece
	}
	if !s.g.memory.Reserve(jwmemory.Answers, more) {
		s.g.shedSlowest(time.Now())
		return false
	}
	s.held.Add(more)
	if s.piece == nil {
		s.piece = make([]byte, 0, maxPiece)
	}
	s.buf = append(make([]byte, 0, size), s.buf...)
	return true
}

// release ends the slow phase of a stream that has caught up or ended.
func (s *bufferedStream) release() {
	if !s.slow {
		return
	}
	s.slow, s.buf, s.piece = false, nil, nil
	s.g.slowStreams.remove(s)
	s.shed.Store(false) // the memory is free without cutting it off
	s.g.memory.Release(jwmemory.Answers, s.held.Swap(0))
	if s.end == "" {
		_ = s.controller.SetWriteDeadline(time.Time{})
	}
}

// abort stops reading after a failed write and returns the verdict.
func (s *bufferedStream) abort() Verdict {
	s.aborted = true
	if s.reading {
		s.a.Abort()
	}
	for s.reading {
		s.changed.Broadcast()
		s.changed.Wait()
	}
	stalled := time.Since(time.Unix(0, s.progress.Load()))
	switch {
	case s.shed.Load():
		s.q.lastReason = "shed: the node may hold no more"
		s.g.metrics.cutOffs[cutOffShed].Inc(1)
	case s.slow && (stalled >= maxCallerStall || time.Now().After(s.q.deadline)):
		s.q.lastReason = "the caller does not read"
		s.g.metrics.cutOffs[cutOffStalled].Inc(1)
	}
	return failed
}

// slowStreams holds the streams whose callers are slow. The zero value is empty.
type slowStreams struct {
	mu      sync.Mutex
	streams map[*bufferedStream]bool
}

func (l *slowStreams) add(s *bufferedStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams == nil {
		l.streams = make(map[*bufferedStream]bool)
	}
	l.streams[s] = true
}

func (l *slowStreams) remove(s *bufferedStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, s)
}

func (l *slowStreams) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}

// shedSlowest cuts off the slow stream that is chosen to free its memory, if there is one.
func (g *Gateway) shedSlowest(now time.Time) {
	l := &g.slowStreams
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []jwmemory.Stream
	var streams []*bufferedStream
	for s := range l.streams {
		if s.shed.Load() {
			return // its memory is about to be freed
		}
		list = append(list, jwmemory.Stream{
			ID: uint64(len(streams)), Resumable: s.q.entry.Resumable,
			Stalled: now.Sub(time.Unix(0, s.progress.Load())), Held: s.held.Load(),
		})
		streams = append(streams, s)
	}
	victim, ok := jwmemory.Shed(list)
	if !ok {
		return
	}
	s := streams[victim.ID]
	s.shed.Store(true)
	s.cutOff()
	d := s.q.newDecision(stepShed)
	d.Outcome = string(cutOffShed)
	d.Stalled, d.Buffered, d.Held, d.Budget = victim.Stalled, victim.Held, g.memory.Total(), g.memory.Budget
	g.Decisions.Write(&d)
}
