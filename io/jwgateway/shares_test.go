package jwgateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwledger"
	"jujubewheel/core/jwmember"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwlogtrace"
	"jujubewheel/io/jwsettings"
)

func sharesGateway(region string, mode jwsettings.OverloadMode) *Gateway {
	g := &Gateway{
		Settings: &jwsettings.Settings{Node: "n1", Region: region, Gateway: &jwsettings.Gateway{Overload: mode}},
		metrics:  newMetrics(nil),
	}
	g.members.Self = jwmember.Member{Name: "n1", Region: region}
	return g
}

// promptRequest returns a request of a workspace with a prompt.
func promptRequest(workspace, id string, priority int) *request {
	q := &request{
		entry: &jwentry.Entry{Name: "e", Goal: 500 * time.Millisecond}, service: "s", workspace: workspace, priority: priority,
		arrived: time.Now(), deadline: time.Now().Add(5 * time.Second),
	}
	q.ID = id
	q.Prompt = jwinstance.Prompt{Tokens: 4000, Output: 100}
	return q
}

// overload offers a hundred requests a second for two seconds, of which forty pass. Most of them are of
// one workspace.
func overload(g *Gateway, now time.Time) {
	room := 0.0
	for i := range 200 {
		room += 0.4
		q := promptRequest("greedy", fmt.Sprint("g", i), 0)
		if i%10 == 0 {
			q.workspace = "modest"
		}
		at := now.Add(time.Duration(10*i) * time.Millisecond)
		if g.admitByShare(at, q) {
			outcome := jwledger.Lost
			if room >= 1 {
				outcome = jwledger.Useful
				room--
			}
			g.shares.ledger.End(at, q.share.flight, outcome)
		}
	}
}

// Without overload control nothing is counted, reported or rejected.
func TestSharesOff(t *testing.T) {
	for _, mode := range []jwsettings.OverloadMode{jwsettings.OverloadOff, jwsettings.OverloadAuto} {
		g := sharesGateway("north", mode)
		now := time.Now()
		for i := range 500 {
			q := promptRequest("w", fmt.Sprint(i), 0)
			assert.Assert(t, g.admitByShare(now, q))
			assert.Assert(t, q.share.flight == nil)
			g.endShare(t.Context(), q, rejected)
		}
		for _, s := range []state{g.state(now, "north"), g.state(now, "south"), g.relayState(now, "n2", relayReport{}), g.relayState(now, "n2", relayReport{FromRelay: true})} {
			text, err := json.Marshal(s)
			assert.NilError(t, err)
			assert.Assert(t, !strings.Contains(string(text), "ledger"), "%s", text)
		}
		q := promptRequest("w", "r", 0)
		d := q.newDecision(stepAnswer)
		assert.Assert(t, d.Share == nil)
	}
}

// Requests without a prompt, those that another node forwarded and retries are not limited.
func TestSharesDontApply(t *testing.T) {
	g := sharesGateway("north", jwsettings.OverloadOn)
	now := time.Now()
	overload(g, now)
	now = now.Add(2 * time.Second)
	cases := map[string]func(*request){
		"no prompt":     func(q *request) { q.Prompt = jwinstance.Prompt{} },
		"forwarded":     func(q *request) { q.forwarded = true },
		"a second send": func(q *request) { q.share.counted = true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			for i := range 50 {
				q := promptRequest("greedy", fmt.Sprint(i), 0)
				change(q)
				assert.Assert(t, g.admitByShare(now, q))
			}
		})
	}
}

// Under overload the greedy workspace is limited and the modest one is not, and the log says why.
func TestSharesLimitGreedyWorkspace(t *testing.T) {
	g := sharesGateway("north", jwsettings.OverloadOn)
	now := time.Now()
	overload(g, now)
	now = now.Add(2 * time.Second)
	var last *request
	rejected := map[string]int{}
	for i := range 100 {
		for _, w := range []string{"greedy", "modest"} {
			q := promptRequest(w, fmt.Sprint(w, i), 0)
			if !g.admitByShare(now, q) {
				rejected[w]++
				last = q
			}
		}
	}
	assert.Equal(t, rejected["modest"], 0)
	assert.Assert(t, rejected["greedy"] > 30, "%d", rejected["greedy"])

	g.rejectForShare(last)
	d := last.newDecision(stepAnswer)
	d.Outcome, d.Reason, d.Status = "notRun", last.lastReason, 503
	var log, trace strings.Builder
	jwlog.NewDecisions(&log, &log, "n1").Write(&d)
	lines := jwlogtrace.Trace{Request: last.ID}
	assert.NilError(t, lines.Read(strings.NewReader(log.String())))
	lines.Write(&trace)
	assert.Assert(t, strings.Contains(trace.String(), "rejected: workspace greedy was at "), trace.String())
	assert.Assert(t, strings.Contains(trace.String(), "times its share of region north"), trace.String())
}

// The demand of a node reaches the other nodes of its region through the relay, and stays
// within the region, as nothing reads that of other regions.
func TestLedgerExchange(t *testing.T) {
	now := time.Now()
	node, relay, other := sharesGateway("north", jwsettings.OverloadOn), sharesGateway("north", jwsettings.OverloadOn), sharesGateway("north", jwsettings.OverloadOn)
	node.shares.ledger.Offer(now, "s", jwledger.Key{Workspace: "w", Level: 0}, 3)
	pass := func(from *Gateway, name string, to *Gateway, s state) {
		text, err := json.Marshal(s)
		assert.NilError(t, err)
		var got state
		assert.NilError(t, json.Unmarshal(text, &got))
		got.Member = jwmember.Member{Name: name, Region: from.Settings.Region}
		to.mergeLedger(now, got)
	}
	pass(node, "node", relay, node.relayState(now, "relay", relayReport{}))
	pass(relay, "relay", other, relay.relayState(now, "other", relayReport{FromRelay: true, Liveness: &jwmember.Liveness{}}))
	assert.Equal(t, other.shares.ledger.Region(now, "s").Named[jwledger.Key{Workspace: "w"}].Offered, 3.0)
	assert.Assert(t, relay.state(now, "south").Ledger == nil)
	// Less than calmLedgerInterval later the node reports no ledger, and gets none.
	s := node.relayState(now.Add(calmLedgerInterval/2), "relay", relayReport{})
	assert.Assert(t, s.Ledger == nil)
	assert.Assert(t, relay.replyState(now, s).Ledger == nil)
}
