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

// Without overload control a node reports to others what it reported before there were paces.
func TestIgnorePace(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(table *Table, pace float64) *LoadColumns {
		table.Put(now, Instance{ID: "a", Service: "s", Slots: 4})
		c, ok := table.Best(now, Need{Service: "s"})
		assert.Assert(t, ok)
		table.SetLoad(now, c.Target, LoadReport{Reported: true, Pace: pace})
		table.Merge(now, "n2", []NodeLoad{{Target: "a", Calls: 1, Pace: int(100 * pace)}}, nil)
		loads, _ := table.Report(now)
		return NewLoadColumns(append(loads, table.ReportTo(now, "n3")...))
	}
	assert.DeepEqual(t, report(&Table{IgnorePace: true}, 2), report(&Table{}, 0))
	assert.Assert(t, len(report(&Table{}, 2).Paces) > 0)
}
