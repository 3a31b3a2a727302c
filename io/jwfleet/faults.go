package jwfleet

import (
	"context"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/io/jwload"
	"jujubewheel/io/jwstand"
)

// Fault is what goes wrong in a trial.
type Fault string

// The faults. Those that come in the midst of a trial come when a quarter of
// the counted part is over.
const (
	None         Fault = "none"
	Loss         Fault = "loss"         // three of four runners of the first region go, and return cold
	KeyValueDown Fault = "keyValueDown" // the key-value service is down all the time
	PoorLinks    Fault = "poorLinks"    // links between regions are slower, jitter and lose packets
	SlowRunner   Fault = "slowRunner"   // one runner takes five times as long and does not report it
	Poison       Fault = "poison"       // a request that crashes runners is sent again by its caller
	Burst        Fault = "burst"        // one owner of the first region asks for its whole capacity four times over
)

// Faults lists all faults.
var Faults = []Fault{None, Loss, KeyValueDown, PoorLinks, SlowRunner, Poison, Burst}

const slowFactor = 5

// poorWeather is that of PoorLinks.
var poorWeather = jwstand.Weather{
	Delay:  jwstand.Duration(80 * time.Millisecond),
	Jitter: jwstand.Duration(60 * time.Millisecond),
	Loss:   0.02,
}

// burstRegion names the region of the burst's load, whose callers go to the nodes
// of a real one.
func burstRegion(region string) string { return "burst-" + region }

// inject brings the fault about while the load runs.
func (t *Trial) inject(ctx context.Context, f *fleet) error {
	if t.Fault == KeyValueDown {
		f.keyValue.SetFaults(jwstand.Faults{Down: true})
		return nil
	}
	if err := jwclock.Sleep(ctx, t.warmUp()+t.Length/4); err != nil {
		return err
	}
	region := f.Regions[0]
	switch t.Fault {
	case Loss:
		lostRunners := f.runners[region][1:]
		for _, r := range lostRunners {
			r.down()
		}
		err := jwclock.Sleep(ctx, t.Length/3)
		for _, r := range lostRunners {
			r.up()
		}
		return err
	case PoorLinks:
		for _, l := range f.regionLinks {
			l.SetWeather(poorWeather)
		}
	case SlowRunner:
		f.runners[region][0].Engine.SetTimeFactor(slowFactor)
	case Poison:
		return t.poison(ctx, f, region)
	case Burst:
		return t.burst(ctx, f, region)
	}
	return nil
}

// burst sends the load of one owner on top of all others.
func (t *Trial) burst(ctx context.Context, f *fleet, region string) error {
	name := burstRegion(region)
	rate := 4 * f.Capacity() / float64(len(f.Regions))
	load := &jwload.Load{
		Schedule: jwload.Schedule{
			Mix: f.Mix, Regions: []jwload.Region{{Name: name, Share: 1}}, Rate: rate, Seed: t.Seed + 1,
		},
		Duration: t.Length / 2,
		Follow:   true,
	}
	load.Hosts = f.callerAddresses()
	load.Hosts[name] = load.Hosts[region]
	err := load.Run(ctx)
	t.bursts = load.Report().Lines
	return err
}

// poison sends a request until it is refused for good, as its caller would.
func (t *Trial) poison(ctx context.Context, f *fleet, region string) error {
	caller := newOperator()
	defer caller.close()
	nodes := f.nodes[region]
	for try := 0; ctx.Err() == nil; try++ {
		status, err := caller.sendPrompt(ctx, nodes[try%len(nodes)].CallersAddr(), f.firstRunnerEntry(), jwload.WorkspaceName(region, 0), crashPrompt)
		if err == nil && (status == statusQuarantined || try >= maxPoisonTries) {
			break
		}
		t.poisoned++
		if err := jwclock.Sleep(ctx, poisonPause); err != nil {
			return err
		}
	}
	return nil
}

const (
	maxPoisonTries    = 40
	poisonPause       = 300 * time.Millisecond
	statusQuarantined = 422
)

// firstRunnerEntry names the first entry that model runners serve.
func (f *fleet) firstRunnerEntry() string {
	for _, k := range f.Mix.Kinds {
		if k.Target == jwload.Runner {
			return k.Entry
		}
	}
	return ""
}
