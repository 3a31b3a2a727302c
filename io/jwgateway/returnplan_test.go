package jwgateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwledger"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/io/jwsettings"
)

// shareRequest returns a request that the shares decide on, with a goal and a timeout.
func shareRequest(id string, goal, timeout time.Duration) *request {
	q := promptRequest("greedy", id, 0)
	entry := *q.entry
	entry.Goal, entry.Timeout = goal, timeout
	q.entry, q.deadline = &entry, q.arrived.Add(timeout)
	q.fingerprint = jwsuspect.FingerprintOf("e", []byte(id))
	return q
}

// A caller that was rejected and returns when told to is admitted at a node that never heard of it, while
// newcomers are still rejected.
func TestReturnerIsAdmittedElsewhere(t *testing.T) {
	now := time.Now()
	first, other := sharesGateway("north", jwsettings.OverloadOn), sharesGateway("north", jwsettings.OverloadOn)
	overload(first, now)
	overload(other, now)
	now = now.Add(2 * time.Second)
	planned, rejected := 0, 0
	for i := range 200 {
		q := shareRequest(fmt.Sprint("r", i), 2*time.Second, 5*time.Second)
		q.arrived, q.deadline = now, now.Add(5*time.Second)
		if first.admitByShare(now, q) {
			continue
		}
		rejected++
		first.rejectForShare(q)
		wait := q.returnAfter(now)
		if wait == 0 {
			continue
		}
		planned++
		assert.Assert(t, wait <= 5*time.Second/3)
		again := shareRequest(fmt.Sprint("r", i), 2*time.Second, 5*time.Second)
		again.share.counted = true
		assert.Assert(t, again.admittedBy(now.Add(wait+100*time.Millisecond), q.share.fraction))
		assert.Assert(t, !again.admittedBy(now.Add(wait/2), q.share.fraction) || wait < 60*time.Millisecond)
	}
	assert.Assert(t, planned > 50 && rejected >= planned, "%d of %d", planned, rejected)
	assert.Assert(t, first.shares.ledger.Region(now, "s").Named[jwledger.Key{Workspace: "greedy"}] != nil)
}

// Where the shares don't apply, Retry-After is what the rejection says; requests that would be late when
// they return have no slots.
func TestReturnAfter(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		counted    bool
		goal       time.Duration
		retryAfter time.Duration
		timeLeft   time.Duration
		want       time.Duration
	}{
		"no overload control":        {false, 2 * time.Second, 700 * time.Millisecond, time.Second, 700 * time.Millisecond},
		"no wait is known":           {false, 2 * time.Second, 0, time.Second, jwadmission.MinRetryAfter},
		"late when it returns":       {true, 500 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second, 700 * time.Millisecond},
		"for its queue":              {true, 2 * time.Second, 700 * time.Millisecond, 5 * time.Second, 700 * time.Millisecond},
		"callers don't wait so long": {true, 2 * time.Second, 700 * time.Millisecond, 2 * time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := shareRequest("r", c.goal, 5*time.Second)
			q.share.counted, q.share.fraction = c.counted, 1
			q.retryAfter, q.deadline = c.retryAfter, now.Add(c.timeLeft)
			assert.Equal(t, q.returnAfter(now), c.want)
		})
	}
}

// A caller over its quota is told when to return only if it can wait for that long, and as before without
// overload control.
func TestQuotaReturn(t *testing.T) {
	q := shareRequest("r", time.Second, 3*time.Second)
	on, off := sharesGateway("north", jwsettings.OverloadOn), sharesGateway("north", jwsettings.OverloadOff)
	assert.Equal(t, on.quotaReturn(q, 900*time.Millisecond), 900*time.Millisecond)
	assert.Equal(t, on.quotaReturn(q, 1100*time.Millisecond), time.Duration(0))
	assert.Equal(t, off.quotaReturn(q, 1100*time.Millisecond), 1100*time.Millisecond)
}
