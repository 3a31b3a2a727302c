package jwdispatch

import (
	"time"

	"jujubewheel/core/jwrequest"
)

// trackedSink passes an answer to a Sink and records its progress, so that each
// request is counted exactly once.
type trackedSink struct {
	Sink
	job       *job
	headSent  bool
	ended     bool
	bytesSent int64

	startedAt   time.Time
	firstByteAt time.Time // when the first byte of the body was sent, zero before that
	servedBy    string
}

// Head passes the head of the answer to the Sink.
func (e *trackedSink) Head(h AnswerHead) error {
	e.headSent = true
	e.servedBy = h.ServedBy
	return e.Sink.Head(h)
}

// Body passes a part of the body to the Sink.
func (e *trackedSink) Body(p []byte) error {
	if e.firstByteAt.IsZero() {
		e.firstByteAt = e.job.Now()
	}
	e.bytesSent += int64(len(p))
	return e.Sink.Body(p)
}

// End passes the end of the answer to the Sink and counts the request.
func (e *trackedSink) End(end AnswerEnd) error {
	if e.ended {
		return nil
	}
	e.ended = true
	e.job.recordEnd(end.Outcome, end.Reason, e.servedBy)
	if end.Outcome == jwrequest.Served && !e.job.forwarded {
		e.recordServed()
	}
	return e.Sink.End(end)
}

// recordAbandoned counts a request whose caller disconnected before the end of
// its answer. If it were not counted, it would be missing from the totals, and
// its trace and body would stay in memory forever.
func (e *trackedSink) recordAbandoned() {
	if e.ended {
		return
	}
	e.ended = true
	e.job.recordEnd(jwrequest.Unknown, ReasonCaller, e.servedBy)
}

// recordServed measures a served request.
func (e *trackedSink) recordServed() {
	now := e.job.Now()
	if e.firstByteAt.IsZero() {
		e.firstByteAt = now // the answer had no body
	}
	e.job.Counter.RecordServed(e.job.entry.Name, Latency{
		First: e.firstByteAt.Sub(e.startedAt), Whole: now.Sub(e.startedAt), ServedBy: e.servedBy,
		Bytes: e.bytesSent + int64(len(e.job.request.Body)),
	})
}

// reject ends the request without the target's answer, or without the remainder
// of it if part was already sent.
func (e *trackedSink) reject(h AnswerHead) {
	if h.Outcome != jwrequest.Served {
		e.job.trace("refused", h.Detail)
	}
	if !e.headSent {
		h.Length = 0
		if e.Head(h) != nil {
			return
		}
	}
	_ = e.End(AnswerEnd{Outcome: h.Outcome, Length: e.bytesSent, Reason: h.Reason, Detail: h.Detail})
}

// sendComplete sends an answer whose complete body is available.
func (e *trackedSink) sendComplete(h AnswerHead, body []byte) {
	h.Length = int64(len(body))
	if h.Outcome == "" {
		h.Outcome = jwrequest.Served
	}
	if e.Head(h) != nil || e.Body(body) != nil {
		return
	}
	_ = e.End(AnswerEnd{Outcome: h.Outcome, Length: int64(len(body)), Reason: h.Reason, Detail: h.Detail})
}
