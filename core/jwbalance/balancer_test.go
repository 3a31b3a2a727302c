package jwbalance

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

func everywhere(Share) (float64, bool) { return 0, true }

func nowhere(Share) (float64, bool) { return 0, false }

func candidate(c Class, to func(Share) (float64, bool)) Candidate {
	return Candidate{Service: "s", Class: c, Work: 1, Preference: to}
}

func TestMeterFollowsRamp(t *testing.T) {
	var m meter
	now := t0
	for i := range 4000 {
		now = t0.Add(time.Duration(i) * ms)
		m.add(now, 0.001*float64(i)/1000)
	}
	r := m.rate(now)
	assert.Assert(t, math.Abs(r.Work-4) < 0.3, "%v", r)
	assert.Assert(t, math.Abs(r.Trend-1) < 0.2, "%v", r)
	assert.Assert(t, m.rate(now.Add(10*time.Second)).Work < 0.01)
}

// A clock that is set back must not let the averages grow.
func TestMeterClockBack(t *testing.T) {
	var m meter
	m.add(t0, 1)
	before := m.rate(t0)
	assert.Equal(t, m.rate(t0.Add(-time.Hour)), before)
}

// Each node follows the shares by itself; the sum over the nodes must be the share.
func TestChooseFollowsShares(t *testing.T) {
	p := Plan{Known: true, Shares: map[Class][]Share{"": {{Region: "b", Part: 0.3}, {Region: "c", Part: 0.1}}}}
	sent := map[string]int{}
	for range 20 {
		var node Balancer
		for range 50 {
			sent[node.Choose(candidate("", everywhere), p).Region]++
		}
	}
	assert.DeepEqual(t, sent, map[string]int{"": 600, "b": 300, "c": 100})
}

// While a region can't be reached its share stays; afterwards the missed requests must not leave at
// once.
func TestChooseWithoutRegion(t *testing.T) {
	p := Plan{Known: true, Shares: map[Class][]Share{"": {{Region: "b", Part: 0.5}}}}
	var node Balancer
	for range 1000 {
		got := node.Choose(candidate("", nowhere), p)
		assert.Equal(t, got.Region, "")
	}
	away := 0
	for range 100 {
		if node.Choose(candidate("", everywhere), p).Region == "b" {
			away++
		}
	}
	assert.Assert(t, away <= 50+maxCredit, "%d", away)
	assert.Equal(t, node.Choose(candidate("", everywhere), Plan{}).Region, "", "the share ended")
}

// The preference looks at the targets of other regions, which takes long and has locks of its own.
func TestPreferenceWithoutLock(t *testing.T) {
	p := Plan{Known: true, Shares: map[Class][]Share{"": {{Region: "b", Part: 1}}}}
	var node Balancer
	free := false
	node.Choose(candidate("", func(Share) (float64, bool) {
		if free = node.mu.TryLock(); free {
			node.mu.Unlock()
		}
		return 0, true
	}), p)
	assert.Assert(t, free)
}

func TestChooseMustLeave(t *testing.T) {
	p := Plan{Known: true, Shares: map[Class][]Share{"b|c": {{Region: "b", Part: 0.5}, {Region: "c", Part: 0.5}}}}
	sent := map[string]int{}
	var node Balancer
	for range 100 {
		r := candidate("b|c", everywhere)
		r.MustLeave = true
		sent[node.Choose(r, p).Region]++
	}
	assert.DeepEqual(t, sent, map[string]int{"b": 50, "c": 50})
}

// Preferences select which requests leave, such as those whose prompts are cached there; they do not
// change how many.
func TestChoosePrefers(t *testing.T) {
	p := Plan{Known: true, Shares: map[Class][]Share{"": {{Region: "b", Part: 0.5}}}}
	node := Balancer{services: map[string]*service{"s": {meanWork: 1, credit: map[Class]map[string]float64{}}}}
	cached, other := 0, 0
	for i := range 1000 {
		r := candidate("", func(Share) (float64, bool) { return float64(1 - 2*(i%2)), true })
		if node.Choose(r, p).Region == "b" {
			cached += 1 - i%2
			other += i % 2
		}
	}
	assert.Assert(t, cached+other >= 500-maxCredit && cached+other <= 500+maxCredit, "%d, %d", cached, other)
	assert.Assert(t, cached > 490, "%d, %d", cached, other)
}

