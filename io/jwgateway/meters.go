package jwgateway

import (
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwresolver"
	"jujubewheel/io/jwmeter"
)

// The places that a request was served in, as labels.
const (
	placeHere = "here"
	placeAway = "away"
	placeNone = "none" // the gateway's own answer
)

// meters are the counters and histograms of a node. Names of entries come and
// go with configurations, so series are by kind and not by entry.
type meters struct {
	meter *jwmeter.Meter

	mu    sync.Mutex
	sends map[[3]string]tally.Counter   // by step, kind and verdict
	ends  map[[2]string]tally.Counter   // by kind and outcome
	whole map[[3]string]tally.Histogram // by kind, outcome and place
	left  map[string]tally.Gauge        // by service
	units map[[2]string]tally.Counter   // by workspace and outcome

	first    map[string]tally.Histogram // by place
	pauses   tally.Histogram
	names    map[jwresolver.Kind]tally.Counter
	repeats  tally.Counter
	noBudget tally.Counter
	opened   tally.Counter
	probes   tally.Counter
	version  tally.Gauge
	nodes    tally.Gauge
	inFlight tally.Gauge
	lost     tally.Gauge
	storeAge tally.Gauge
	limited  tally.Gauge
	returns  tally.Counter
}

func newMeters(m *jwmeter.Meter) *meters {
	x := &meters{
		meter: m,
		sends: make(map[[3]string]tally.Counter), ends: make(map[[2]string]tally.Counter),
		whole: make(map[[3]string]tally.Histogram), left: make(map[string]tally.Gauge),
		units: make(map[[2]string]tally.Counter),
		first: map[string]tally.Histogram{
			placeHere: m.Durations("first_event_seconds", jwmeter.Tags{"place": placeHere}),
			placeAway: m.Durations("first_event_seconds", jwmeter.Tags{"place": placeAway}),
		},
		pauses:   m.Durations("event_pause_seconds", nil),
		names:    make(map[jwresolver.Kind]tally.Counter),
		repeats:  m.Counter("repeats_total", nil),
		noBudget: m.Counter("repeats_refused_total", nil),
		opened:   m.Counter("target_connections_total", nil),
		probes:   m.Counter("target_probes_total", nil),
		version:  m.Gauge("configuration_version", nil),
		nodes:    m.Gauge("live_nodes", nil),
		inFlight: m.Gauge("requests_in_flight", nil),
		lost:     m.Gauge("log_lines_lost", nil),
		storeAge: m.Gauge("store_view_age_seconds", nil),
		limited:  m.Gauge("limited_targets", nil),
		returns:  m.Counter("store_returns_total", nil),
	}
	for _, k := range []jwresolver.Kind{jwresolver.Own, jwresolver.Stopping, jwresolver.StandIns, jwresolver.Nobody} {
		x.names[k] = m.Counter("directory_answers_total", jwmeter.Tags{"names": string(k)})
	}
	return x
}

// sent counts a send to a target or a node.
func (m *meters) sent(step, kind string, v Verdict) {
	key := [3]string{step, kind, string(v)}
	m.mu.Lock()
	c := m.sends[key]
	if c == nil {
		c = m.meter.Counter("sends_total", jwmeter.Tags{"step": step, "kind": kind, "verdict": string(v)})
		m.sends[key] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

// named counts an answer of the directory.
func (m *meters) named(k jwresolver.Kind) { m.names[k].Inc(1) }

// ended counts how a request ended for its caller, and where it was served.
func (m *meters) ended(kind, outcome, place string, took time.Duration) {
	tags := jwmeter.Tags{"kind": kind, "outcome": outcome}
	m.mu.Lock()
	c := m.ends[[2]string{kind, outcome}]
	if c == nil {
		c = m.meter.Counter("requests_total", tags)
		m.ends[[2]string{kind, outcome}] = c
	}
	h := m.whole[[3]string{kind, outcome, place}]
	if h == nil {
		h = m.meter.Durations("answer_seconds", jwmeter.Tags{"kind": kind, "outcome": outcome, "place": place})
		m.whole[[3]string{kind, outcome, place}] = h
	}
	m.mu.Unlock()
	c.Inc(1)
	h.RecordDuration(took)
}

// budget sets how many repeats are left by service.
func (m *meters) budget(left map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, n := range left {
		g := m.left[service]
		if g == nil {
			g = m.meter.Gauge("repeats_left", jwmeter.Tags{"service": service})
			m.left[service] = g
		}
		g.Update(n)
	}
}

// maxWorkspaces bounds the workspaces that have series of their own; those that ask first
// on a node have them, the others share one.
const (
	maxWorkspaces   = 50
	otherWorkspaces = "other"
)

// charged counts the units that a workspace asked for, by what became of them.
func (m *meters) charged(workspace, outcome string, units float64) {
	m.mu.Lock()
	key := [2]string{workspace, outcome}
	c := m.units[key]
	if c == nil {
		if len(m.units) >= maxWorkspaces {
			key[0] = otherWorkspaces
		}
		if c = m.units[key]; c == nil {
			c = m.meter.Counter("quota_units_total", jwmeter.Tags{"workspace": key[0], "outcome": outcome})
			m.units[key] = c
		}
	}
	m.mu.Unlock()
	c.Inc(int64(units))
}

// begun records the wait for a first event.
func (m *meters) begun(place string, d time.Duration) { m.first[place].RecordDuration(d) }
