package jwnode

import (
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwsettings"
)

// counter counts requests and calls in metrics. It creates each metric handle
// once for each set of tags and keeps it.
type counter struct {
	meter    *jwmeter.Meter
	settings *jwsettings.Settings
	ended    sync.Map // endedTags to tally.Counter
	tried    sync.Map // triedTags to tally.Counter
	served   sync.Map // servedTags to *servedMetrics
}

type endedTags struct {
	entry   string
	outcome jwrequest.Outcome
	reason  jwdispatch.Reason
}

type triedTags struct {
	entry, kind string
	ok          bool
}

// RecordEnd counts one request that ended at this node, in requests_total.
func (c *counter) RecordEnd(entry string, outcome jwrequest.Outcome, reason jwdispatch.Reason) {
	tags := endedTags{entry, outcome, reason}
	h, found := c.ended.Load(tags)
	if !found {
		h, _ = c.ended.LoadOrStore(tags, c.meter.Counter("requests_total", jwmeter.Tags{
			"entry": entry, "outcome": string(outcome), "reason": string(reason),
		}))
	}
	h.(tally.Counter).Inc(1)
}

// RecordTry counts one call to a target or another node, in calls_total.
func (c *counter) RecordTry(entry, kind string, ok bool) {
	tags := triedTags{entry, kind, ok}
	h, found := c.tried.Load(tags)
	if !found {
		h, _ = c.tried.LoadOrStore(tags, c.meter.Counter("calls_total", jwmeter.Tags{
			"entry": entry, "kind": kind, "ok": strconv.FormatBool(ok),
		}))
	}
	h.(tally.Counter).Inc(1)
}

type servedTags struct {
	entry, servedBy string
}

// servedMetrics holds the metrics of served requests: how long callers waited and,
// for those served in another region, the traffic over the link and its cost.
type servedMetrics struct {
	first, whole          tally.Histogram
	sentAway, bytes, cost tally.Counter // nil for requests served in this region
	price                 float64       // cost of a byte in units of 1e-9, the same number as the cost of a GB
}

// RecordServed records the duration of one served request and, if another region served
// it, the bytes sent over the link and their cost.
func (c *counter) RecordServed(entry string, s jwdispatch.Latency) {
	h := c.metricsFor(servedTags{entry, s.ServedBy})
	h.first.RecordDuration(s.First)
	h.whole.RecordDuration(s.Whole)
	if h.sentAway == nil {
		return
	}
	h.sentAway.Inc(1)
	h.bytes.Inc(s.Bytes)
	h.cost.Inc(int64(float64(s.Bytes) * h.price))
}

// metricsFor returns the metrics for the tags, creating them on first use.
func (c *counter) metricsFor(tags servedTags) *servedMetrics {
	if h, found := c.served.Load(tags); found {
		return h.(*servedMetrics)
	}
	entryTags := jwmeter.Tags{"entry": tags.entry}
	created := &servedMetrics{
		first: c.meter.Durations("first_byte_seconds", entryTags),
		whole: c.meter.Durations("answer_seconds", entryTags),
	}
	if tags.servedBy != "" && tags.servedBy != c.settings.Region {
		regionTags := jwmeter.Tags{"entry": tags.entry, "region": tags.servedBy}
		created.sentAway = c.meter.Counter("sent_away_total", regionTags)
		created.bytes = c.meter.Counter("sent_away_bytes_total", regionTags)
		created.cost = c.meter.Counter("sent_away_cost_nanos_total", regionTags)
		created.price = c.settings.Link(c.settings.Region, tags.servedBy).CostPerGB
	}
	h, _ := c.served.LoadOrStore(tags, created)
	return h.(*servedMetrics)
}
