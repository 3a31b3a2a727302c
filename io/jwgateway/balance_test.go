package jwgateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwbalance"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwplacement"
	"jujubewheel/core/jwworkspace"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwsettings"
)

// balanceGateway returns a node of region r beside a node of region s, each region with one target of
// service v.
func balanceGateway(now time.Time, overload jwsettings.OverloadMode) *Gateway {
	g := &Gateway{
		Settings: &jwsettings.Settings{Node: "n", Region: "r", Gateway: &jwsettings.Gateway{
			Overload: overload, DataCentres: map[string]string{"r-a": "r", "s-a": "s"},
		}},
		Nodes: &jwconn.Pool{},
	}
	g.balance.Region, g.targets.Region, g.members.Self = "r", "r", jwmember.Member{Name: "n", Region: "r", Serving: true}
	g.members.Seen(now, jwmember.Member{Name: "m", Region: "s", Serving: true})
	for i, region := range []string{"r", "s"} {
		g.targets.Put(now, jwinstance.Instance{
			ID: region, Service: "v", Region: region, Slots: 8,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		})
	}
	g.entries.Put(&jwentry.Config{Version: 1, Services: map[string]*jwentry.Service{"v": {Engine: &jwentry.Engine{Capacity: 100_000, Stride: 1}}}})
	return g
}

func balanceRequest(homes ...string) *request {
	q := &request{service: "v", entry: &jwentry.Entry{Goal: time.Second}, tried: map[string]bool{}, homes: homes}
	q.Prompt = jwinstance.Prompt{Tokens: 5000, Output: 100}
	return q
}

func freeRegion() map[string]jwbalance.Load {
	return map[string]jwbalance.Load{"v": {Capacity: 10}}
}

// peak lets callers ask this node for several times of what the target of its region can do.
func peak(g *Gateway, now time.Time) {
	for i := range 100 {
		g.balance.Count(now.Add(time.Duration(i-100)*10*time.Millisecond), "v", "", 0.1)
	}
}

func chosen(g *Gateway, now time.Time, requests int) map[jwplacement.Reason]int {
	reasons := map[jwplacement.Reason]int{}
	for range requests {
		reasons[g.chooseRegion(now, balanceRequest()).Reason]++
	}
	return reasons
}

// Without overload control nothing is counted, nothing is sent to other nodes and the choice of a
// region is the policy's.
func TestBalanceOff(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOff)
	g.balance.MergeRegion(now, "s", true, freeRegion())
	assert.DeepEqual(t, chosen(g, now, 50), map[jwplacement.Reason]int{jwplacement.Local: 50})
	assert.Equal(t, len(g.balance.Demand(now, jwbalance.FromRegion)), 0)
	g.balance.Discard()
	encoded, err := json.Marshal(g.state(now, "r"))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(encoded), "balance"), "%s", encoded)
	assert.Equal(t, len(g.balancedServices()), 0)
	w := httptest.NewRecorder()
	g.serveNode(w, httptest.NewRequest(http.MethodPost, regionLoadsPath, strings.NewReader("{}")))
	assert.Equal(t, w.Code, http.StatusNotFound)
}

// A node that has just started, or is cut off, knows nothing of other regions and decides as without
// shares.
func TestBalanceWithoutReports(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	peak(g, now)
	assert.Equal(t, chosen(g, now, 50)[jwplacement.ByShare], 0)
	g.balance.MergeRegion(now.Add(-time.Minute), "s", true, freeRegion())
	assert.Equal(t, chosen(g, now.Add(time.Second), 50)[jwplacement.ByShare], 0)
}

func TestBalanceAtPeak(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	peak(g, now)
	g.balance.MergeRegion(now, "s", true, freeRegion())
	got := chosen(g, now, 100)
	assert.Assert(t, got[jwplacement.ByShare] > 50 && got[jwplacement.Local] > 1, "%v", got)
	assert.Equal(t, got[jwplacement.ByShare]+got[jwplacement.Local], 100)
}

