package jwdispatch

import (
	"time"

	"jujubewheel/core/jwrequest"
)

// ending passes an answer on and makes sure that it is begun and ended once.
type ending struct {
	Sink
	job   *job
	begun bool
	ended bool
	sent  int64

	began    time.Time
	first    time.Time // of the first byte of the body, zero before it
	servedBy string
}

// Head passes the beginning on.
func (e *ending) Head(h Head) error {
	e.begun = true
	e.servedBy = h.ServedBy
	return e.Sink.Head(h)
}

// Body passes a part on.
func (e *ending) Body(p []byte) error {
	if e.first.IsZero() {
		e.first = e.job.Now()
	}
	e.sent += int64(len(p))
	return e.Sink.Body(p)
}

// End passes the end on and counts the request.
func (e *ending) End(end End) error {
	if e.ended {
		return nil
	}
	e.ended = true
	e.job.note(end.Outcome, end.Reason, e.servedBy)
	if end.Outcome == jwrequest.Served && !e.job.forwarded {
		e.measure()
	}
	return e.Sink.End(end)
}

// abandon counts a request whose caller went away before the end of its answer.
// Uncounted, it would be missing from the totals, and its trace, body and all,
// would be held for ever.
func (e *ending) abandon() {
	if e.ended {
		return
	}
	e.ended = true
	e.job.note(jwrequest.Unknown, ReasonCaller, e.servedBy)
}

func (e *ending) measure() {
	now := e.job.Now()
	if e.first.IsZero() {
		e.first = now // an answer without a body
	}
	e.job.Counter.Seen(e.job.entry.Name, Seen{
		First: e.first.Sub(e.began), Whole: now.Sub(e.began), ServedBy: e.servedBy,
		Bytes: e.sent + int64(len(e.job.request.Body)),
	})
}

// refuse ends the request with a refusal, also in the midst of a stream.
func (e *ending) refuse(h Head) {
	if h.Outcome != jwrequest.Served {
		e.job.step("refused", h.Detail)
	}
	if !e.begun {
		h.Length = 0
		if e.Head(h) != nil {
			return
		}
	}
	_ = e.End(End{Outcome: h.Outcome, Length: e.sent, Reason: h.Reason, Detail: h.Detail})
}

// whole gives an answer that is all there.
func (e *ending) whole(h Head, body []byte) {
	h.Length = int64(len(body))
	if h.Outcome == "" {
		h.Outcome = jwrequest.Served
	}
	if e.Head(h) != nil || e.Body(body) != nil {
		return
	}
	_ = e.End(End{Outcome: h.Outcome, Length: int64(len(body)), Reason: h.Reason, Detail: h.Detail})
}
