package jwbench

import (
	"fmt"
	"math"
	"time"

	"jujubewheel/core/jwsuspect"
)

// Scenario is one course of load and failures.
type Scenario struct {
	Name    string
	WarmUp  time.Duration // requests before are not counted
	RunTime time.Duration
	// Load returns the share of a region's capacity that its callers ask for.
	Load    func(region int, at time.Duration) float64
	MaxLoad float64 // highest value of Load
	// Sizes changes the model runners of the regions, nil for the usual ones.
	ModelRunners []int
	// Faults is called once at the start.
	InjectFaults func(sim *simulation, sources []*source)
}

const (
	warmUp           = 30 * time.Second
	scenarioDuration = 270 * time.Second
	peakPeriod       = 240 * time.Second // of a daily peak, shortened
)

func constantLoad(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// offsetPeaks lets the regions peak one after the other; between peaks they ask for
// a fifth of it.
func offsetPeaks(maxLoad float64) func(int, time.Duration) float64 {
	return func(region int, at time.Duration) float64 {
		phase := 2 * math.Pi * (at.Seconds()/peakPeriod.Seconds() - float64(region)/3)
		return maxLoad * (0.6 - 0.4*math.Cos(phase))
	}
}

// Scenarios returns all scenarios.
func scenarios() []Scenario {
	list := []Scenario{{Name: "plainPeak", Load: constantLoad(0.9), MaxLoad: 0.9}}
	for _, peak := range []float64{0.5, 0.8, 1, 1.3, 2} {
		list = append(list, Scenario{Name: fmt.Sprintf("offsetPeak%.1f", peak), Load: offsetPeaks(peak), MaxLoad: peak})
	}
	list = append(list,
		Scenario{Name: "lossAndReturn", Load: constantLoad(0.6), MaxLoad: 0.6, InjectFaults: loseRunners},
		Scenario{Name: "tenfold", Load: tenfoldLoad, MaxLoad: 2.5, ModelRunners: []int{20, 6, 2}},
		Scenario{Name: "greyRunner", Load: constantLoad(0.6), MaxLoad: 0.6, InjectFaults: slowRunner},
		Scenario{Name: "poison", Load: constantLoad(0.5), MaxLoad: 0.5, InjectFaults: sendPoison},
		Scenario{Name: "ownerBurst", Load: constantLoad(0.5), MaxLoad: 0.5, InjectFaults: ownerBurst(unboundWorkspace)},
		Scenario{Name: "boundOwnerBurst", Load: constantLoad(0.5), MaxLoad: 0.5, InjectFaults: ownerBurst(boundWorkspace)},
	)
	for i := range list {
		list[i].WarmUp, list[i].RunTime = warmUp, scenarioDuration
	}
	return list
}

// tenfoldLoad asks little of the large region and too much of the small one.
func tenfoldLoad(region int, _ time.Duration) float64 {
	return []float64{0.4, 0.7, 2.5}[region]
}

// loseRunners takes three of the first region's four model runners away and gives
// them back cold. The brief's two thirds of four is rounded up.
func loseRunners(sim *simulation, _ []*source) {
	lost := sim.pools[poolKey(sim.deployment.Regions[0].Name, writer)][1:]
	sim.after(90*time.Second, func() {
		for _, r := range lost {
			r.crash()
		}
	})
	sim.after(180*time.Second, func() {
		for _, r := range lost {
			r.restart()
		}
	})
}

// slowRunner makes one runner five times slower; its reports do not show it.
func slowRunner(sim *simulation, _ []*source) {
	r := sim.pools[poolKey(sim.deployment.Regions[0].Name, writer)][0]
	sim.after(60*time.Second, func() {
		r.advance()
		r.speed, r.hidesSlowness = 0.2, true
		r.step()
	})
}

// sendPoison lets one caller send a request again and again that crashes each
// runner that takes it.
func sendPoison(sim *simulation, sources []*source) {
	sim.after(60*time.Second, func() {
		at := sim.now.Sub(epoch)
		q := sources[0].newRequest(0, "poisoner", kinds[1], at)
		q.poison, q.bound = true, false
		q.fingerprint = jwsuspect.FingerprintOf("poison", nil)
		q.deadline = sim.now.Add(90 * time.Second)
		sim.arrive(q)
	})
}

// burstOwner is the owner who asks for far too much.
const burstOwner = "burster"

// The workspaces of the burster: one free to be served elsewhere, one bound.
const (
	unboundWorkspace = defaultWorkspaces - 1
	boundWorkspace   = defaultWorkspaces - 10
)

// ownerBurst lets one owner of the first region ask for four times its capacity.
func ownerBurst(workspace int) func(sim *simulation, sources []*source) {
	return func(sim *simulation, sources []*source) {
		overloading := sources[0]
		rate := 4 * capacity(overloading.region)
		until := epoch.Add(150 * time.Second)
		var next func()
		next = func() {
			if sim.now.After(until) {
				return
			}
			sim.arrive(overloading.newRequest(workspace, burstOwner, overloading.randomKind(), sim.now.Sub(epoch)))
			sim.after(time.Duration(sim.rnd.ExpFloat64()/rate*float64(time.Second)), next)
		}
		sim.after(90*time.Second, next)
	}
}

// runScenario plays a scenario once.
func runScenario(d Deployment, s Scenario, p policy, seed uint64) *Result {
	d.Regions = append([]Region(nil), d.Regions...)
	for i, n := range s.ModelRunners {
		d.Regions[i].WriterRunners = n
	}
	sim := newSimulation(d, p, seed)
	sim.result.linkPrice = d.LinkPrice
	var sources []*source
	for i, region := range d.Regions {
		maxRate := capacity(region)
		rate := func(at time.Duration) float64 { return maxRate * s.Load(i, at) }
		sources = append(sources, newSource(sim, i, rate, maxRate*s.MaxLoad, s))
	}
	for _, src := range sources {
		src.start()
	}
	if s.InjectFaults != nil {
		s.InjectFaults(sim, sources)
	}
	sim.until(epoch.Add(s.RunTime + 20*time.Second))
	for _, region := range d.Regions {
		for _, service := range []string{writer, desk} {
			for _, r := range sim.pools[poolKey(region.Name, service)] {
				sim.result.Cost += r.busySeconds
			}
		}
	}
	return sim.result
}
