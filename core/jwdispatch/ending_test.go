package jwdispatch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwrequest"
)

// counted notes what a Counter and a Tracer are told.
type counted struct {
	ended  []Reason
	seen   []Seen
	traced []string
}

func (c *counted) Ended(_ string, _ jwrequest.Outcome, reason Reason) {
	c.ended = append(c.ended, reason)
}
func (c *counted) Tried(string, string, bool)              {}
func (c *counted) Seen(_ string, s Seen)                   { c.seen = append(c.seen, s) }
func (c *counted) Step(*jwrequest.Request, string, string) {}
func (c *counted) End(_ *jwrequest.Request, _ jwrequest.Outcome, _ Reason, by string) {
	c.traced = append(c.traced, by)
}

// brokenSink is a caller that goes away at a point of its answer.
type brokenSink struct{ head, body bool }

var errGone = errors.New("gone")

func (s brokenSink) Head(Head) error {
	if s.head {
		return errGone
	}
	return nil
}

func (s brokenSink) Body([]byte) error {
	if s.body {
		return errGone
	}
	return nil
}

func (s brokenSink) End(End) error { return nil }

func TestEnding(t *testing.T) {
	// A caller closes its connection while its answer is on the way. The
	// request must still be counted once, or its trace would be held for ever.
	tests := map[string]struct {
		sink      brokenSink
		forwarded bool
		run       func(*ending)
		reason    Reason
		seen      int
	}{
		"whole answer":      {brokenSink{}, false, whole, ReasonNone, 1},
		"from another node": {brokenSink{}, true, whole, ReasonNone, 0},
		"gone at the head":  {brokenSink{head: true}, false, whole, ReasonCaller, 0},
		"gone in the body":  {brokenSink{body: true}, false, whole, ReasonCaller, 0},
		"refused":           {brokenSink{}, false, refuse, ReasonLimit, 0},
		"refused and gone":  {brokenSink{head: true}, false, refuse, ReasonCaller, 0},
		"no answer at all":  {brokenSink{}, false, func(*ending) {}, ReasonCaller, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &counted{}
			now := time.Unix(1000, 0)
			d := &Dispatcher{Counter: c, Tracer: c, Now: func() time.Time { now = now.Add(time.Second); return now }}
			j := &job{
				Dispatcher: d, request: &jwrequest.Request{Body: []byte("ask")},
				entry: &jwcatalogue.Entry{Name: "menu"}, forwarded: tc.forwarded,
			}
			e := &ending{Sink: tc.sink, job: j, began: now}
			tc.run(e)
			e.abandon()
			assert.DeepEqual(t, c.ended, []Reason{tc.reason})
			assert.Equal(t, len(c.traced), 1)
			assert.Equal(t, len(c.seen), tc.seen)
			if tc.seen > 0 {
				assert.Equal(t, c.seen[0], Seen{First: time.Second, Whole: 2 * time.Second, ServedBy: "east", Bytes: 8})
			}
		})
	}
}

func whole(e *ending) { e.whole(Head{Status: 200, ServedBy: "east"}, []byte("hello")) }

func refuse(e *ending) { e.refuse(overloaded(ReasonLimit, "", time.Second)) }
