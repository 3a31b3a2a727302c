package jwfleet

import (
	"context"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/io/jwload"
	"jujubewheel/io/jwstand"
)

// Fault is the fault of a trial.
type Fault string

// The faults. Those that start during the load start after a quarter of the
// measured part.
const (
	None         Fault = "none"
	Loss         Fault = "loss"         // three of four runners of the first region fail and are restarted with empty caches
	KeyValueDown Fault = "keyValueDown" // the key-value service is down for the whole trial
	PoorLinks    Fault = "poorLinks"    // the links have more delay, jitter and packet loss
	SlowRunner   Fault = "slowRunner"   // one runner takes five times as long and does not report it
	Poison       Fault = "poison"       // a caller keeps resending a request that crashes runners
	Burst        Fault = "burst"        // one owner in the first region sends four times the capacity of the region
)

// Faults lists all faults.
var Faults = []Fault{None, Loss, KeyValueDown, PoorLinks, SlowRunner, Poison, Burst}

// slowFactor is the factor on the times of the runner under SlowRunner.
const slowFactor = 5

// poorConditions is the condition of the links under PoorLinks.
var poorConditions = jwstand.Conditions{
	Delay:  jwstand.Duration(80 * time.Millisecond),
	Jitter: jwstand.Duration(60 * time.Millisecond),
	Loss:   0.02,
}

// burstRegion returns the region name that the load of a burst uses. Its
// callers use the nodes of the given, real region.
func burstRegion(region string) string { return "burst-" + region }

// inject applies the fault while the load runs.
func (t *Trial) inject(ctx context.Context, f *fleet) error {
	if t.Fault == KeyValueDown {
		f.keyValue.SetFaults(jwstand.Faults{Down: true})
		return nil
	}
	if err := jwclock.Sleep(ctx, t.warmUp()+t.Duration/4); err != nil {
		return err
	}
	region := f.Regions[0]
	switch t.Fault {
	case Loss:
		lostRunners := f.runners[region][1:]
		for _, r := range lostRunners {
			r.down()
		}
		err := jwclock.Sleep(ctx, t.Duration/3)
		for _, r := range lostRunners {
			r.up()
		}
		return err
	case PoorLinks:
		for _, l := range f.regionLinks {
			l.SetConditions(poorConditions)
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

// burst sends the load of one owner in addition to the main load.
func (t *Trial) burst(ctx context.Context, f *fleet, region string) error {
	name := burstRegion(region)
	rate := 4 * f.Capacity() / float64(len(f.Regions))
	load := &jwload.Load{
		Schedule: jwload.Schedule{
			Mix: f.Mix, Regions: []jwload.Region{{Name: name, Share: 1}}, Rate: rate, Seed: t.Seed + 1,
		},
		Duration:      t.Duration / 2,
		FollowRetries: true,
	}
	load.Hosts = f.callerAddresses()
	load.Hosts[name] = load.Hosts[region]
	err := load.Run(ctx)
	t.bursts = load.Report().Lines
	return err
}

// poison resends a request that crashes its runner, as its caller would, until
// the request is quarantined or after maxPoisonTries.
func (t *Trial) poison(ctx context.Context, f *fleet, region string) error {
	caller := newOperator()
	defer caller.close()
	regionNodes := f.nodes[region]
	for try := 0; ctx.Err() == nil; try++ {
		status, err := caller.sendPrompt(ctx, regionNodes[try%len(regionNodes)].CallersAddr(), f.firstRunnerEntry(), jwload.WorkspaceName(region, 0), crashPrompt)
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
	maxPoisonTries    = 40                     // retries of the poison request
	poisonPause       = 300 * time.Millisecond // between two sends
	statusQuarantined = 422                    // HTTP status for a request that crashed targets before
)

// firstRunnerEntry returns the name of the first entry that model runners
// serve.
func (f *fleet) firstRunnerEntry() string {
	for _, k := range f.Mix.Kinds {
		if k.Target == jwload.Runner {
			return k.Entry
		}
	}
	return ""
}
