package jwgateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwledger"
	"jujubewheel/core/jwwaitroom"
)

func sentTwice(q *request) *request {
	q.retries.Reached()
	q.retries.Reached()
	return q
}

func TestShareOutcome(t *testing.T) {
	arrived := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return arrived.Add(d) }
	cases := map[string]struct {
		q     *request
		last  Verdict
		ended bool
		want  jwledger.Outcome
	}{
		"in goal":                             {&request{share: admitted{firstEvent: at(time.Second)}}, finished, false, jwledger.Useful},
		"in goal, then cut":                   {&request{share: admitted{firstEvent: at(time.Second)}}, broken, false, jwledger.Other},
		"late":                                {&request{share: admitted{firstEvent: at(2 * time.Second)}}, finished, false, jwledger.Lost},
		"late after a failure elsewhere":      {sentTwice(&request{share: admitted{firstEvent: at(2 * time.Second)}}), finished, false, jwledger.Other},
		"rejected for the queue":              {&request{lastReason: string(jwadmission.Queue)}, rejected, false, jwledger.Lost},
		"expired in the waiting room":         {&request{lastReason: string(jwwaitroom.Expired)}, rejected, false, jwledger.Lost},
		"displaced in the waiting room":       {&request{lastReason: string(jwwaitroom.Displaced)}, rejected, false, jwledger.Lost},
		"the waiting room is full":            {&request{lastReason: string(jwwaitroom.Full)}, rejected, false, jwledger.Lost},
		"the node stops":                      {&request{lastReason: string(jwwaitroom.Stopping)}, rejected, false, jwledger.Other},
		"no target has room":                  {&request{lastReason: noTarget}, rejected, false, jwledger.Lost},
		"failed by its target":                {&request{lastReason: "the target failed"}, failed, false, jwledger.Other},
		"no event until the deadline":         {&request{lastReason: "x"}, failed, true, jwledger.Lost},
		"the caller left before it was late":  {&request{arrived: at(1500 * time.Millisecond)}, failed, true, jwledger.Other},
		"rejected for the size of its answer": {&request{lastReason: "body too large"}, rejected, true, jwledger.Other},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := c.q
			q.entry = &jwentry.Entry{Goal: time.Second}
			if q.arrived.IsZero() {
				q.arrived = arrived
			}
			assert.Equal(t, shareOutcome(at(2*time.Second), q, c.last, c.ended), c.want)
		})
	}
}
