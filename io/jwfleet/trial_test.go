package jwfleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwlimit"
)

// A region loses three of its four model runners during the load and gets them
// back. Requests may be rejected or wait longer, but every caller gets a
// correct outcome, nothing that must run once or in its home region runs twice
// or elsewhere, and the retries of the nodes stay within their budget.
func TestTrial(t *testing.T) {
	trial := &Trial{Deployment: Deployments["zaitoun"], Load: 0.7, Fault: Loss, Duration: 1500 * time.Millisecond, Seed: 1}
	result, err := trial.Run(t.Context())
	assert.NilError(t, err)

	entries := 0
	for _, l := range result.Report.Lines {
		assert.Equal(t, l.Sent, l.Served+l.NotRun+l.Unknown, "%s", l.Entry)
		assert.Equal(t, l.Wrong, int64(0), "%s", l.Entry)
		if l.Entry != "" {
			entries++
		}
	}
	assert.Equal(t, entries, len(trial.Deployment.Mix.Kinds))

	audit := result.Report.Audit
	assert.Assert(t, audit.Runs > 0)
	assert.Equal(t, audit.RanTwice, 0)
	assert.Equal(t, audit.FalseNotRun, 0)
	assert.Equal(t, audit.FalseServed, 0)
	assert.Equal(t, audit.OutsideRegion, 0)

	saved := float64(jwlimit.DefaultMaxSavedRetries * result.Nodes * entries)
	assert.Assert(t, result.Retries <= jwlimit.DefaultRetryShare*result.Tries+saved)
}
