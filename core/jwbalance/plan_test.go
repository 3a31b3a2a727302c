package jwbalance

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func load(demand, capacity float64) Load {
	return Load{Demand: map[Class]Rate{"": {Work: demand}}, Capacity: capacity}
}

func region(name string, demand, capacity float64) RegionLoad {
	return RegionLoad{Region: name, Load: load(demand, capacity)}
}

// parts returns the shares of a class by region, rounded to hundredths.
func parts(p Plan, c Class) map[string]float64 {
	m := map[string]float64{}
	for _, s := range p.Shares[c] {
		m[s.Region] = math.Round(s.Part*100) / 100
	}
	return m
}

func TestMake(t *testing.T) {
	old := region("b", 0, 10)
	old.Age = DefaultMaxAge + 1
	growing := region("b", 2, 10)
	growing.Demand[""] = Rate{2, 8}
	growing.Age = 800 * ms
	waiting := region("b", 2, 10)
	waiting.Backlog = 20
	bound := load(0, 10)
	bound.Demand = map[Class]Rate{"": {Work: 2}, "a": {Work: 18}}
	foreign := load(0, 10)
	foreign.Demand = map[Class]Rate{"b|c": {Work: 6}}
	cases := map[string]struct {
		local  Load
		others []RegionLoad
		class  Class
		want   map[string]float64
		known  bool
	}{
		"nothing known":                    {load(20, 10), nil, "", map[string]float64{}, false},
		"report too old":                   {load(20, 10), []RegionLoad{old}, "", map[string]float64{}, false},
		"served at home":                   {load(5, 10), []RegionLoad{region("b", 0, 10)}, "", map[string]float64{}, true},
		"peak beside a free region":        {load(18, 10), []RegionLoad{region("b", 2, 10)}, "", map[string]float64{"b": 0.44}, true},
		"no more than needed":              {load(10, 10), []RegionLoad{region("b", 0, 90)}, "", map[string]float64{"b": 0.2}, true},
		"two regions by their room":        {load(30, 10), []RegionLoad{region("b", 0, 10), region("c", 0, 20)}, "", map[string]float64{"b": 0.24, "c": 0.49}, true},
		"two at their peak":                {load(18, 10), []RegionLoad{region("b", 18, 10), region("c", 0, 10)}, "", map[string]float64{"c": 0.33}, true},
		"equally loaded":                   {load(15, 10), []RegionLoad{region("b", 15, 10)}, "", map[string]float64{}, true},
		"about to have its own peak":       {load(9, 10), []RegionLoad{growing}, "", map[string]float64{}, true},
		"free but for those that wait":     {load(12, 10), []RegionLoad{waiting}, "", map[string]float64{}, true},
		"no targets here":                  {load(6, 0), []RegionLoad{region("b", 0, 10)}, "", map[string]float64{"b": 1}, true},
		"no targets there":                 {load(18, 10), []RegionLoad{region("b", 0, 0)}, "", map[string]float64{}, true},
		"bound requests stay":              {bound, []RegionLoad{region("b", 0, 10)}, "a", map[string]float64{}, true},
		"others leave for them":            {bound, []RegionLoad{region("b", 0, 10)}, "", map[string]float64{"b": 1}, true},
		"homes elsewhere":                  {foreign, []RegionLoad{region("b", 2, 10), region("c", 8, 20)}, "b|c", map[string]float64{"b": 0.56, "c": 0.44}, true},
		"homes elsewhere, one at its peak": {foreign, []RegionLoad{region("b", 14, 10), region("c", 0, 10)}, "b|c", map[string]float64{"c": 1}, true},
		"homes that are not known":         {foreign, []RegionLoad{region("d", 0, 10)}, "b|c", map[string]float64{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := Policy{}.Make("a", c.local, c.others)
			assert.Equal(t, p.Known, c.known)
			assert.DeepEqual(t, parts(p, c.class), c.want)
		})
	}
}

func drawLoads(t *rapid.T) []RegionLoad {
	list := make([]RegionLoad, rapid.IntRange(2, 6).Draw(t, "regions"))
	classes := []Class{"", "a", "a|b", "b|c|d"}
	for i := range list {
		list[i] = RegionLoad{Region: string(rune('a' + i)), Load: Load{
			Demand: map[Class]Rate{}, Capacity: rapid.Float64Range(0, 50).Draw(t, "capacity"), Backlog: rapid.Float64Range(0, 10).Draw(t, "backlog"),
		}}
		for _, class := range classes {
			list[i].Demand[class] = Rate{rapid.Float64Range(0, 40).Draw(t, "work"), rapid.Float64Range(-20, 20).Draw(t, "trend")}
		}
	}
	return list
}

