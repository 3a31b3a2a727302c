package jwsender_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwsender"
)

// fleet asks a sender by a table, with calls that take no time or fail after a timeout.
type fleet struct {
	table jwsender.Table
	now   time.Time
	ended map[string]jwsender.Reason
}

func newFleet() *fleet {
	return &fleet{now: time.Unix(1000, 0), ended: make(map[string]jwsender.Reason)}
}

func (f *fleet) add(sender, request string) func() {
	return f.table.Add(f.now, sender, request, func(r jwsender.Reason) { f.ended[request] = r })
}

const (
	step        = 50 * time.Millisecond
	callTimeout = 500 * time.Millisecond
)

// run asks for d. answer returns a sender's answer, false for none.
func (f *fleet) run(d time.Duration, answer func(jwsender.Question) ([]string, bool)) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, q := range f.table.Due(f.now) {
			unwanted, ok := answer(q)
			if ok {
				f.table.Answered(f.now, q.Sender, unwanted)
				continue
			}
			f.now = f.now.Add(callTimeout)
			f.table.Failed(f.now, q.Sender)
		}
	}
}

func wantsAll(jwsender.Question) ([]string, bool) { return nil, true }
func silent(jwsender.Question) ([]string, bool)   { return nil, false }

// A stream must end before the caller of a node that has fallen silent goes elsewhere, which it does
// after two seconds at the earliest.
func TestStreamsOfASilentSenderEnd(t *testing.T) {
	const patience = 2 * time.Second
	for _, lived := range []time.Duration{0, 300 * time.Millisecond, 550 * time.Millisecond, 5 * time.Second} {
		t.Run(lived.String(), func(t *testing.T) {
			f := newFleet()
			f.add("a", "r1")
			f.run(lived, wantsAll)
			silentSince := f.now
			for len(f.ended) == 0 && f.now.Sub(silentSince) < time.Minute {
				f.run(step, silent)
			}
			assert.Equal(t, f.ended["r1"], jwsender.Silent)
			assert.Assert(t, f.now.Sub(silentSince) <= patience, f.now.Sub(silentSince))
			assert.Assert(t, f.table.Empty())
		})
	}
}

func TestAnswers(t *testing.T) {
	f := newFleet()
	f.add("a", "r1")
	f.add("a", "r2")
	f.add("b", "r3")
	remove := f.add("b", "r4")
	assert.Equal(t, len(f.table.Due(f.now)), 0, "too young")
	f.run(time.Second, wantsAll)
	assert.Equal(t, len(f.ended), 0)
	f.run(time.Second, func(q jwsender.Question) ([]string, bool) {
		if q.Sender == "a" {
			return []string{"r2", "unknown"}, true
		}
		return nil, true
	})
	assert.DeepEqual(t, f.ended, map[string]jwsender.Reason{"r2": jwsender.Unwanted})
	remove()
	f.run(10*time.Second, func(q jwsender.Question) ([]string, bool) { return nil, q.Sender == "b" })
	assert.DeepEqual(t, f.ended, map[string]jwsender.Reason{"r1": jwsender.Silent, "r2": jwsender.Unwanted})
}

// This node stands still for long: one question that fails then must not end the streams of a sender that lives.
func TestOneFailureEndsNothing(t *testing.T) {
	f := newFleet()
	f.add("a", "r1")
	f.run(time.Second, wantsAll)
	f.now = f.now.Add(time.Minute)
	assert.Equal(t, f.table.Failed(f.now, "a"), 0)
	f.run(5*time.Second, wantsAll)
	assert.Equal(t, len(f.ended), 0)
}

// A stream that was forwarded after a question must not be ended by its answer.
func TestAnswerToAnEarlierQuestion(t *testing.T) {
	f := newFleet()
	askedAt := f.now
	f.now = f.now.Add(step)
	f.add("a", "r1")
	assert.Equal(t, f.table.Answered(askedAt, "a", []string{"r1"}), 0)
	assert.Equal(t, f.table.Answered(f.now.Add(step), "a", []string{"r1"}), 1)
}

