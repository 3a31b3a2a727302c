package jwgateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwbalance"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwplacement"
	"jujubewheel/io/jwsettings"
)

// gatewayWith returns a gateway that only decides.
func gatewayWith(mode jwsettings.OverloadMode) *Gateway {
	return &Gateway{Settings: &jwsettings.Settings{Gateway: &jwsettings.Gateway{Overload: mode}}}
}

// draftOf returns a request with a prompt.
func draftOf(workspace, entry int, goal time.Duration) *request {
	now := time.Now()
	q := &request{service: "s", priority: workspace, arrived: now, deadline: now.Add(time.Minute)}
	q.entry = &jwentry.Entry{Kind: jwentry.Stream, Priority: entry, Goal: goal}
	q.Prompt = jwinstance.Prompt{Tokens: 100}
	return q
}

// A large workspace sends long drafts and short questions with one priority. Targets must take its
// questions first, but never put a workspace of higher priority behind them.
func TestRank(t *testing.T) {
	on, off := gatewayWith(jwsettings.OverloadOn), gatewayWith(jwsettings.OverloadOff)
	plain, forwarded, unranked, posing := draftOf(1, 2, 0), draftOf(2, 2, 0), draftOf(1, 1, 0), draftOf(2, 0, 0)
	plain.Prompt.Tokens = 0
	forwarded.forwarded, forwarded.givenRank = true, "7"
	unranked.forwarded = true
	posing.givenRank = "0"
	cases := map[string]struct {
		gateway *Gateway
		request *request
		want    int
	}{
		"most urgent":                {on, draftOf(0, 0, 0), 0},
		"last entry of the first":    {on, draftOf(0, 9, 0), 2},
		"first entry of the second":  {on, draftOf(1, 0, 0), 3},
		"last of all":                {on, draftOf(99, 99, 0), 8},
		"negative":                   {on, draftOf(-1, -1, 0), 0},
		"forwarded with its rank":    {on, forwarded, 7},
		"forwarded without control":  {off, forwarded, 2},
		"forwarded without a rank":   {on, unranked, 4},
		"rank given by a caller":     {on, posing, 6},
		"without a prompt":           {on, plain, 1},
		"without overload control":   {off, draftOf(1, 2, 0), 1},
		"auto, no pace was reported": {gatewayWith(jwsettings.OverloadAuto), draftOf(1, 2, 0), 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.gateway.rank(c.request), c.want) })
	}
}

// Without overload control a request is admitted by its own goal alone, as before.
func TestAdmit(t *testing.T) {
	now := time.Now()
	choice := func(expected time.Duration) jwplacement.Choice {
		return jwplacement.Choice{Option: jwplacement.Option{Expected: expected, Queue: expected, Rest: time.Hour}}
	}
	off := gatewayWith(jwsettings.OverloadOff)
	for range 100 {
		off.admit(now, draftOf(0, 0, time.Second), choice(3*time.Second))
	}
	d := off.admit(now, draftOf(1, 0, time.Second), choice(1100*time.Millisecond))
	assert.Assert(t, d.Accepted(), "neither the end nor other requests count")
	assert.Equal(t, off.admit(now, draftOf(0, 0, time.Second), choice(3*time.Second)).Reason, jwadmission.Queue)

	on := gatewayWith(jwsettings.OverloadOn)
	early := choice(100 * time.Millisecond)
	assert.Equal(t, on.admit(now, draftOf(1, 0, time.Second), early).Reason, jwadmission.Deadline)
	early.Rest = time.Second
	assert.Assert(t, on.admit(now, draftOf(1, 0, time.Second), early).Accepted())
	busy := choice(1100 * time.Millisecond)
	busy.Rest = time.Second
	for range 100 {
		on.admit(now, draftOf(0, 0, time.Second), busy)
	}
	assert.Equal(t, on.admit(now, draftOf(1, 0, time.Minute), early).Reason, jwadmission.Queue)
	assert.Assert(t, on.admit(now, draftOf(0, 0, time.Second), busy).Accepted())
	slow := choice(1900 * time.Millisecond)
	slow.Rest = 0
	q := draftOf(0, 0, time.Minute)
	q.arrived = now.Add(-239 * time.Second)
	assert.Equal(t, on.admit(now, q, slow).Reason, jwadmission.Deadline, "the caller has left by then")
	for _, kind := range []jwentry.Kind{jwentry.Idempotent, jwentry.NonIdempotent} {
		q.entry.Kind = kind
		assert.Assert(t, on.admit(now, q, slow).Accepted(), "%s: only callers of streams leave", kind)
	}
}

