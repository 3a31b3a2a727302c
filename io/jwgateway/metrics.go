package jwgateway

import (
	"strconv"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwevent"
	"jujubewheel/core/jwmemory"
	"jujubewheel/core/jwresolver"
	"jujubewheel/core/jwsender"
	"jujubewheel/io/jwmeter"
)

// Values of the label place: where a request was served.
const (
	placeHere = "here"
	placeAway = "away"
	placeNone = "none" // answered by the gateway itself
)

// metrics holds the counters, gauges and histograms of a node. Entries come and go with
// configurations, so series are labelled by kind and not by entry, to limit their number.
type metrics struct {
	meter *jwmeter.Meter

	mu            sync.Mutex
	sendCounts    map[[3]string]tally.Counter   // by step, kind and verdict
	requestCounts map[[2]string]tally.Counter   // by kind and outcome
	answerTimes   map[[3]string]tally.Histogram // by kind, outcome and place
	retriesLeft   map[string]tally.Gauge        // by service
	unitCounts    map[[2]string]tally.Counter   // by workspace and outcome

	shareRejections map[[3]string]tally.Counter // by service, level of urgency and workspace

	firstEventTimes   map[string]tally.Histogram // by place
	eventPauses       tally.Histogram
	directoryAnswers  map[jwresolver.Kind]tally.Counter
	firstSends        map[bool]tally.Counter // by whether the request came from another node
	retries           tally.Counter
	retriesRejected   tally.Counter
	connectionsOpened tally.Counter
	probes            tally.Counter
	version           tally.Gauge
	nodes             tally.Gauge
	inFlight          tally.Gauge
	logLinesLost      tally.Gauge
	storeReadAge      tally.Gauge
	limitedTargets    tally.Gauge
	storeRestores     tally.Counter
	crashChecks       map[bool]tally.Counter // by whether the target had crashed
	malformedLoads    tally.Counter
	room              roomMetrics
	estimateErrors    estimateErrors
	heldBytes         map[jwmemory.Kind]tally.Gauge
	slowStreams       tally.Gauge
	slowStreamsTotal  tally.Counter
	cutOffs           map[cutOff]tally.Counter
	memoryRejections  tally.Counter
	incomingBytes     tally.Gauge
	answersGivenUp    tally.Counter
	callersGivenUp    map[jwmemory.Phase]tally.Counter // connections of callers that were closed to free memory or descriptors
	callerRejections  tally.Counter                    // requests that were rejected as the connections of callers hold too much
	callerBytes       tally.Gauge
	callerConns       tally.Gauge
	wrongAnswers      tally.Counter                  // answers of targets to other requests than the one in progress
	takenUp           map[originSource]tally.Counter // streams that callers took up again, by how their version was learned
	versionsReads     map[bool]tally.Counter         // reads of the stored versions for such streams, by whether the store answered
	origins           tally.Gauge
	originsReported   tally.Counter
	barredParts       tally.Gauge
	unknownEntries    tally.Counter
	abandoned         map[jwsender.Reason]tally.Counter // streams that were ended for their sender, by reason
	abandonedForwards map[bool]tally.Counter            // forwards that this node abandoned, by whether it could report it
	viewFailures      tally.Counter
	partRejections    tally.Counter
	stopRejections    map[stopRejection]tally.Counter
	endedByStop       tally.Histogram                     // how long requests had run that the end of the grace period ended
	garbledStreams    map[jwevent.FaultKind]tally.Counter // streams that were left since what came was no event of theirs
}

// stopRejection is the step at which a request was rejected because the node is stopping.
type stopRejection string

const (
	stopAtArrival stopRejection = "arrival"
	stopAtBody    stopRejection = "body"
	stopAtSend    stopRejection = "send"
)

