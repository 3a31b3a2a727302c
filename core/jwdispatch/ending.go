package jwdispatch

import (
	"time"

	"jujubewheel/core/jwrequest"
)

// trackedSink passes an answer on and makes sure that it is begun and ended once.
type trackedSink struct {
	Sink
	job       *job
	headSent  bool
	ended     bool
	bytesSent int64

	startedAt   time.Time
	firstByteAt time.Time // of the first byte of the body, zero before it
	servedBy    string
}

// Head passes the beginning on.
func (e *trackedSink) Head(h Head) error {
	e.headSent = true
	e.servedBy = h.ServedBy
	return e.Sink.Head(h)
}

// Body passes a part on.
func (e *trackedSink) Body(p []byte) error {
	if e.firstByteAt.IsZero() {
		e.firstByteAt = e.job.Now()
	}
	e.bytesSent += int64(len(p))
	return e.Sink.Body(p)
}

// End passes the end on and counts the request.
func (e *trackedSink) End(end End) error {
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

// recordAbandoned counts a request whose caller went away before the end of its answer.
// Uncounted, it would be missing from the totals, and its trace, body and all,
// would be held for ever.
func (e *trackedSink) recordAbandoned() {
	if e.ended {
		return
	}
	e.ended = true
	e.job.recordEnd(jwrequest.Unknown, ReasonCaller, e.servedBy)
}

func (e *trackedSink) recordServed() {
	now := e.job.Now()
	if e.firstByteAt.IsZero() {
		e.firstByteAt = now // an answer without a body
	}
	e.job.Counter.Seen(e.job.entry.Name, Seen{
		First: e.firstByteAt.Sub(e.startedAt), Whole: now.Sub(e.startedAt), ServedBy: e.servedBy,
		Bytes: e.bytesSent + int64(len(e.job.request.Body)),
	})
}

// refuse ends the request with a refusal, also in the midst of a stream.
func (e *trackedSink) refuse(h Head) {
	if h.Outcome != jwrequest.Served {
		e.job.trace("refused", h.Detail)
	}
	if !e.headSent {
		h.Length = 0
		if e.Head(h) != nil {
			return
		}
	}
	_ = e.End(End{Outcome: h.Outcome, Length: e.bytesSent, Reason: h.Reason, Detail: h.Detail})
}

// sendWhole gives an answer that is all there.
func (e *trackedSink) sendWhole(h Head, body []byte) {
	h.Length = int64(len(body))
	if h.Outcome == "" {
		h.Outcome = jwrequest.Served
	}
	if e.Head(h) != nil || e.Body(body) != nil {
		return
	}
	_ = e.End(End{Outcome: h.Outcome, Length: int64(len(body)), Reason: h.Reason, Detail: h.Detail})
}
