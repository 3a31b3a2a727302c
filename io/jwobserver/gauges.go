package jwobserver

import (
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwmeter"
)

// series identifies one gauge or counter: its name and the values of up to two
// labels.
type series struct{ name, label1, label2 string }

// gauges holds the handles created so far. A gauge without a current value is set
// to 0: otherwise the last node that left a state would be shown in it forever.
type gauges map[series]tally.Gauge

// totals holds the last values read of counts that only increase.
type totals map[series]uint64

// measure updates the metrics from the board and the other sources.
func (o *Observer) measure(now time.Time, peers []jwpeer.Peer, targets map[netip.AddrPort]jwtarget.State) {
	values := make(map[series]float64)
	for _, p := range peers {
		values[series{"peers", p.Region, string(p.State)}]++
	}
	for _, state := range targets {
		values[series{"targets", string(state), ""}]++
	}
	values[series{name: "catalogue_revision"}] = float64(o.Board.Catalogue.Revision())
	if d := o.Board.Directory.Current(); d != nil {
		values[series{name: "directory_workspaces"}] = float64(len(d.Workspaces))
	}
	if _, takenAt := o.Board.Hosts.Hosts(); !takenAt.IsZero() {
		values[series{name: "host_list_age_seconds"}] = now.Sub(takenAt).Seconds()
	}
	o.measureSources(values)
	o.set(values)
}

// measureSources updates the metrics from the counts of other components.
func (o *Observer) measureSources(values map[series]float64) {
	budget := o.Board.Budget.Counts()
	o.addIncrease("tries_total", "first", budget.Tries)
	o.addIncrease("tries_total", "retry", budget.Retries)
	o.addIncrease("tries_total", "overBudget", budget.Rejected)
	if o.Drain != nil {
		c := o.Drain.Counts()
		values[series{name: "requests_in_flight"}] = float64(c.InFlight)
		o.addIncrease("drain_total", "turned", uint64(c.Rejected))
		o.addIncrease("drain_total", "cut", uint64(c.Cut))
		o.addIncrease("drain_total", "lost", uint64(c.Unknown))
		o.addIncrease("drain_total", "successorFailed", uint64(c.FailedHandovers))
	}
	if o.Claims != nil {
		c := o.Claims.Counts()
		values[series{name: "kept_answer_bytes"}] = float64(c.AnswerBytes)
		o.addIncrease("claims_total", "claimed", c.Claims)
		o.addIncrease("claims_total", "ticketRun", c.Tickets)
		o.addIncrease("claims_total", "released", c.Releases)
		o.addIncrease("claims_total", "unknown", c.Unknowns)
		o.addIncrease("claims_total", "unread", c.UnreadableClaims)
		o.addIncrease("claims_total", "evicted", c.Evicted)
		o.addIncrease("claims_total", "lostSwap", c.LostSwaps)
		o.addIncrease("claims_total", "storeFailure", c.StoreFailures)
	}
	if o.Store != nil {
		c := o.Store.Calls()
		o.addIncrease("store_calls_total", "read", c.Reads)
		o.addIncrease("store_calls_total", "write", c.Writes)
		o.addIncrease("store_calls_total", "wait", c.Waits)
		o.addIncrease("store_calls_total", "failed", c.Failures)
	}
	if o.Follower != nil {
		c := o.Follower.Counts()
		o.addIncrease("catalogue_follow_total", "fromStore", c.FromStore)
		o.addIncrease("catalogue_follow_total", "fromPeers", c.FromPeers)
		o.addIncrease("catalogue_follow_total", "storeError", c.StoreErrors)
		o.addIncrease("catalogue_follow_total", "peerError", c.PeerErrors)
	}
}

func (o *Observer) set(values map[series]float64) {
	if o.gauges == nil {
		o.gauges = make(gauges)
	}
	for s := range values {
		if o.gauges[s] == nil {
			o.gauges[s] = o.Meter.Gauge(s.name, tagsOf(s))
		}
	}
	for s, g := range o.gauges {
		g.Update(values[s])
	}
}

// addIncrease adds the increase of a count since it was last read to its counter.
func (o *Observer) addIncrease(name, kind string, total uint64) {
	if o.totals == nil {
		o.totals = make(totals)
	}
	s := series{name: name, label1: kind}
	before, known := o.totals[s]
	if known && total == before {
		return
	}
	o.totals[s] = total
	o.Meter.Counter(name, jwmeter.Tags{"kind": kind}).Inc(int64(total - before))
}

func tagsOf(s series) jwmeter.Tags {
	switch s.name {
	case "peers":
		return jwmeter.Tags{"region": s.label1, "state": s.label2}
	case "targets":
		return jwmeter.Tags{"state": s.label1}
	}
	return nil
}
