package jwdrain

import (
	"context"
	"iter"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwclaim"
)

// keys implements Keys and records the steps of a stop in order.
type keys struct {
	steps   []string
	flush   error            // returned by Flush
	results map[string]error // returned by Handover, by name of the successor
}

func (k *keys) Close()         { k.steps = append(k.steps, "close") }
func (k *keys) SettleAll() int { k.steps = append(k.steps, "cut"); return 1 }

func (k *keys) Flush(context.Context) error {
	k.steps = append(k.steps, "flush")
	return k.flush
}

func (k *keys) Handover(_ context.Context, s jwclaim.Successor) error {
	k.steps = append(k.steps, "hand to "+s.Holder().Node)
	return k.results[s.Holder().Node]
}

type successor string

func (s successor) Holder() jwclaim.Holder { return jwclaim.Holder{Node: string(s)} }

func (s successor) Handover(context.Context, iter.Seq[jwclaim.Record]) (jwclaim.Receipt, error) {
	return jwclaim.Receipt{}, nil
}

// A stop that hands over its keys while a call still runs, or that lets the
// process end before the handover, makes the outcome of requests unknown or, in
// the worst case, lets one run twice. Each case checks the order of the steps.
func TestStop(t *testing.T) {
	refuse := errors.New("refused")
	for name, tc := range map[string]struct {
		timeout time.Duration
		call    time.Duration // duration of the call in flight, 0 for none
		flush   error
		results map[string]error
		steps   []string
		states  []State
		cut     int
		failed  bool
	}{
		"nothing in flight": {
			steps:  []string{"close", "flush", "hand to a"},
			states: []State{Leaving, HandedOver, Gone},
		},
		"waits for the last call": {
			call:   time.Hour,
			steps:  []string{"close", "flush", "hand to a"},
			states: []State{Leaving, HandedOver, Gone},
		},
		"timeout cuts off the call before the handover": {
			call:    time.Hour,
			timeout: time.Minute,
			steps:   []string{"close", "cut", "flush", "hand to a"},
			states:  []State{Leaving, HandedOver, Gone},
			cut:     1,
			failed:  true,
		},
		"next successor": {
			results: map[string]error{"a": refuse},
			steps:   []string{"close", "flush", "hand to a", "hand to b"},
			states:  []State{Leaving, HandedOver, Gone},
		},
		"no successor": {
			results: map[string]error{"a": refuse, "b": refuse},
			steps:   []string{"close", "flush", "hand to a", "hand to b"},
			states:  []State{Leaving, Gone},
			failed:  true,
		},
		"store down": {
			flush:  refuse,
			steps:  []string{"close", "flush", "hand to a"},
			states: []State{Leaving, HandedOver, Gone},
			failed: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &keys{flush: tc.flush, results: tc.results}
				var states []State
				d := &Drain{
					Keys:            k,
					InFlightTimeout: tc.timeout,
					Successors:      func() []jwclaim.Successor { return []jwclaim.Successor{successor("a"), successor("b")} },
					OnStateChange:   func(s State) { states = append(states, s) },
				}
				if tc.call > 0 {
					done, ok := d.Enter()
					assert.Assert(t, ok)
					time.AfterFunc(tc.call, done)
				}
				err := d.Run(t.Context())
				assert.Equal(t, err != nil, tc.failed, "%v", err)
				assert.DeepEqual(t, k.steps, tc.steps)
				assert.DeepEqual(t, states, tc.states)
				assert.Equal(t, d.Counts().Cut, tc.cut)
			})
		})
	}
}

// A call that is admitted after the stop has begun would be cut off by the end of
// the process, and its caller would see the connection close without an answer.
func TestEnterAgainstStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &keys{}
		d := &Drain{Keys: k}
		first, ok := d.Enter()
		assert.Assert(t, ok)
		go func() { _ = d.Run(t.Context()) }()
		synctest.Wait()
		assert.Equal(t, d.State(), Leaving)
		_, ok = d.Enter()
		assert.Assert(t, !ok)
		assert.DeepEqual(t, k.steps, []string{"close"})
		first()
		first()
		time.Sleep(time.Minute)
		assert.Equal(t, d.State(), Gone)
		assert.DeepEqual(t, d.Counts(), Counts{Rejected: 1})
	})
}

// The end of the stop's context, as on a second signal, must not skip the
// handover: every restart would otherwise leave tickets with an unknown outcome.
func TestEndedStopStillHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &keys{}
		d := &Drain{Keys: k, Successors: func() []jwclaim.Successor { return []jwclaim.Successor{successor("a")} }}
		_, ok := d.Enter()
		assert.Assert(t, ok)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, d.Run(ctx), context.DeadlineExceeded)
		assert.DeepEqual(t, k.steps, []string{"close", "cut", "flush", "hand to a"})
	})
}
