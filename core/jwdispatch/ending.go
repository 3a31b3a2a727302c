package jwdispatch

import (
	"jujubewheel/core/jwrequest"
)

// ending passes an answer on and makes sure that it is begun and ended once.
type ending struct {
	Sink
	job   *job
	begun bool
	ended bool
	sent  int64
}

// Head passes the beginning on.
func (e *ending) Head(h Head) error {
	e.begun = true
	return e.Sink.Head(h)
}

// Body passes a part on.
func (e *ending) Body(p []byte) error {
	e.sent += int64(len(p))
	return e.Sink.Body(p)
}

// End passes the end on and counts the request.
func (e *ending) End(end End) error {
	if e.ended {
		return nil
	}
	e.ended = true
	j := e.job
	entry := j.request.Entry
	if j.entry == nil {
		entry = "" // a name that isn't in the catalogue would make a counter of its own
	}
	j.Counter.Ended(entry, end.Outcome, end.Reason)
	if j.Tracer != nil {
		j.Tracer.End(j.request, end.Outcome, end.Reason, j.Self.Region)
	}
	return e.Sink.End(end)
}

// refuse ends the request with a refusal, also in the midst of a stream.
func (e *ending) refuse(h Head) {
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