func newMetrics(m *jwmeter.Meter) *metrics {
	ms := &metrics{
		meter:      m,
		sendCounts: make(map[[3]string]tally.Counter), requestCounts: make(map[[2]string]tally.Counter),
		answerTimes: make(map[[3]string]tally.Histogram), retriesLeft: make(map[string]tally.Gauge),
		unitCounts: make(map[[2]string]tally.Counter),
		firstEventTimes: map[string]tally.Histogram{
			placeHere: m.Durations("first_event_seconds", jwmeter.Tags{"place": placeHere}),
			placeAway: m.Durations("first_event_seconds", jwmeter.Tags{"place": placeAway}),
		},
		eventPauses:       m.Durations("event_pause_seconds", nil),
		directoryAnswers:  make(map[jwresolver.Kind]tally.Counter),
		retries:           m.Counter("repeats_total", nil),
		retriesRejected:   m.Counter("repeats_refused_total", nil),
		connectionsOpened: m.Counter("target_connections_total", nil),
		probes:            m.Counter("target_probes_total", nil),
		version:           m.Gauge("configuration_version", nil),
		nodes:             m.Gauge("live_nodes", nil),
		inFlight:          m.Gauge("requests_in_flight", nil),
		logLinesLost:      m.Gauge("log_lines_lost", nil),
		storeReadAge:      m.Gauge("store_view_age_seconds", nil),
		limitedTargets:    m.Gauge("limited_targets", nil),
		storeRestores:     m.Counter("store_returns_total", nil),
		malformedLoads:    m.Counter("malformed_target_loads_total", nil),
		room:              roomMetrics{meter: m},
		origins:           m.Gauge("stream_origins", nil),
		originsReported:   m.Counter("stream_origins_reported_total", nil),
		barredParts:       m.Gauge("barred_parts", nil),
		partRejections:    m.Counter("barred_part_rejections_total", nil),
		unknownEntries:    m.Counter("unknown_entries_total", nil),
		abandoned: map[jwsender.Reason]tally.Counter{
			jwsender.Unwanted: m.Counter("abandoned_streams_total", jwmeter.Tags{"reason": string(jwsender.Unwanted)}),
			jwsender.Silent:   m.Counter("abandoned_streams_total", jwmeter.Tags{"reason": string(jwsender.Silent)}),
		},
		incomingBytes:  m.Gauge("incoming_answer_bytes", nil),
		answersGivenUp: m.Counter("answers_given_up_total", nil),
		callersGivenUp: map[jwmemory.Phase]tally.Counter{
			jwmemory.Idle:      m.Counter("callers_given_up_total", jwmeter.Tags{"phase": string(jwmemory.Idle)}),
			jwmemory.Receiving: m.Counter("callers_given_up_total", jwmeter.Tags{"phase": string(jwmemory.Receiving)}),
			jwmemory.Writing:   m.Counter("callers_given_up_total", jwmeter.Tags{"phase": string(jwmemory.Writing)}),
		},
		callerRejections: m.Counter("caller_rejections_total", nil),
		callerBytes:      m.Gauge("caller_bytes", nil),
		callerConns:      m.Gauge("caller_connections", nil),
		wrongAnswers:     m.Counter("wrong_answers_total", nil),
		viewFailures:     m.Counter("failed_views_total", nil),
		takenUp:          make(map[originSource]tally.Counter),
		garbledStreams:   make(map[jwevent.FaultKind]tally.Counter),
		abandonedForwards: map[bool]tally.Counter{
			true:  m.Counter("abandoned_forwards_total", jwmeter.Tags{"reported": "true"}),
			false: m.Counter("abandoned_forwards_total", jwmeter.Tags{"reported": "false"}),
		},
	}
	for _, k := range jwevent.FaultKinds() {
		ms.garbledStreams[k] = m.Counter("garbled_streams_total", jwmeter.Tags{"fault": string(k)})
	}
	for _, s := range originSources {
		ms.takenUp[s] = m.Counter("streams_taken_up_total", jwmeter.Tags{"origin": string(s)})
	}
	ms.crashChecks, ms.firstSends = make(map[bool]tally.Counter), make(map[bool]tally.Counter)
	ms.versionsReads = make(map[bool]tally.Counter)
	for _, answered := range []bool{false, true} {
		ms.versionsReads[answered] = m.Counter("versions_reads_total", jwmeter.Tags{"answered": strconv.FormatBool(answered)})
	}
	for _, forwarded := range []bool{false, true} {
		ms.firstSends[forwarded] = m.Counter("first_sends_total", jwmeter.Tags{"forwarded": strconv.FormatBool(forwarded)})
	}
	for _, crashed := range []bool{false, true} {
		ms.crashChecks[crashed] = m.Counter("crash_checks_total", jwmeter.Tags{"crashed": strconv.FormatBool(crashed)})
	}
	ms.stopRejections, ms.endedByStop = make(map[stopRejection]tally.Counter), m.Durations("ended_by_stop_seconds", nil)
	for _, step := range []stopRejection{stopAtArrival, stopAtBody, stopAtSend} {
		ms.stopRejections[step] = m.Counter("stop_rejections_total", jwmeter.Tags{"step": string(step)})
	}
	for _, k := range []jwresolver.Kind{jwresolver.Own, jwresolver.Stopping, jwresolver.StandIns, jwresolver.NoNodes} {
		ms.directoryAnswers[k] = m.Counter("directory_answers_total", jwmeter.Tags{"names": string(k)})
	}
	return ms
}

