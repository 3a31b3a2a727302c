package jwshare

import (
	"hash/fnv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwledger"
)

const ranksPerLevel = 128

// threshold is the other rule that was weighed, overload control by an adaptive threshold as published
// for DAGOR: requests are ordered by level and by a hash of their workspace, and those beyond a threshold
// are rejected. The threshold falls by 5% of the work admitted while targets are pressed and rises by 1%
// otherwise.
type threshold struct {
	at       time.Time
	admitted float64 // work a second; 0 admits all
	last     int     // highest rank that is admitted
}

func rank(k jwledger.Key) int {
	h := fnv.New32a()
	h.Write([]byte(k.Workspace))
	return k.Level*ranksPerLevel + int(h.Sum32()%ranksPerLevel)
}

func (x *threshold) Due(now time.Time) bool { return now.Sub(x.at) >= PlanInterval || now.Before(x.at) }

func (x *threshold) Update(now time.Time, v jwledger.View, s Supply) {
	x.at = now
	var work [jwledger.Levels * ranksPerLevel]float64
	total, admitted := 0.0, 0.0
	for key, sums := range v.Named {
		work[rank(key)] += sums.Offered
		total += sums.Offered
		admitted += sums.Admitted
	}
	switch {
	case s.pressed(waitHigh):
		x.admitted = 0.95 * admitted
	case x.admitted > 0:
		x.admitted *= 1.01
	}
	if x.admitted > total {
		x.admitted = 0
	}
	sum := 0.0
	for x.last = 0; x.last < len(work)-1; x.last++ {
		if sum += work[x.last]; x.admitted > 0 && sum >= x.admitted {
			return
		}
	}
}

func (x *threshold) Decide(_ time.Time, key jwledger.Key, _ func(float64) bool) Decision {
	return Decision{Admitted: x.admitted == 0 || rank(key) <= x.last}
}

// admitAll is no control, with the queue alone rejecting.
type admitAll struct{}

func (admitAll) Due(time.Time) bool                      { return false }
func (admitAll) Update(time.Time, jwledger.View, Supply) {}
func (admitAll) Decide(_ time.Time, _ jwledger.Key, _ func(float64) bool) Decision {
	return Decision{Admitted: true}
}

// Shares serve more, and starve fewer, than the alternatives under the same load. The figures are in
// docs/design/shares.md.
func TestCompareRules(t *testing.T) {
	rules := map[string]func() decider{
		"shares": newShares, "threshold": func() decider { return &threshold{} }, "queue alone": func() decider { return admitAll{} },
	}
	all := func(jwledger.Key) bool { return true }
	type result struct{ urgent, worst, all float64 }
	greedy, wave := map[string]result{}, map[string]result{}
	for name, rule := range rules {
		r := newRegion(20, rule, even(8, 2, 0.2)...)
		r.run(5 * time.Second)
		r.scale(7, isGreedy)
		r.run(4 * time.Second)
		got := r.run(10 * time.Second)
		others := func(k jwledger.Key) bool { return !isGreedy(k) }
		greedy[name] = result{servedShare(got, func(k jwledger.Key) bool { return others(k) && urgent(k) }), worst(got, others), servedShare(got, all)}

		r = newRegion(20, rule, even(8, 1, 1)...)
		r.run(5 * time.Second)
		r.scale(5, func(k jwledger.Key) bool { return !urgent(k) })
		r.run(4 * time.Second)
		got = r.run(10 * time.Second)
		wave[name] = result{servedShare(got, urgent), worst(got, all), servedShare(got, all)}
		t.Logf("%s: greedy workspace, others: urgent %.2f, worst %.2f, all %.2f; wave of long prompts: urgent %.2f, worst %.2f, all %.2f", name,
			greedy[name].urgent, greedy[name].worst, greedy[name].all, wave[name].urgent, wave[name].worst, wave[name].all)
	}
	for _, other := range []string{"threshold", "queue alone"} {
		assert.Assert(t, greedy["shares"].urgent >= greedy[other].urgent)
		assert.Assert(t, greedy["shares"].worst >= greedy[other].worst)
		assert.Assert(t, wave["shares"].worst >= wave[other].worst)
	}
}