// A request that waits in the node is placed at each of its turns; it leaves no more often than one
// that does not wait.
func TestBalanceAtEachTurn(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	peak(g, now)
	room := g.capabilityOf(now, "v")
	g.balance.MergeRegion(now, "s", true, map[string]jwbalance.Load{"v": {Capacity: room.Capacity / 8}})
	share := g.plan(now, "v").Shares[""][0].Part
	assert.Assert(t, share > 0 && share < 0.25, "%v", share)
	left := 0
	const requests, turns = 100, 10
	for range requests {
		q := balanceRequest()
		for range turns {
			if g.chooseRegion(now, q).Reason == jwplacement.ByShare {
				left++
				break
			}
		}
	}
	assert.Assert(t, float64(left) < requests*share+10, "%d leave, share %v", left, share)
}

// While all targets of a region are cold, requests still count as demand, and those that
// another region has room for leave.
func TestBalanceWithoutCapacity(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	before := g.capabilityOf(now, "v")
	assert.Assert(t, before.work(5000, 0) > 0)
	now = now.Add(time.Second)
	g.targets.MergeCold(now, map[string]int64{"r": 60_000})
	room := g.capabilityOf(now, "v")
	assert.Equal(t, room.Capacity, 0.0)
	assert.Equal(t, room.work(5000, 50), before.work(5000, 50))
	assert.Assert(t, serviceRoom{}.work(5000, 50) > 0, "never measured")
	g.balance.MergeRegion(now, "s", true, map[string]jwbalance.Load{"v": {Capacity: 100}})
	chosen(g, now, 100)
	assert.Assert(t, g.balance.Demand(now, jwbalance.FromNode)["v"][""].Work > 0)
	now = now.Add(200 * time.Millisecond)
	g.balance.MergeRegion(now, "s", true, map[string]jwbalance.Load{"v": {Capacity: 100}})
	assert.Assert(t, chosen(g, now, 200)[jwplacement.Local] < 100)
}

// An old plan with a small share does not send all requests away once nothing is measured.
func TestBalanceOldPlanWithoutCapacity(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	peak(g, now)
	room := g.capabilityOf(now, "v")
	g.balance.MergeRegion(now, "s", true, map[string]jwbalance.Load{"v": {Capacity: room.Capacity / 8}})
	g.plan(now, "v")
	g.targets.MergeCold(now.Add(60*time.Millisecond), map[string]int64{"r": 60_000})
	away := chosen(g, now.Add(60*time.Millisecond), 100)[jwplacement.ByShare]
	assert.Assert(t, away < 30, "%d of 100", away)
}

// Homes bind, whatever the shares are, and a request that another node forwarded is not forwarded
// again.
func TestBalanceKeepsHomes(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	peak(g, now)
	g.balance.MergeRegion(now, "s", true, freeRegion())
	for range 50 {
		assert.Equal(t, g.chooseRegion(now, balanceRequest("r")).Region, "r")
		assert.Equal(t, g.chooseRegion(now, balanceRequest("s")).Region, "s")
		q := balanceRequest()
		q.forwarded = true
		assert.Equal(t, g.chooseRegion(now, q).Region, "r")
	}
}

// The nodes of a region learn of other regions from the one that exchanges loads with these.
// The homes of an entry and of a workspace have no region in common: no region may serve the request,
// however much room another one has.
func TestBalanceWithoutCommonHome(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	peak(g, now)
	g.balance.MergeRegion(now, "s", true, freeRegion())
	homes := jwworkspace.Regions{"s"}.Intersect(jwworkspace.Regions{"elsewhere"})
	for range 100 {
		q := balanceRequest(homes...)
		assert.Equal(t, g.chooseRegion(now, q).Reason, jwplacement.NoTarget)
	}
}

func TestLoadsReachAllNodes(t *testing.T) {
	now := time.Now()
	sender, other, remote := balanceGateway(now, jwsettings.OverloadOn), balanceGateway(now, jwsettings.OverloadOn), balanceGateway(now, jwsettings.OverloadOn)
	remote.Settings.Node, remote.Settings.Region, remote.balance.Region, remote.targets.Region = "m", "s", "s", "s"
	remote.members.Self = jwmember.Member{Name: "m", Region: "s", Serving: true}
	sender.mergeLoads(now, remote.loads(now))
	sender.members.Self.Name = "a"
	s := sender.state(now, "r")
	encoded, err := json.Marshal(s)
	assert.NilError(t, err)
	var received state
	assert.NilError(t, json.Unmarshal(encoded, &received))
	other.mergeBalance(now, received)
	known := other.balance.Regions(now, time.Second, false)
	assert.Equal(t, len(known), 1)
	assert.Equal(t, known[0].Region, "s")
	assert.Equal(t, known[0].Loads["v"].Capacity, 1.0)
	assert.Assert(t, len(encoded) < 1000, "%d bytes", len(encoded))
}

