package jwinstance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All nodes of a region must agree on whether the targets of a service report their pace.
func TestPaceOfOtherNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	table.Put(now, Instance{ID: "a", Service: "s"})
	table.Merge(now, "n2", []NodeLoad{{Target: "a", Calls: 1}}, nil)
	assert.Assert(t, !table.ReportsPace("s"))
	table.Merge(now, "n2", []NodeLoad{{Target: "a", Calls: 1, Pace: 150, PaceAge: 20}}, nil)
	assert.Assert(t, table.ReportsPace("s"))
	assert.Assert(t, !table.ReportsPace("other"))
}
