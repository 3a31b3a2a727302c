package jwlisten

import (
	"encoding/json"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

const eventStream = "text/event-stream"

// httpSink writes one answer as an HTTP response.
type httpSink struct {
	w              http.ResponseWriter
	control        *http.ResponseController
	stream         bool // the answer is an event stream, which ends with a done or error event
	outcomePending bool // the outcome was not known when the head was written
	incomplete     bool // the answer ended early after its head was written
}

// refusalBody is the JSON body of an answer by the node itself, not by a target.
type refusalBody struct {
	Outcome          jwrequest.Outcome `json:"outcome"`
	Reason           jwdispatch.Reason `json:"reason,omitempty"`
	Detail           string            `json:"detail,omitempty"`
	RetryAfterMillis int64             `json:"retryAfterMillis,omitempty"`
	Hosts            []netip.AddrPort  `json:"hosts,omitempty"`
}

// endEvent is the data of the last event of a stream.
type endEvent struct {
	Outcome jwrequest.Outcome `json:"outcome"`
	Length  int64             `json:"length"`
	Reason  jwdispatch.Reason `json:"reason,omitempty"`
	Detail  string            `json:"detail,omitempty"`
}

// Head writes status and headers, or the whole answer if it is a refusal.
func (s *httpSink) Head(h jwdispatch.AnswerHead) error {
	if h.Reason != jwdispatch.ReasonNone && h.Length == 0 {
		writeRefusal(s.w, h)
		return nil
	}
	header := s.w.Header()
	setNonEmpty(header, "Content-Type", h.ContentType)
	setNonEmpty(header, headerServedBy, h.ServedBy)
	s.outcomePending = h.Outcome == ""
	s.stream = strings.HasPrefix(h.ContentType, eventStream)
	if !s.outcomePending {
		header.Set(headerOutcome, string(h.Outcome))
	}
	if h.Length >= 0 && !s.stream {
		header.Set("Content-Length", strconv.FormatInt(h.Length, 10))
	}
	if s.outcomePending {
		header.Set("Trailer", headerOutcome)
	}
	s.w.WriteHeader(h.Status)
	return nil
}

// Body writes a part of the answer's body. It flushes the part at once if the
// outcome was not known when the head was written.
func (s *httpSink) Body(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	if s.outcomePending {
		return s.control.Flush()
	}
	return nil
}

// End ends the response. A stream ends with a done event, or with an error event
// if it is incomplete.
func (s *httpSink) End(e jwdispatch.AnswerEnd) error {
	if s.stream {
		s.writeEndEvent(e)
	}
	if !s.outcomePending {
		return nil
	}
	if e.Outcome != jwrequest.Served {
		s.incomplete = true
		return s.control.Flush()
	}
	s.w.Header().Set(headerOutcome, string(e.Outcome))
	return nil
}

func (s *httpSink) writeEndEvent(e jwdispatch.AnswerEnd) {
	name := "done"
	if e.Outcome != jwrequest.Served {
		name = "error"
	}
	data, _ := json.Marshal(endEvent{Outcome: e.Outcome, Length: e.Length, Reason: e.Reason, Detail: e.Detail})
	_, _ = s.w.Write([]byte("event: " + name + "\ndata: " + string(data) + "\n\n"))
}

// writeRefusal writes an answer by the node itself, not by a target.
func writeRefusal(w http.ResponseWriter, h jwdispatch.AnswerHead) {
	w.Header().Set(headerOutcome, string(h.Outcome))
	if h.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64(math.Ceil(h.RetryAfter.Seconds())), 10))
	}
	writeJSON(w, h.Status, refusalBody{
		Outcome: h.Outcome, Reason: h.Reason, Detail: h.Detail,
		RetryAfterMillis: h.RetryAfter.Round(time.Millisecond).Milliseconds(), Hosts: h.Hosts,
	})
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