// registerMemory registers the metrics of the memory held for callers, which overload control limits.
func (m *metrics) registerMemory() {
	m.heldBytes, m.cutOffs = make(map[jwmemory.Kind]tally.Gauge), make(map[cutOff]tally.Counter)
	m.slowStreams, m.slowStreamsTotal = m.meter.Gauge("slow_streams", nil), m.meter.Counter("slow_streams_total", nil)
	m.memoryRejections = m.meter.Counter("memory_rejections_total", nil)
	for _, k := range jwmemory.Kinds() {
		m.heldBytes[k] = m.meter.Gauge("held_bytes", jwmeter.Tags{"kind": string(k)})
	}
	for _, c := range []cutOff{cutOffStalled, cutOffShed} {
		m.cutOffs[c] = m.meter.Counter("slow_streams_cut_off_total", jwmeter.Tags{"reason": string(c)})
	}
}

// countSend counts a send to a target or a node by its verdict.
func (m *metrics) countSend(step, kind string, v Verdict) {
	key := [3]string{step, kind, string(v)}
	m.mu.Lock()
	c := m.sendCounts[key]
	if c == nil {
		c = m.meter.Counter("sends_total", jwmeter.Tags{"step": step, "kind": kind, "verdict": string(v)})
		m.sendCounts[key] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

// countFirstSend counts a request that the retry budget counts. forwarded is whether it came from
// another node.
func (m *metrics) countFirstSend(forwarded bool) { m.firstSends[forwarded].Inc(1) }

// countCrashCheck counts a check of whether a target has crashed.
func (m *metrics) countCrashCheck(crashed bool) { m.crashChecks[crashed].Inc(1) }

// countTakenUp counts a stream that its caller takes up again.
func (m *metrics) countTakenUp(s originSource) { m.takenUp[s].Inc(1) }

// countVersionsRead counts a read of the stored versions for streams that are taken up again.
func (m *metrics) countVersionsRead(answered bool) { m.versionsReads[answered].Inc(1) }

// countDirectoryAnswer counts an answer of the directory.
func (m *metrics) countDirectoryAnswer(k jwresolver.Kind) { m.directoryAnswers[k].Inc(1) }

// countRequest counts a request that ended, by outcome, and records how long it took, also by where
// it was served.
func (m *metrics) countRequest(kind, outcome, place string, took time.Duration) {
	tags := jwmeter.Tags{"kind": kind, "outcome": outcome}
	m.mu.Lock()
	c := m.requestCounts[[2]string{kind, outcome}]
	if c == nil {
		c = m.meter.Counter("requests_total", tags)
		m.requestCounts[[2]string{kind, outcome}] = c
	}
	h := m.answerTimes[[3]string{kind, outcome, place}]
	if h == nil {
		h = m.meter.Durations("answer_seconds", jwmeter.Tags{"kind": kind, "outcome": outcome, "place": place})
		m.answerTimes[[3]string{kind, outcome, place}] = h
	}
	m.mu.Unlock()
	c.Inc(1)
	h.RecordDuration(took)
}

// setRetriesLeft sets the number of retries left by service.
func (m *metrics) setRetriesLeft(left map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, n := range left {
		g := m.retriesLeft[service]
		if g == nil {
			g = m.meter.Gauge("repeats_left", jwmeter.Tags{"service": service})
			m.retriesLeft[service] = g
		}
		g.Update(n)
	}
}

// maxWorkspaces limits the number of workspaces with series of their own. The first ones that call
// a node get them; all others share the series of otherWorkspaces.
const (
	maxWorkspaces   = 50
	otherWorkspaces = "other"
)

// countUnits counts the quota units that a workspace asked for, by outcome.
func (m *metrics) countUnits(workspace, outcome string, units float64) {
	m.mu.Lock()
	key := [2]string{workspace, outcome}
	c := m.unitCounts[key]
	if c == nil {
		if len(m.unitCounts) >= maxWorkspaces {
			key[0] = otherWorkspaces
		}
		if c = m.unitCounts[key]; c == nil {
			c = m.meter.Counter("quota_units_total", jwmeter.Tags{"workspace": key[0], "outcome": outcome})
			m.unitCounts[key] = c
		}
	}
	m.mu.Unlock()
	c.Inc(int64(units))
}

// recordFirstEvent records the wait for the first event of an answer.
func (m *metrics) recordFirstEvent(place string, d time.Duration) {
	m.firstEventTimes[place].RecordDuration(d)
}

// updateMemory updates the gauges of the memory held for requests.
func (m *metrics) updateMemory(a *jwmemory.Account, slow int) {
	if m.slowStreams == nil {
		return
	}
	for k, g := range m.heldBytes {
		g.Update(float64(a.Held(k)))
	}
	m.slowStreams.Update(float64(slow))
}