// A relay's sum replaces the reports of single nodes, and a node that reports nothing more is not
// counted for long.
func TestDemandOfRegion(t *testing.T) {
	count := func(b *Balancer) {
		for i := range 400 {
			b.Count(t0.Add(time.Duration(i)*10*ms), "s", "", 0.01)
		}
	}
	now := t0.Add(4 * time.Second)
	var a, b, relay Balancer
	count(&a)
	count(&b)
	relay.MergeDemand(now, "a", FromNode, a.Demand(now, FromNode))
	relay.MergeDemand(now, "b", FromNode, b.Demand(now, FromNode))
	relay.MergeDemand(now, "other relay", FromDataCentre, a.Demand(now, FromNode))
	work := func(d Demand) float64 { return math.Round(d["s"][""].Work*10) / 10 }
	assert.Equal(t, work(a.Demand(now, FromNode)), 1.0)
	assert.Equal(t, work(relay.Demand(now, FromDataCentre)), 2.0)
	assert.Equal(t, work(relay.Demand(now, FromRegion)), 3.0)
	a.MergeDemand(now, "b", FromNode, b.Demand(now, FromNode))
	assert.Equal(t, work(Demand{"s": a.Load(now, "s", Room{}).Demand}), 2.0)
	a.MergeDemand(now, "relay", FromRegion, relay.Demand(now, FromRegion))
	assert.Equal(t, work(Demand{"s": a.Load(now, "s", Room{}).Demand}), 3.0)
	later := now.Add(flowMaxAge + 1)
	assert.Equal(t, len(relay.Demand(later, FromRegion)["s"]), 0)
}

// A report that was delayed on its way must not replace a later one.
func TestDelayedReport(t *testing.T) {
	var b Balancer
	b.MergeRegion(t0.Add(time.Second), "b", true, map[string]Load{"s": load(1, 10)})
	b.MergeRegion(t0, "b", true, map[string]Load{"s": load(9, 10)})
	got := b.Regions(t0.Add(1100*ms), time.Second, false)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Loads["s"].Demand[""].Work, 1.0)
	assert.Equal(t, len(b.Regions(t0.Add(3*time.Second), time.Second, false)), 0)
}

// After a pause nothing from before may decide.
func TestDiscard(t *testing.T) {
	b := Balancer{Region: "a"}
	room := func() Room { return Room{Capacity: 1} }
	b.MergeRegion(t0, "b", true, map[string]Load{"s": load(0, 10)})
	assert.Assert(t, b.Plan(t0, "s", room).Known)
	b.Discard()
	assert.Assert(t, !b.Plan(t0, "s", room).Known)
}

// world plays the demand of regions against their balancers, one of them for each region, with
// reports that arrive late. The work that is sent away arrives in the same step.
type world struct {
	now      time.Time
	balancer []Balancer
	capacity []float64
	backlog  []float64
	received []float64 // work per second from other regions in the last step
	sent     []float64 // work per second to other regions in the last step
	reports  []report
}

type report struct {
	due    time.Time
	at     time.Time
	region int
	loads  map[string]Load
}

const step = 50 * ms

func newWorld(capacity []float64) *world {
	n := len(capacity)
	w := &world{now: t0, balancer: make([]Balancer, n), capacity: capacity, backlog: make([]float64, n)}
	for i := range w.balancer {
		w.balancer[i].Region = string(rune('a' + i))
	}
	return w
}

// play plays one step with the given demand in work per second; delay is that of the reports sent now.
func (w *world) play(i int, demand []float64, delay time.Duration) {
	w.now = w.now.Add(step)
	w.received, w.sent = make([]float64, len(demand)), make([]float64, len(demand))
	for r := range w.balancer {
		w.balancer[r].Count(w.now, "s", "", demand[r]*step.Seconds())
		if (i+r)%5 == 0 {
			room := Room{w.capacity[r], w.backlog[r]}
			w.reports = append(w.reports, report{w.now.Add(delay), w.now, r, map[string]Load{"s": w.balancer[r].Load(w.now, "s", room)}})
		}
	}
	for _, p := range w.reports {
		if !p.due.After(w.now) {
			for r := range w.balancer {
				if r != p.region {
					w.balancer[r].MergeRegion(p.at, w.balancer[p.region].Region, true, p.loads)
				}
			}
		}
	}
	for r := range w.balancer {
		p := w.balancer[r].Plan(w.now, "s", func() Room { return Room{w.capacity[r], w.backlog[r]} })
		for _, s := range p.Shares[""] {
			w.sent[r] += s.Part * demand[r]
			w.received[s.Region[0]-'a'] += s.Part * demand[r]
		}
	}
	for r := range w.balancer {
		work := demand[r] + w.received[r] - w.sent[r]
		w.backlog[r] = max(w.backlog[r]+(work-w.capacity[r])*step.Seconds(), 0)
	}
}

