package jwgateway

import (
	"encoding/json"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwsettings"
)

// stateAfterPace returns the state messages of a node with a call at a target that reported a pace.
func stateAfterPace(t *testing.T, mode jwsettings.OverloadMode, pace float64) string {
	now := time.Unix(1000, 0)
	g := balanceGateway(now, mode)
	g.Targets, g.Nodes, g.Meter = &jwconn.Pool{}, &jwconn.Pool{}, &jwmeter.Meter{Interval: time.Hour}
	g.prepare()
	g.members.Self.Start = 1
	c, ok := g.targets.Best(now, jwinstance.Need{Service: "v", Prompt: jwinstance.Prompt{Tokens: 100}})
	assert.Assert(t, ok)
	g.targets.SetLoad(now, c.Target, jwinstance.LoadReport{Reported: true, Pace: pace})
	var list []string
	for _, s := range []state{g.state(now, "r"), g.state(now, "s"), g.relayState(now, "n2", relayReport{}), g.relayState(now, "n2", relayReport{FromRelay: true})} {
		text, err := json.Marshal(s)
		assert.NilError(t, err)
		list = append(list, string(text))
	}
	return strings.Join(list, "\n")
}

// Without overload control state messages have nothing of it.
func TestStateWithoutOverloadControl(t *testing.T) {
	off := stateAfterPace(t, jwsettings.OverloadOff, 2)
	assert.Equal(t, off, stateAfterPace(t, jwsettings.OverloadOff, 0))
	assert.Assert(t, strings.Contains(stateAfterPace(t, jwsettings.OverloadOn, 2), "paces"))
	var s struct{ Loads map[string]any }
	first, _, _ := strings.Cut(off, "\n")
	assert.NilError(t, json.Unmarshal([]byte(first), &s))
	var columns []string
	for c := range s.Loads {
		columns = append(columns, c)
	}
	slices.Sort(columns)
	assert.DeepEqual(t, columns, []string{"calls", "gaps", "held", "targets", "work"})
}

// Without overload control the lines of the decision log have the fields that they had before it.
func TestDecisionWithoutOverloadControl(t *testing.T) {
	fields := func(controlled bool) string {
		q := &request{service: "v", entry: &jwentry.Entry{Name: "e"}, priority: 2, workspace: "w", controlled: controlled}
		q.ID = "r"
		d := q.newDecision(stepAnswer)
		d.Outcome, d.Reason, d.Status, d.Left, d.Took = outcomeRefused, noTarget, 503, time.Second, time.Second
		var log strings.Builder
		jwlog.NewDecisions(&log, &log, "n").Write(&d)
		return strings.Join(regexp.MustCompile(`"\w+":`).FindAllString(log.String(), -1), "")
	}
	assert.Assert(t, !strings.Contains(fields(false), "priority"), "%s", fields(false))
	assert.Equal(t, strings.Replace(fields(true), `"priority":`, "", 1), fields(false))
	assert.Assert(t, strings.Contains(fields(true), "priority"))
}

// Without overload control its series are not registered.
func TestMetricsWithoutOverloadControl(t *testing.T) {
	series := func(estimate bool) string {
		m := &jwmeter.Meter{Interval: time.Hour}
		ms := newMetrics(m)
		ms.recordEstimate(jwinstance.Choice{Load: jwinstance.LoadLow, ByPriority: estimate}, time.Second)
		assert.NilError(t, m.Close())
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	var names []string
	for _, m := range regexp.MustCompile(`(?m)^# TYPE jujubewheel_(\w+)`).FindAllStringSubmatch(series(false), -1) {
		names = append(names, m[1])
	}
	assert.DeepEqual(t, names, []string{
		"abandoned_forwards_total",
		"abandoned_streams_total",
		"answers_given_up_total",
		"barred_part_rejections_total", "barred_parts",
		"caller_bytes", "caller_connections", "caller_rejections_total", "callers_given_up_total",
		"configuration_version",
		"crash_checks_total",
		"directory_answers_total",
		"ended_by_stop_seconds",
		"event_pause_seconds",
		"failed_views_total",
		"first_event_seconds",
		"first_sends_total",
		"garbled_streams_total",
		"incoming_answer_bytes",
		"limited_targets",
		"live_nodes",
		"log_lines_lost",
		"malformed_target_loads_total",
		"repeats_refused_total",
		"repeats_total",
		"requests_in_flight",
		"stop_rejections_total",
		"store_returns_total",
		"store_view_age_seconds",
		"stream_origins", "stream_origins_reported_total", "streams_taken_up_total",
		"target_connections_total",
		"target_probes_total",
		"unknown_entries_total",
		"versions_reads_total",
		"wrong_answers_total",
	})
	assert.Assert(t, strings.Contains(series(true), "jujubewheel_first_event_error_seconds"))
}
