package jwnode

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwsettings"
)

func TestCounterSeen(t *testing.T) {
	m := &jwmeter.Meter{Interval: time.Hour}
	c := &counter{meter: m, settings: &jwsettings.Settings{
		Region: "north", Links: []jwsettings.Link{{From: "north", To: "south", CostPerGB: 0.5}},
	}}
	for _, region := range []string{"north", "", "south", "south"} {
		c.RecordServed("menu", jwdispatch.Latency{First: time.Millisecond, Whole: time.Second, ServedBy: region, Bytes: 1000})
	}
	assert.NilError(t, m.Close())
	assert.Equal(t, m.Total("sent_away_total", nil), 2.0)
	assert.Equal(t, m.Total("sent_away_bytes_total", jwmeter.Tags{"region": "south"}), 2000.0)
	assert.Equal(t, m.Total("sent_away_cost_nanos_total", jwmeter.Tags{"entry": "menu"}), 1000.0)
}
