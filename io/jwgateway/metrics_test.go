package jwgateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwmeter"
)

// A fleet may have 38,000 workspaces, which must not create as many metric series.
func TestWorkspaceSeriesAreBounded(t *testing.T) {
	m := newMetrics(&jwmeter.Meter{})
	for i := range 1000 {
		m.countUnits(fmt.Sprint("w", i), "taken", 1)
		m.countUnits(fmt.Sprint("w", i), "refused", 1)
	}
	assert.Assert(t, len(m.unitCounts) <= maxWorkspaces+2, "%d series", len(m.unitCounts))
}
