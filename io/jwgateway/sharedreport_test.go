package jwgateway

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwsettings"
)

// largeGateway returns a node of a fleet of three regions with two data centres each, prepared but
// not running.
func largeGateway(name string, nodes, targets int) *Gateway {
	dcs := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	g := &Gateway{
		Settings: &jwsettings.Settings{Node: name, Region: "a", DataCentre: "a1", Gateway: &jwsettings.Gateway{}},
		Targets:  &jwconn.Pool{}, Nodes: &jwconn.Pool{}, Log: logr.Discard(),
	}
	g.prepare()
	g.members.Self.Capacity = 19
	now := time.Now()
	g.members.Serve(now, true)
	for i := range nodes {
		dc := dcs[i%len(dcs)]
		g.members.Put(now, jwmember.Member{
			Name: fmt.Sprintf("edge-%s-%03d", dc, i/len(dcs)), Region: dc[:1], DataCentre: dc, Start: now.UnixNano(), ServingChanges: 1, Serving: true,
			Callers: netip.MustParseAddrPort("10.1.0.35:8144"), Nodes: netip.MustParseAddrPort("10.1.0.35:8146"), Capacity: 19,
		})
	}
	for i := range targets {
		dc := dcs[i%len(dcs)]
		g.targets.Put(now, jwinstance.Instance{
			ID: fmt.Sprintf("i-%010x", i), Service: "s", Region: dc[:1], DataCentre: dc, Slots: 16, Revision: uint64(i + 1),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
		})
	}
	return g
}

// BenchmarkRelayExchange measures one exchange of a node with its relay, at both, by the size of the
// fleet: what the relay computes and writes, and what the node reads and merges.
func BenchmarkRelayExchange(b *testing.B) {
	for _, size := range []struct{ nodes, targets int }{{300, 3000}, {986, 10000}, {1972, 20000}} {
		relay, node := largeGateway("edge-a1-000", size.nodes, size.targets), largeGateway("edge-a1-001", size.nodes, size.targets)
		ask := func() state {
			return node.relayState(time.Now(), "edge-a1-000", relayReport{WantsChanges: true})
		}
		reply := func(s state) []byte {
			raw, err := json.Marshal(relay.replyState(time.Now(), s))
			if err != nil {
				b.Fatal(err)
			}
			return raw
		}
		name := fmt.Sprintf("%d nodes", size.nodes)
		b.Run(name+"/relay", func(b *testing.B) {
			s := ask()
			b.ReportAllocs()
			for b.Loop() {
				relay.mergeState(s, jwmember.Member{}, time.Now())
				b.ReportMetric(float64(len(reply(s))), "B/reply")
			}
		})
		b.Run(name+"/node", func(b *testing.B) {
			raw := reply(ask())
			b.ReportAllocs()
			for b.Loop() {
				if _, err := json.Marshal(ask()); err != nil {
					b.Fatal(err)
				}
				var s state
				if err := json.Unmarshal(raw, &s); err != nil {
					b.Fatal(err)
				}
				node.mergeState(s, relay.members.Local(), time.Now())
			}
		})
	}
}

// A relay answers hundreds of nodes a second. What it reports to all of them alike is computed from
// all nodes of the fleet, and must not be for each.
func TestSharedReportIsComputedOnce(t *testing.T) {
	var s sharedReport
	computed := 0
	compute := func(time.Time) relayReport {
		computed++
		return relayReport{FromRelay: true}
	}
	now := time.Unix(1000, 0)
	for range 100 {
		assert.Assert(t, s.get(now, compute).FromRelay)
	}
	assert.Equal(t, computed, 1)
	s.get(now.Add(maxSharedReportAge), compute)
	assert.Equal(t, computed, 2, "an old report must be computed again")
	s.get(now, compute)
	assert.Equal(t, computed, 3, "a report from the future must not be used")
}