// Nothing waits in an idle fleet, however long a target needs to begin and however far it is.
func TestIdleFleetRejectsNothing(t *testing.T) {
	now := time.Now()
	g := gatewayWith(jwsettings.OverloadOn)
	idle := jwplacement.Choice{Option: jwplacement.Option{Expected: 60 * time.Millisecond, OwnReadTime: 20 * time.Millisecond}}
	for i := range 100 {
		d := g.admit(now, draftOf(i%2, 0, 100*time.Millisecond), idle)
		assert.Assert(t, d.Accepted(), "%d: %s", i, d.Reason)
	}
}

// What is sent to another region queues there by what that region reports and what was sent since.
func TestQueueOfRegions(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	n := g.targetNeed(balanceRequest())
	g.regions.merge(now, state{Member: jwmember.Member{Region: "s"}, Waits: map[string]int64{"v": 15}})
	o := g.regionOption(now, "s", n)
	assert.Equal(t, o.Queue, time.Duration(0))
	assert.Assert(t, o.Expected > defaultRoundTrip)
	g.regions.merge(now, state{Member: jwmember.Member{Region: "s"}, Waits: map[string]int64{"v": 115}})
	assert.Equal(t, g.regionOption(now, "s", n).Queue, 100*time.Millisecond)
	assert.Equal(t, g.sharedOption(now, jwbalance.Share{Region: "s", Wait: time.Second}, n).Queue, time.Second)
}

// A request that can't end in another region is not sent there either, whoever chooses the region.
func TestRestOfRegions(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	n := g.targetNeed(balanceRequest())
	n.Events = 100
	c, ok := g.targets.Peek(now, n)
	assert.Assert(t, ok)
	g.targets.RecordEvents(now, c.Target, 1, 30*time.Millisecond)
	c, _ = g.targets.Peek(now, n)
	for range 20 {
		g.targets.RecordEnd(now, c.Target, c, 0, 3*time.Second, 0)
	}
	share := jwbalance.Share{Region: "s"}
	assert.Equal(t, g.sharedOption(now, share, n).Rest, 3*time.Second)
	g.regions.merge(now, state{Member: jwmember.Member{Region: "s"}, Waits: map[string]int64{"v": 15}, Gaps: map[string]int64{"v": 10}})
	assert.Equal(t, g.regionOption(now, "s", n).Rest, time.Second)
	assert.Equal(t, g.sharedOption(now, share, n).Rest, time.Second)
}

// The node of another region chooses the target, so it needs the goal for pauses. Nodes of an older
// version accept the other header with the properties of the entry only in its known form.
func TestGapGoalIsForwarded(t *testing.T) {
	q := draftOf(0, 0, time.Second)
	q.entry.GapGoal = 300 * time.Millisecond
	h := http.Header{headerGapGoal: {"77"}}
	gatewayWith(jwsettings.OverloadOff).setGapGoal(h, q)
	assert.Equal(t, len(h), 0, "what a caller sent is removed")
	gatewayWith(jwsettings.OverloadOn).setGapGoal(h, q)
	assert.Equal(t, h.Get(headerGapGoal), "300")
	q.entry.GapGoal = 0
	gatewayWith(jwsettings.OverloadOn).setGapGoal(h, q)
	assert.Equal(t, len(h), 0)
}

// The nodes of a region may differ in whether they control overload, so that the rank has a header of
// its own beside the priority.
func TestRankIsForwarded(t *testing.T) {
	q := draftOf(1, 2, 0)
	h := http.Header{headerRank: {"0"}}
	gatewayWith(jwsettings.OverloadOff).setRank(h, q)
	assert.Equal(t, len(h), 0, "what a caller sent is removed")
	gatewayWith(jwsettings.OverloadOn).setRank(h, q)
	assert.Equal(t, h.Get(headerRank), "5")
	entry := parseKind(q.kind())
	assert.Equal(t, entry.Priority, 1, "the priority stays on its scale")
}