// In a small region all nodes exchange state with each other, and what one of them has not heard itself
// from a region it does not repeat, so that loads age.
func TestLoadsAreNotRepeated(t *testing.T) {
	now := time.Now()
	sender, other := balanceGateway(now, jwsettings.OverloadOn), balanceGateway(now, jwsettings.OverloadOn)
	sender.members.Self.Name, other.members.Self.Name = "a", "b"
	for i := range 12 {
		loads := map[string]jwbalance.Load{}
		for j := range 3 {
			demand := map[jwbalance.Class]jwbalance.Rate{}
			for k := range 4 {
				demand[jwbalance.Class(strings.Repeat("c", k))] = jwbalance.Rate{Work: 12.345, Trend: 1.234}
			}
			loads["service"+string(rune('a'+j))] = jwbalance.Load{Demand: demand, Capacity: 64.5, Backlog: 3.25}
		}
		sender.balance.MergeRegion(now, "region"+string(rune('a'+i)), true, loads)
	}
	const silent = 3 * time.Second
	for d := time.Duration(0); d <= silent; d += localInterval {
		at, transit := now.Add(d), 20*time.Millisecond
		other.mergeBalance(at.Add(transit), sender.state(at, "r"))
		sender.mergeBalance(at.Add(2*transit), other.state(at.Add(transit), "r"))
	}
	size := func(g *Gateway) int {
		text, err := json.Marshal(g.state(now.Add(localInterval), "r").Balance)
		assert.NilError(t, err)
		return len(text)
	}
	t.Logf("%d bytes of the balance in a state of the node that exchanges loads", size(sender))
	assert.Assert(t, size(other) < 100, "%d bytes", size(other))
	for _, r := range other.balance.Regions(now.Add(silent), 2*silent, false) {
		assert.Assert(t, r.AgeMS >= (silent-50*time.Millisecond).Milliseconds(), "%s: %d ms", r.Region, r.AgeMS)
	}
	for _, r := range sender.balance.Regions(now.Add(silent), 2*silent, false) {
		assert.Equal(t, r.AgeMS, silent.Milliseconds())
	}
}

// One node exchanges loads for its region: the first one, and the next one when that is gone.
func TestExchangesLoads(t *testing.T) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	assert.Assert(t, g.exchangesLoads(now))
	g.members.Seen(now, jwmember.Member{Name: "b", Region: "r", Serving: true})
	assert.Assert(t, !g.exchangesLoads(now))
	g.members.MarkUnreachable(now.Add(time.Millisecond), "b")
	assert.Assert(t, g.exchangesLoads(now.Add(time.Millisecond)))
}

// BenchmarkBalancedRegion measures the choice of the region of one request at a peak, with 64 targets
// in each of two regions.
func BenchmarkBalancedRegion(b *testing.B) {
	now := time.Now()
	g := balanceGateway(now, jwsettings.OverloadOn)
	for i := range 126 {
		g.targets.Put(now, jwinstance.Instance{
			ID: "t" + string(rune('a'+i%26)) + string(rune('a'+i/26)), Service: "v", Region: []string{"r", "s"}[i%2], Slots: 8,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 80),
		})
	}
	for range 100 {
		peak(g, now)
	}
	g.balance.MergeRegion(now, "s", true, freeRegion())
	q := balanceRequest()
	n := g.targetNeed(q)
	here := &jwplacement.Option{Region: "r", Known: true, Expected: time.Second, MissTokens: 5000}
	b.ReportAllocs()
	for b.Loop() {
		q.counted, q.drawn = false, false
		g.balancedRegion(now, q, n, here)
	}
}
