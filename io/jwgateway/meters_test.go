package jwgateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwmeter"
)

// Thirty-eight thousand workspaces must not make as many series.
func TestSeriesOfWorkspaces(t *testing.T) {
	m := newMeters(&jwmeter.Meter{})
	for i := range 1000 {
		m.charged(fmt.Sprint("w", i), "taken", 1)
		m.charged(fmt.Sprint("w", i), "refused", 1)
	}
	assert.Assert(t, len(m.units) <= maxWorkspaces+2, "%d series", len(m.units))
}
