package jwquota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwworkspace"
)

func TestLevelShare(t *testing.T) {
	cases := map[string]struct {
		demand LevelRates
		level  int
		want   float64
	}{
		"enough for all":                       {LevelRates{100, 200, 300}, 2, 1},
		"nothing known":                        {LevelRates{}, 1, 1},
		"what the urgent ones leave":           {LevelRates{600, 0, 800}, 2, 0.5},
		"two more urgent levels":               {LevelRates{300, 300, 800}, 2, 0.5},
		"the minimum under an urgent flood":    {LevelRates{5000, 0, 500}, 2, 0.1},
		"a small level is served in full":      {LevelRates{5000, 0, 50}, 2, 1},
		"less urgent demand takes from no one": {LevelRates{400, 600, 9000}, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, levelShare(1000, c.demand, c.level), c.want) })
	}
}

// While a workspace sends many times its quota, the units go to its urgent requests first, and
// the less urgent ones still get their minimum.
func TestUrgentRequestsOfAFlood(t *testing.T) {
	quotas := map[string]jwworkspace.Quota{"hot1": tokenQuota(400_000), "calm2": tokenQuota(60_000)}
	f := newFleet(11, 58, 6, 3, tokenBounds, quotas)
	f.byUrgency = true
	f.run(10*time.Second, nil)
	f.run(20*time.Second, func() {
		f.traffic("hot1", 3*400_000, 0)
		f.traffic("calm2", 60_000/1.8, 1)
	})
	urgent, requested := f.rejectedUrgent["hot1"], f.requestedUrgent["hot1"]
	less := f.requestedUnits["hot1"] - requested
	lessRejected := f.rejectedUnits["hot1"] - urgent
	t.Logf("urgent: %.0f of %.0f rejected; less urgent: %.0f of %.0f", urgent, requested, lessRejected, less)
	assert.Assert(t, requested < 20*400_000, "the urgent requests alone exceed the quota")
	assert.Assert(t, urgent < 0.1*requested, "%.0f of %.0f urgent units rejected", urgent, requested)
	assert.Assert(t, less-lessRejected > 0.04*20*400_000, "the less urgent requests are starved: %.0f units", less-lessRejected)
	assert.Assert(t, f.rejectedUnits["calm2"] < 0.02*f.requestedUnits["calm2"])
	assert.Assert(t, f.maxSpent("hot1") <= tokenBounds.MaxUnits(quotas["hot1"]))
}

// Without a shortage, no request yields to more urgent ones.
func TestNothingYieldsWithinQuota(t *testing.T) {
	quotas := map[string]jwworkspace.Quota{"w": tokenQuota(800_000)}
	f := newFleet(13, 58, 6, 3, tokenBounds, quotas)
	f.byUrgency = true
	f.run(10*time.Second, nil)
	start := f.now
	f.run(24*time.Second, func() { f.traffic("w", 800_000/1.8, int(f.now.Sub(start)/(12*time.Second))) })
	assert.Assert(t, f.rejectedUnits["w"] < f.ideal["w"].rejected+0.02*f.requestedUnits["w"], "%.0f of %.0f rejected", f.rejectedUnits["w"], f.requestedUnits["w"])
}

// The shares of all levels leave each level its minimum and give away no more than the quota
// beyond these minimums.
func TestLevelSharesSumToTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 1e6).Draw(t, "rate")
		var demand LevelRates
		for i := range demand {
			demand[i] = rapid.Float64Range(0, 1e7).Draw(t, "demand")
		}
		sum := 0.0
		for i := range demand {
			share := levelShare(rate, demand, i)
			sum += share * demand[i]
			if share < 1 && share*demand[i] < minLevelShare*rate*0.999 {
				t.Fatalf("level %d gets %f of %f", i, share*demand[i], rate)
			}
		}
		if sum > rate*(1+UrgencyLevels*minLevelShare) {
			t.Fatalf("%f given of %f", sum, rate)
		}
	})
}
