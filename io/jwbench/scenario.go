package jwbench

import (
	"fmt"
	"math"
	"time"

	"jujubewheel/core/jwsuspect"
)

// Scenario describes how the load changes over time and which failures happen.
type Scenario struct {
	Name    string
	WarmUp  time.Duration // requests sent before this time are not counted
	RunTime time.Duration // time during which requests are sent, warm-up included
	// Load returns the share of a region's capacity that its callers request
	// at a time since the start.
	Load    func(region int, at time.Duration) float64
	MaxLoad float64 // highest value that Load returns
	// ModelRunners overrides the number of model runners of each region; nil
	// keeps the numbers of the deployment.
	ModelRunners []int
	// InjectFaults is called once at the start and schedules the failures.
	InjectFaults func(sim *simulation, sources []*source)
}

const (
	warmUp           = 30 * time.Second
	scenarioDuration = 270 * time.Second
	peakPeriod       = 240 * time.Second // a day, shortened: time between two peaks of a region
)

func constantLoad(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// offsetPeaks returns a load whose peaks reach the regions one after the other;
// the lowest load is a fifth of the peak.
func offsetPeaks(maxLoad float64) func(int, time.Duration) float64 {
	return func(region int, at time.Duration) float64 {
		phase := 2 * math.Pi * (at.Seconds()/peakPeriod.Seconds() - float64(region)/3)
		return maxLoad * (0.6 - 0.4*math.Cos(phase))
	}
}

// scenarios returns all scenarios.
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

// tenfoldLoad is low in the large region, which has ten times the runners of
// the small one, and exceeds the capacity of the small one.
func tenfoldLoad(region int, _ time.Duration) float64 {
	return []float64{0.4, 0.7, 2.5}[region]
}

// loseRunners crashes three of the first region's four model runners and
// restarts them with empty caches. The scenario is the loss of two thirds of
// the runners; two thirds of four is rounded up to three.
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

// slowRunner makes one runner five times slower, while its load reports still
// give the usual time between tokens.
func slowRunner(sim *simulation, _ []*source) {
	r := sim.pools[poolKey(sim.deployment.Regions[0].Name, writer)][0]
	sim.after(60*time.Second, func() {
		r.advance()
		r.speed, r.hidesSlowness = 0.2, true
		r.step()
	})
}

// sendPoison makes one caller repeatedly send a request that crashes each runner
// that starts it.
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

// burstOwner is the owner whose requests exceed the capacity of its region.
const burstOwner = "burster"

// Workspaces of burstOwner: requests of the first one may be served in another
// region, those of the second one are bound to their own.
const (
	unboundWorkspace = defaultWorkspaces - 1
	boundWorkspace   = defaultWorkspaces - 10
)

// ownerBurst makes one owner of the first region send four times the region's
// capacity from 90 s to 150 s.
func ownerBurst(workspace int) func(sim *simulation, sources []*source) {
	return func(sim *simulation, sources []*source) {
		src := sources[0]
		rate := 4 * capacity(src.region)
		until := epoch.Add(150 * time.Second)
		var next func()
		next = func() {
			if sim.now.After(until) {
				return
			}
			sim.arrive(src.newRequest(workspace, burstOwner, src.randomKind(), sim.now.Sub(epoch)))
			sim.after(time.Duration(sim.rnd.ExpFloat64()/rate*float64(time.Second)), next)
		}
		sim.after(90*time.Second, next)
	}
}

// runScenario simulates a scenario once and returns its result.
func runScenario(d Deployment, s Scenario, p policy, seed uint64) *Result {
	d.Regions = append([]Region(nil), d.Regions...)
	for i, n := range s.ModelRunners {
		d.Regions[i].WriterRunners = n
	}
	sim := newSimulation(d, p, seed)
	sim.result.linkPrice = d.LinkPrice
	var sources []*source
	for i, region := range d.Regions {
		regionCapacity := capacity(region)
		rate := func(at time.Duration) float64 { return regionCapacity * s.Load(i, at) }
		sources = append(sources, newSource(sim, i, rate, regionCapacity*s.MaxLoad, s))
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
