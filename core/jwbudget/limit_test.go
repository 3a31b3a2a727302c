package jwbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLimitShareOf(t *testing.T) {
	cases := map[string]struct {
		rate  float64
		owner bool
		nodes int
		want  LimitShare
	}{
		"the only node":                      {2, true, 1, LimitShare{Rate: 2, Burst: 4}},
		"few nodes have equal shares":        {2, false, 4, LimitShare{Rate: 0.5, Burst: 1}},
		"the owner's share is no larger":     {2, true, 4, LimitShare{Rate: 0.5, Burst: 1}},
		"a large limit is shared by many":    {20, false, 22, LimitShare{Rate: 20.0 / 22, Burst: 1}},
		"of many nodes only the owner sends": {2, true, 9, LimitShare{Rate: 2, Burst: 4, Exclusive: true}},
		"the others don't":                   {2, false, 9, LimitShare{}},
		"a limit of zero":                    {0, true, 1, LimitShare{Rate: minLimit, Burst: 2.1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, LimitShareOf(c.rate, c.owner, c.nodes), c.want)
		})
	}
}

// A node that becomes the owner of a target, or did not call Allows for some time, must wait
// until the previous owner has certainly stopped sending.
func TestNewOwnerWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	b := LimitBucket{KnownSince: now}
	share := LimitShareOf(2, true, 9)
	assert.Assert(t, !b.Allows(now.Add(time.Minute), LimitShare{}))
	for range 2 {
		now = now.Add(time.Hour)
		assert.Assert(t, !b.Allows(now, share))
		assert.Equal(t, b.Wait(now, share), LimitSettle+500*time.Millisecond)
		for range int(LimitSettle / time.Second) {
			now = now.Add(time.Second)
			assert.Assert(t, !b.Allows(now, share))
		}
		now = now.Add(500 * time.Millisecond)
		assert.Assert(t, b.Allows(now, share))
		b.Take()
		assert.Assert(t, !b.Allows(now.Add(100*time.Millisecond), share))
	}
}