// All regions plan from the same loads. If their plans did not fit together, several regions at their
// peak would each fill the same room.
func TestPlansFitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkPlansFit(t, drawLoads(t)) })
}

// A region with less capacity than minWork must not be taken to have as much: the others would
// together send it more than it can take.
func TestPlansFitWithoutCapacity(t *testing.T) {
	const tiny = 4.76837158203125e-07
	demand := func(first Rate) map[Class]Rate {
		return map[Class]Rate{"": first, "a": {1, 1}, "a|b": {1, 1}, "b|c|d": {1, 1}}
	}
	var list []RegionLoad
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, RegionLoad{Region: name, Load: Load{Capacity: 1, Backlog: 1, Demand: demand(Rate{1, 1})}})
	}
	list = append(list, RegionLoad{Region: "f", Load: Load{Capacity: tiny, Backlog: 8 * tiny, Demand: demand(Rate{0.0625, -1})}})
	checkPlansFit(t, list)
}

// checkPlansFit checks that the plans that all regions make of the same loads fit together.
func checkPlansFit(t interface{ Fatalf(string, ...any) }, list []RegionLoad) {
	policy := Policy{}.withDefaults()
	received := make(map[string]float64)
	own := make(map[string]float64)
	for i, r := range list {
		others := append(append([]RegionLoad{}, list[:i]...), list[i+1:]...)
		p := Policy{}.Make(r.Region, r.Load, others)
		own[r.Region] += r.Backlog / policy.Drain.Seconds()
		for class, shares := range p.Shares {
			work, sum := r.Demand[class].At(policy.Lead), 0.0
			for _, s := range shares {
				if !class.allows(s.Region) {
					t.Fatalf("%q is sent to %s", class, s.Region)
				}
				if class.allows(r.Region) {
					received[s.Region] += s.Part * work
				} else {
					own[s.Region] += s.Part * work
				}
				sum += s.Part
			}
			if sum > 1+1e-9 || !class.allows(r.Region) && sum < 1-1e-9 {
				t.Fatalf("%s sends %v of %q", r.Region, sum, class)
			}
			own[r.Region] += (1 - sum) * work
		}
	}
	for _, r := range list {
		if got := received[r.Region]; got > minWork && own[r.Region]+got > policy.MaxLevel*r.Capacity+1e-6 {
			t.Fatalf("%s with %v of %v gets %v", r.Region, own[r.Region], r.Capacity, got)
		}
	}
}

// No region that is relieved ends below one that takes its work, and none sends and takes the same
// class.
func TestRelievedStaysAboveHelper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(0, 100).Draw(t, "demand of a"), rapid.Float64Range(0, 100).Draw(t, "demand of b")
		ca, cb := rapid.Float64Range(1, 50).Draw(t, "capacity of a"), rapid.Float64Range(1, 50).Draw(t, "capacity of b")
		pa := Policy{}.Make("a", load(a, ca), []RegionLoad{region("b", b, cb)})
		pb := Policy{}.Make("b", load(b, cb), []RegionLoad{region("a", a, ca)})
		if len(pa.Shares[""]) > 0 && len(pb.Shares[""]) > 0 {
			t.Fatal("both send")
		}
		if len(pa.Shares[""]) > 0 && (pa.After > pa.Before || pa.After < pb.After-1e-9) {
			t.Fatalf("a: %v to %v, b: %v to %v", pa.Before, pa.After, pb.Before, pb.After)
		}
	})
}

func TestClassOf(t *testing.T) {
	cases := map[string]struct {
		homes   []string
		allowed []string
	}{
		"no homes":                     {nil, []string{"a", "b", "c"}},
		"one home":                     {[]string{"b"}, []string{"b"}},
		"two homes":                    {[]string{"c", "a"}, []string{"a", "c"}},
		"homes without common regions": {[]string{""}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var allowed []string
			for _, region := range []string{"a", "b", "c"} {
				if ClassOf(c.homes).allows(region) {
					allowed = append(allowed, region)
				}
			}
			assert.DeepEqual(t, allowed, c.allowed)
		})
	}
}