// slack is the work per second, relative to a region's capacity, that may be sent there beyond its
// room, as the rates are averages.
const slack = 0.15

// For any steps of demand and reports up to a second old the shares settle, fill no region beyond its
// room once its demand is known, and end with the peak.
func TestSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "regions")
		draw := func(low, high float64, name string) []float64 {
			list := make([]float64, n)
			for i := range list {
				list[i] = rapid.Float64Range(low, high).Draw(t, name)
			}
			return list
		}
		w := newWorld(draw(5, 20, "capacity"))
		delay := time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay")) * ms
		i := 0
		play := func(d time.Duration, demand []float64) {
			for range int(d / step) {
				w.play(i, demand, delay)
				i++
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			play(time.Duration(rapid.IntRange(1, 3000).Draw(t, "duration"))*ms, draw(0, 30, "demand"))
		}
		total := 0.0
		for _, c := range w.capacity {
			total += c
		}
		demand := draw(0, 0.6*total/float64(n), "last demand")
		play(20*time.Second, demand)
		sent := w.sent
		play(time.Second, demand)
		for r := range sent {
			if math.Abs(sent[r]-w.sent[r]) > 0.05*w.capacity[r] {
				t.Fatalf("region %d sends %v and then %v", r, sent[r], w.sent[r])
			}
			if w.received[r] > 0 && demand[r]+w.received[r] > (1+slack)*w.capacity[r] {
				t.Fatalf("region %d of %v gets %v beside %v", r, w.capacity[r], w.received[r], demand[r])
			}
		}
		play(15*time.Second, make([]float64, n))
		for r := range w.capacity {
			demand[r] = 0.4 * w.capacity[r]
		}
		play(10*time.Second, demand)
		for r := range w.sent {
			if w.sent[r] > 0 {
				t.Fatalf("region %d still sends %v", r, w.sent[r])
			}
		}
	})
}

// The pattern of two regions that trade peaks, and of three in turn: the peak of one region begins
// while that of the other ends, within a second. The work that waits must stay below what the targets
// do in a second.
func TestPeaksInTurn(t *testing.T) {
	for name, n := range map[string]int{"two regions": 2, "three regions": 3} {
		t.Run(name, func(t *testing.T) {
			capacity := make([]float64, n)
			for i := range capacity {
				capacity[i] = 10
			}
			w := newWorld(capacity)
			demand := make([]float64, n)
			worst := 0.0
			for i := range 600 {
				for r := range demand {
					demand[r] = 2
					if (i/100)%n == r {
						demand[r] = 2 + 14*min(float64(i%100)/20, 1)
					}
				}
				w.play(i, demand, 150*ms)
				for r := range capacity {
					worst = max(worst, w.backlog[r])
				}
			}
			assert.Assert(t, worst < 10, "%v", worst)
		})
	}
}

// A peak arrives within a second: what the region sends must follow within a second too.
func TestSuddenPeak(t *testing.T) {
	w := newWorld([]float64{10, 10, 10})
	quiet, peak := []float64{2, 2, 2}, []float64{24, 2, 2}
	for i := range 100 {
		w.play(i, quiet, 150*ms)
	}
	assert.Equal(t, w.sent[0], 0.0)
	for i := range 20 {
		w.play(i, peak, 150*ms)
	}
	assert.Assert(t, w.sent[0] > 10, "%v", w.sent[0])
	assert.Assert(t, w.received[1] > 5 && w.received[2] > 5, "%v", w.received)
}

// A region that is cut off is not planned for any more, and a region at its peak uses the others.
func TestRegionCut(t *testing.T) {
	b := Balancer{Region: "a"}
	for i := range 40 {
		b.Count(t0.Add(time.Duration(i)*50*ms), "s", "", 1)
	}
	now := t0.Add(2 * time.Second)
	b.MergeRegion(now, "b", true, map[string]Load{"s": load(0, 10)})
	b.MergeRegion(now.Add(DefaultMaxAge), "c", true, map[string]Load{"s": load(0, 10)})
	room := func() Room { return Room{Capacity: 10} }
	p := b.Plan(now.Add(100*ms), "s", room)
	assert.Equal(t, len(p.Shares[""]), 2)
	p = b.Plan(now.Add(DefaultMaxAge+100*ms), "s", room)
	for _, s := range p.Shares[""] {
		assert.Equal(t, s.Region, "c")
	}
	assert.Assert(t, !b.Plan(now.Add(3*DefaultMaxAge), "s", room).Known)
}
