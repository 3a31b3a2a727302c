package jwmeter

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestMeter(t *testing.T) {
	m := &Meter{Interval: time.Hour}
	m.Counter("requests_total", Tags{"outcome": "served"}).Inc(2)
	m.Counter("requests_total", Tags{"outcome": "notRun"}).Inc(1)
	m.Counter("edits_total", Tags{"entry": "order-status"}).Inc(1)
	m.Gauge("peers", nil).Update(8)
	m.Durations("first_byte_seconds", Tags{"entry": "menu"}).RecordDuration(28 * time.Millisecond)
	m.Values("group_size", nil, []float64{1, 2, 4}).RecordValue(3)
	assert.NilError(t, m.Close()) // reports at once

	assert.Equal(t, m.Total("requests_total", nil), 3.0)
	assert.Equal(t, m.Total("requests_total", Tags{"outcome": "served"}), 2.0)
	assert.Equal(t, m.Total("peers", nil), 8.0)
	assert.Equal(t, m.Total("absent", nil), 0.0)

	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	for _, line := range []string{
		`jujubewheel_requests_total{outcome="served"} 2`,
		`jujubewheel_first_byte_seconds_bucket{entry="menu",le="0.025"} 0`,
		`jujubewheel_first_byte_seconds_bucket{entry="menu",le="0.03"} 1`,
		`jujubewheel_group_size_bucket{le="4"} 1`,
		`jujubewheel_edits_total{entry="order-status"} 1`,
		`go_goroutines`,
	} {
		assert.Check(t, cmp.Contains(text, line))
	}
}

func TestSameNameOtherTags(t *testing.T) {
	// Two places use one name with different tags. The process must go on
	// serving; only the second series is lost.
	m := &Meter{}
	m.Counter("calls_total", Tags{"entry": "menu"}).Inc(1)
	m.Counter("calls_total", Tags{"owner": "zaitoun"}).Inc(1)
	assert.NilError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `calls_total{entry="menu"} 1`))
}

func TestNilMeter(t *testing.T) {
	var m *Meter
	m.Counter("a", nil).Inc(1)
	m.Gauge("b", Tags{"c": "d"}).Update(1)
	m.Durations("e", nil).RecordDuration(time.Second)
	assert.Equal(t, m.Total("a", nil), 0.0)
	assert.NilError(t, m.Close())
}

func BenchmarkCounter(b *testing.B) {
	c := (&Meter{}).Counter("requests_total", Tags{"outcome": "served"})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Inc(1)
		}
	})
}
