package jwdispatch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwrequest"
)

// recordingCounter is a Counter and a Tracer that records its calls.
type recordingCounter struct {
	ended  []Reason
	seen   []Latency
	traced []string
}

func (c *recordingCounter) RecordEnd(_ string, _ jwrequest.Outcome, reason Reason) {
	c.ended = append(c.ended, reason)
}
func (c *recordingCounter) RecordTry(string, string, bool)          {}
func (c *recordingCounter) RecordServed(_ string, s Latency)        { c.seen = append(c.seen, s) }
func (c *recordingCounter) Step(*jwrequest.Request, string, string) {}
func (c *recordingCounter) End(_ *jwrequest.Request, _ jwrequest.Outcome, _ Reason, servedBy string) {
	c.traced = append(c.traced, servedBy)
}

// failingSink is a caller that disconnects at the head or in the body of its
// answer.
type failingSink struct{ head, body bool }

var errGone = errors.New("caller disconnected")

func (s failingSink) Head(AnswerHead) error {
	if s.head {
		return errGone
	}
	return nil
}

func (s failingSink) Body([]byte) error {
	if s.body {
		return errGone
	}
	return nil
}

func (s failingSink) End(AnswerEnd) error { return nil }

func TestTrackedSinkCountsRequestOnce(t *testing.T) {
	// A caller disconnects while its answer is being sent. The request must
	// still be counted once, or its trace would stay in memory forever.
	tests := map[string]struct {
		sink      failingSink
		forwarded bool
		run       func(*trackedSink)
		reason    Reason
		seen      int
	}{
		"complete answer":           {failingSink{}, false, sendComplete, ReasonNone, 1},
		"from another node":         {failingSink{}, true, sendComplete, ReasonNone, 0},
		"disconnects at the head":   {failingSink{head: true}, false, sendComplete, ReasonCaller, 0},
		"disconnects in the body":   {failingSink{body: true}, false, sendComplete, ReasonCaller, 0},
		"rejected":                  {failingSink{}, false, sendRefusal, ReasonLimit, 0},
		"rejected and disconnected": {failingSink{head: true}, false, sendRefusal, ReasonCaller, 0},
		"no answer at all":          {failingSink{}, false, func(*trackedSink) {}, ReasonCaller, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &recordingCounter{}
			now := time.Unix(1000, 0)
			d := &Dispatcher{Counter: c, Tracer: c, Now: func() time.Time { now = now.Add(time.Second); return now }}
			j := &job{
				Dispatcher: d, request: &jwrequest.Request{Body: []byte("ask")},
				entry: &jwcatalogue.Entry{Name: "menu"}, forwarded: tc.forwarded,
			}
			e := &trackedSink{Sink: tc.sink, job: j, startedAt: now}
			tc.run(e)
			e.recordAbandoned()
			assert.DeepEqual(t, c.ended, []Reason{tc.reason})
			assert.Equal(t, len(c.traced), 1)
			assert.Equal(t, len(c.seen), tc.seen)
			if tc.seen > 0 {
				assert.Equal(t, c.seen[0], Latency{First: time.Second, Whole: 2 * time.Second, ServedBy: "east", Bytes: 8})
			}
		})
	}
}

func sendComplete(e *trackedSink) {
	e.sendComplete(AnswerHead{Status: 200, ServedBy: "east"}, []byte("hello"))
}

func sendRefusal(e *trackedSink) { e.reject(unavailable(ReasonLimit, "", time.Second)) }
