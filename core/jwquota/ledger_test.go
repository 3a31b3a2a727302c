package jwquota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwworkspace"
)

var tokenBounds = Bounds{Window: 8 * time.Second, Ratio: 0.1, Slack: 110_000}

func tokenQuota(perSecond float64) jwworkspace.Quota {
	return jwworkspace.Quota{Unit: jwworkspace.Tokens, Rate: perSecond, Burst: perSecond, DefaultUnits: 200}
}

// requestCost draws the cost of a request: a plain call, a short prompt or a long one.
func (f *fleet) requestCost() float64 {
	switch x := f.rand.Float64(); {
	case x < 0.23:
		return 200
	case x < 0.8:
		return 500 + 1000*f.rand.Float64()
	}
	return 2000 + 14_000*f.rand.Float64()
}

const meanCost = 0.23*200 + 0.57*1000 + 0.2*9000

// traffic sends the requests of a workspace in one step, at a rate in units a second,
// most of them in one region.
func (f *fleet) traffic(workspace string, units float64, peak int) {
	for range f.poisson(units / meanCost) {
		i := f.rand.IntN(len(f.nodes))
		for f.nodes[i].region != peak && f.rand.Float64() < 0.8 {
			i = f.rand.IntN(len(f.nodes))
		}
		f.request(i, workspace, f.requestCost(), 400*time.Millisecond)
	}
}

// Almost no request of workspaces that stay within their quotas, including small ones, is
// rejected while the peak load moves from region to region.
func TestFewRefusalsWithinQuota(t *testing.T) {
	for name, perSecond := range map[string]float64{"large": 800_000, "middle": 100_000, "small": 29_000} {
		t.Run(name, func(t *testing.T) {
			quotas := map[string]jwworkspace.Quota{"w": tokenQuota(perSecond)}
			f := newFleet(7, 58, 6, 3, tokenBounds, quotas)
			f.run(10*time.Second, nil)
			start := f.now
			f.run(36*time.Second, func() {
				f.traffic("w", perSecond/1.8, int(f.now.Sub(start)/(12*time.Second)))
			})
			t.Logf("%.0f of %.0f rejected, one counter rejects %.0f", f.rejectedUnits["w"], f.requestedUnits["w"], f.ideal["w"].rejected)
			assert.Assert(t, f.rejectedUnits["w"] < f.ideal["w"].rejected+0.02*f.requestedUnits["w"],
				"%.0f of %.0f rejected, one counter rejects %.0f", f.rejectedUnits["w"], f.requestedUnits["w"], f.ideal["w"].rejected)
			assert.Assert(t, f.maxSpent("w") <= tokenBounds.MaxUnits(quotas["w"]))
		})
	}
}

// A workspace that sends seven times its usual load gets its quota and no more, and
// doesn't reduce what another workspace gets.
func TestFloodOfOneWorkspace(t *testing.T) {
	quotas := map[string]jwworkspace.Quota{"hot1": tokenQuota(200_000), "calm2": tokenQuota(60_000)}
	f := newFleet(9, 58, 6, 3, tokenBounds, quotas)
	f.run(10*time.Second, nil)
	f.run(20*time.Second, func() {
		f.traffic("hot1", 7.5/1.8*200_000, 0)
		f.traffic("calm2", 60_000/1.8, 1)
	})
	spent := 0.0
	for _, s := range f.spent {
		if s.workspace == "hot1" {
			spent += s.cost
		}
	}
	assert.Assert(t, f.maxSpent("hot1") <= tokenBounds.MaxUnits(quotas["hot1"]))
	assert.Assert(t, spent > 0.9*20*200_000, "only %.0f were spent", spent)
	t.Logf("calm: %.0f of %.0f rejected, one counter rejects %.0f", f.rejectedUnits["calm2"], f.requestedUnits["calm2"], f.ideal["calm2"].rejected)
	assert.Assert(t, f.rejectedUnits["calm2"] < 0.02*f.requestedUnits["calm2"], "%.0f of %.0f rejected", f.rejectedUnits["calm2"], f.requestedUnits["calm2"])
}