// A sender abandons a forward and forwards the same request again: the report must end the run of the first forward
// only, also if it comes before it.
func TestAbandonedForwards(t *testing.T) {
	cases := map[string]struct {
		before, after []string // forwards that come before the report, and after it
		later         time.Duration
		ended         map[string]jwsender.Reason
	}{
		"running":            {before: []string{"f1", "f2"}, ended: map[string]jwsender.Reason{"f1": jwsender.Unwanted}},
		"forwarded again":    {before: []string{"f1"}, after: []string{"f2"}, ended: map[string]jwsender.Reason{"f1": jwsender.Unwanted}},
		"report comes first": {after: []string{"f1", "f2"}, later: 4 * time.Second, ended: map[string]jwsender.Reason{"f1": jwsender.Unwanted}},
		"long ago":           {after: []string{"f1"}, later: 5 * time.Second, ended: map[string]jwsender.Reason{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			for _, forward := range c.before {
				f.add("a", forward)
			}
			other := f.add("b", "f1-of-b")
			assert.Equal(t, f.table.Abandon(f.now, "a", []string{"f1", "f1-of-b"}), min(len(c.before), 1))
			f.now = f.now.Add(c.later)
			for _, forward := range c.after {
				f.add("a", forward)
			}
			assert.DeepEqual(t, f.ended, c.ended)
			other()
			f.run(time.Second, wantsAll)
			assert.DeepEqual(t, f.ended, c.ended)
		})
	}
}

// Whatever happens, a stream ends only if its sender doesn't want it or has been silent for MaxSilence, and no
// stream of a sender that stays silent goes on.
func TestRandomSenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		answeredAt, silentFor := f.now, time.Duration(0)
		wanted := map[string]bool{}
		added := map[string]time.Time{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"add", "drop", "answers", "silent"}).Draw(t, "step") {
			case "add":
				r := fmt.Sprint("r", i)
				wanted[r], added[r] = true, f.now
				f.add("a", r)
			case "drop":
				for r := range wanted {
					wanted[r] = false
				}
			case "answers":
				answeredAt = f.now
				f.run(time.Second, func(q jwsender.Question) (unwanted []string, ok bool) {
					answeredAt = f.now
					for _, r := range q.Forwards {
						if !wanted[r] {
							unwanted = append(unwanted, r)
						}
					}
					return unwanted, true
				})
				silentFor = 0
			case "silent":
				before := f.now
				f.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "for"))*step, silent)
				silentFor += f.now.Sub(before)
			}
			for r, reason := range f.ended {
				if reason == jwsender.Unwanted && wanted[r] {
					t.Fatalf("%s was ended though it is wanted", r)
				}
				if reason == jwsender.Silent && f.now.Sub(answeredAt) < jwsender.MaxSilence {
					t.Fatalf("%s was ended %v after an answer", r, f.now.Sub(answeredAt))
				}
				delete(f.ended, r)
				delete(added, r)
			}
			for r, at := range added {
				if f.now.Sub(at) > 3*time.Second && silentFor > 3*time.Second {
					t.Fatalf("%s still runs after %v of silence", r, silentFor)
				}
			}
		}
	})
}

// A sender is too busy to answer questions in time, but calls this node: its streams must go on, and end once its calls
// have ended too.
func TestCallsOfASenderShowThatItLives(t *testing.T) {
	f := newFleet()
	f.add("a", "r1")
	f.run(5*time.Second, func(q jwsender.Question) ([]string, bool) {
		f.table.Alive(f.now, q.Sender)
		return nil, false
	})
	assert.Equal(t, len(f.ended), 0)
	f.run(2*time.Second, silent)
	assert.Equal(t, f.ended["r1"], jwsender.Silent)
}
