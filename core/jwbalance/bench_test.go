package jwbalance

import (
	"encoding/json"
	"fmt"
	"testing"
)

// fullSize returns the loads of 13 regions.
func fullSize() []RegionLoad {
	list := make([]RegionLoad, 13)
	for i := range list {
		list[i] = region(fmt.Sprintf("region-%d", i), float64(20*i), 200)
		list[i].Demand["region-1|region-2"] = Rate{Work: 20}
	}
	return list
}

func BenchmarkChoose(b *testing.B) {
	node := Balancer{Region: "region-12"}
	list := fullSize()
	for _, r := range list[:12] {
		node.MergeRegion(t0, r.Region, true, map[string]Load{"s": r.Load})
	}
	for range 1000 {
		node.Count(t0, "s", "", 1)
	}
	room := func() Room { return Room{Capacity: 200} }
	b.ReportAllocs()
	for b.Loop() {
		node.Count(t0, "s", "", 0.05)
		node.Choose(candidate("", everywhere), node.Plan(t0, "s", room))
	}
}

func BenchmarkMake(b *testing.B) {
	list := fullSize()
	b.ReportAllocs()
	for b.Loop() {
		Policy{}.Make(list[12].Region, list[12].Load, list[:12])
	}
}

// BenchmarkRelay measures what a relay of a region with 75 nodes does with the reports of its nodes
// in one interval.
func BenchmarkRelay(b *testing.B) {
	var node, relay Balancer
	for range 100 {
		node.Count(t0, "s", "", 0.05)
		node.Count(t0, "s", "region-1|region-2", 0.05)
	}
	d := node.Demand(t0, FromNode)
	b.ReportAllocs()
	for b.Loop() {
		for i := range 75 {
			relay.MergeDemand(t0, fmt.Sprint(i), FromNode, d)
		}
		relay.Demand(t0, FromRegion)
	}
}

// BenchmarkRelayState measures encoding what a relay passes on to each node of its data centre: the
// loads of 12 other regions with three services.
func BenchmarkRelayState(b *testing.B) {
	var relay Balancer
	for _, r := range fullSize()[1:] {
		loads := map[string]Load{}
		for i := range 3 {
			loads[fmt.Sprintf("service-%d", i)] = r.Load
		}
		relay.MergeRegion(t0, r.Region, true, loads)
	}
	size := 0
	for b.Loop() {
		encoded, err := json.Marshal(relay.Regions(t0, DefaultMaxAge, false))
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}