// No sequence of restarts, network partitions and load changes lets all nodes together
// exceed the bound.
func TestBoundIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 24).Draw(t, "nodes")
		dcs := rapid.IntRange(1, min(nodes, 6)).Draw(t, "dataCentres")
		b := Bounds{
			Window: time.Duration(rapid.IntRange(2, 8).Draw(t, "window")) * time.Second,
			Ratio:  rapid.SampledFrom([]float64{0.05, 0.1, 0.3}).Draw(t, "ratio"),
			Slack:  rapid.SampledFrom([]float64{0, 20_000, 110_000}).Draw(t, "slack"),
		}
		q := jwworkspace.Quota{Unit: jwworkspace.Tokens, Rate: rapid.SampledFrom([]float64{500, 29_000, 400_000}).Draw(t, "rate")}
		q.Burst = q.Rate * rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "burst")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), nodes, dcs, min(dcs, 3), b, map[string]jwworkspace.Quota{"w": q})
		f.byUrgency = rapid.Bool().Draw(t, "byUrgency")
		f.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "idle"))*time.Second, nil)
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			load := rapid.SampledFrom([]float64{0, 0.5, 1, 4, 12}).Draw(t, "load")
			peak := rapid.IntRange(0, 2).Draw(t, "peak")
			switch rapid.SampledFrom([]string{"calm", "cut", "heal", "restart", "restartAll"}).Draw(t, "event") {
			case "cut":
				for _, n := range f.nodes {
					n.partition = f.rand.IntN(3)
				}
			case "heal":
				for _, n := range f.nodes {
					n.partition = 0
				}
			case "restart":
				f.restart(f.nodes[f.rand.IntN(nodes)])
			case "restartAll":
				for _, n := range f.nodes {
					f.restart(n)
				}
			}
			f.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond, func() { f.traffic("w", load*q.Rate, peak) })
		}
		if limit := b.MaxUnits(q); f.maxSpent("w") > limit {
			t.Fatalf("%.0f units in a window, allowed are %.0f", f.maxSpent("w"), limit)
		}
	})
}

// TestCompareDistributions compares three methods to distribute a quota: in equal shares, in
// shares that follow demand, and by the tree. It compares what is rejected, how much of the
// bound is used and how often nodes call each other; -v logs the results.
func TestCompareDistributions(t *testing.T) {
	sizes := []int{9, 58}
	if testing.Verbose() {
		sizes = append(sizes, 300)
	}
	for _, nodes := range sizes {
		rejected := make(map[string]float64)
		for _, method := range []string{"equal", "demand", "tree"} {
			quotas := map[string]jwworkspace.Quota{"hot1": tokenQuota(300_000), "large2": tokenQuota(800_000), "small3": tokenQuota(60_000)}
			f := newFleet(5, nodes, min(nodes, 6), 3, tokenBounds, quotas)
			f.equalShares, f.demandShares = method == "equal", method == "demand"
			for _, n := range f.nodes {
				f.restart(n)
			}
			f.run(8*time.Second, nil)
			start := f.now
			f.run(18*time.Second, func() {
				second := f.now.Sub(start)
				peak, hot := int(second/(6*time.Second)), 1.0
				if second > 6*time.Second && second < 12*time.Second {
					hot = 7.5
				}
				f.traffic("hot1", hot*300_000/1.8, peak)
				f.traffic("large2", 800_000/1.8, peak)
				f.traffic("small3", 60_000/1.8, peak)
			})
			for w, q := range quotas {
				assert.Assert(t, method == "demand" || f.maxSpent(w) <= tokenBounds.MaxUnits(q), "%s exceeds the bound", method)
				rejected[method] += (f.rejectedUnits[w] - f.ideal[w].rejected) / f.requestedUnits[w]
				t.Logf("%3d nodes, %-6s %-6s rejected %.3f, one counter %.3f, of the bound %.2f, calls a node and second %.1f", nodes, method, w,
					f.rejectedUnits[w]/f.requestedUnits[w], f.ideal[w].rejected/f.requestedUnits[w], f.maxSpent(w)/tokenBounds.MaxUnits(q), float64(f.calls)/float64(nodes)/18)
			}
		}
		assert.Assert(t, rejected["tree"] < rejected["equal"] && rejected["tree"] < rejected["demand"], "%v", rejected)
	}
}

// BenchmarkTake admits requests of one of 2,000 active workspaces.
func BenchmarkTake(b *testing.B) {
	q := tokenQuota(1e9)
	l := &Ledger{Quota: func(string) jwworkspace.Quota { return q }, Bounds: func() Bounds { return tokenBounds }}
	now := time.Unix(1000, 0)
	l.SetTopology(now, Topology{FleetSize: 1, Counted: true})
	names := make([]string, 2000)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
		l.Take(now, names[i], 0)
	}
	now = now.Add(time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		if d := l.Take(now, names[i%len(names)], 1000); d.Outcome != Taken {
			b.Fatal(d.Outcome)
		}
	}
}
