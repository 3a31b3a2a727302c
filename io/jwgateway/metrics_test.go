package jwgateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwwaitroom"
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

// A node on which no request has waited has no series of the waiting room.
func TestRoomSeriesAppearWithUse(t *testing.T) {
	meter := &jwmeter.Meter{}
	m := newMetrics(meter)
	page := func() string {
		w := httptest.NewRecorder()
		meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Body.String()
	}
	m.room.update(jwwaitroom.Load{})
	assert.Assert(t, !strings.Contains(page(), "waiting_"))
	m.room.drop(jwwaitroom.Full)
	assert.Assert(t, strings.Contains(page(), "waiting_room_dropped_total"))
}
