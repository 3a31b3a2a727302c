package jwbench

import (
	"fmt"
	"math"
	"time"

	"jujubewheel/core/jwsuspect"
)

// Scenario is one course of load and failures.
type Scenario struct {
	Name   string
	Warm   time.Duration // requests before are not counted
	Length time.Duration
	// Load returns the share of a region's capacity that its callers ask for.
	Load func(region int, at time.Duration) float64
	Most float64 // highest value of Load
	// Sizes changes the model runners of the regions, nil for the usual ones.
	Sizes []int
	// Faults is called once at the start.
	Faults func(w *world, sources []*source)
}

const (
	warm   = 30 * time.Second
	length = 270 * time.Second
	period = 240 * time.Second // of a daily peak, shortened
)

func flat(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// offset lets the regions peak one after the other; between peaks they ask for
// a fifth of it.
func offset(peak float64) func(int, time.Duration) float64 {
	return func(region int, at time.Duration) float64 {
		phase := 2 * math.Pi * (at.Seconds()/period.Seconds() - float64(region)/3)
		return peak * (0.6 - 0.4*math.Cos(phase))
	}
}

// Scenarios returns all scenarios.
func scenarios() []Scenario {
	list := []Scenario{{Name: "plainPeak", Load: flat(0.9), Most: 0.9}}
	for _, peak := range []float64{0.5, 0.8, 1, 1.3, 2} {
		list = append(list, Scenario{Name: fmt.Sprintf("offsetPeak%.1f", peak), Load: offset(peak), Most: peak})
	}
	list = append(list,
		Scenario{Name: "lossAndReturn", Load: flat(0.6), Most: 0.6, Faults: loss},
		Scenario{Name: "tenfold", Load: tenfold, Most: 2.5, Sizes: []int{20, 6, 2}},
		Scenario{Name: "greyRunner", Load: flat(0.6), Most: 0.6, Faults: grey},
		Scenario{Name: "poison", Load: flat(0.5), Most: 0.5, Faults: poison},
		Scenario{Name: "ownerBurst", Load: flat(0.5), Most: 0.5, Faults: burst(freeSpace)},
		Scenario{Name: "boundOwnerBurst", Load: flat(0.5), Most: 0.5, Faults: burst(boundSpace)},
	)
	for i := range list {
		list[i].Warm, list[i].Length = warm, length
	}
	return list
}

// tenfold asks little of the large region and too much of the small one.
func tenfold(region int, _ time.Duration) float64 {
	return []float64{0.4, 0.7, 2.5}[region]
}

// loss takes three of the first region's four model runners away and gives
// them back cold. The brief's two thirds of four is rounded up.
func loss(w *world, _ []*source) {
	lost := w.byPlace[place(w.deploy.Regions[0].Name, writer)][1:]
	w.after(90*time.Second, func() {
		for _, r := range lost {
			r.crash()
		}
	})
	w.after(180*time.Second, func() {
		for _, r := range lost {
			r.back()
		}
	})
}

// grey makes one runner five times slower; its reports do not show it.
func grey(w *world, _ []*source) {
	r := w.byPlace[place(w.deploy.Regions[0].Name, writer)][0]
	w.after(60*time.Second, func() {
		r.advance()
		r.speed, r.hides = 0.2, true
		r.step()
	})
}

// poison lets one caller send a request again and again that crashes each
// runner that takes it.
func poison(w *world, sources []*source) {
	w.after(60*time.Second, func() {
		at := w.now.Sub(epoch)
		q := sources[0].of(0, "poisoner", kinds[1], at)
		q.poison, q.bound = true, false
		q.print = jwsuspect.FingerprintOf("poison", nil)
		q.deadline = w.now.Add(90 * time.Second)
		w.arrive(q)
	})
}

// burster is the owner who asks for far too much.
const burster = "burster"

// The workspaces of the burster: one free to be served elsewhere, one bound.
const (
	freeSpace  = workspaces - 1
	boundSpace = workspaces - 10
)

// burst lets one owner of the first region ask for four times its capacity.
func burst(space int) func(w *world, sources []*source) {
	return func(w *world, sources []*source) {
		src := sources[0]
		rate := 4 * capacity(src.region)
		until := epoch.Add(150 * time.Second)
		var next func()
		next = func() {
			if w.now.After(until) {
				return
			}
			w.arrive(src.of(space, burster, src.kind(), w.now.Sub(epoch)))
			w.after(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), next)
		}
		w.after(90*time.Second, next)
	}
}

// run plays a scenario once.
func run(d Deployment, s Scenario, p policy, seed uint64) *Result {
	d.Regions = append([]Region(nil), d.Regions...)
	for i, n := range s.Sizes {
		d.Regions[i].Writers = n
	}
	w := newWorld(d, p, seed)
	w.result.price = d.Price
	var sources []*source
	for i, region := range d.Regions {
		full := capacity(region)
		rate := func(at time.Duration) float64 { return full * s.Load(i, at) }
		sources = append(sources, newSource(w, i, rate, full*s.Most, s))
	}
	for _, src := range sources {
		src.start()
	}
	if s.Faults != nil {
		s.Faults(w, sources)
	}
	w.until(epoch.Add(s.Length + 20*time.Second))
	for _, region := range d.Regions {
		for _, service := range []string{writer, desk} {
			for _, r := range w.byPlace[place(region.Name, service)] {
				w.result.Cost += r.used
			}
		}
	}
	return w.result
}
