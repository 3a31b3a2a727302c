package jwinstance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An engine takes 57 ms for a call plus 11 ms for each thousand tokens, and more for the later
// tokens of a long prompt. With a single rate learned from short prompts, a long prompt would be
// predicted to take twice as long as it does, and be rejected as too late.
func TestLatencyModelFit(t *testing.T) {
	cases := map[string]struct {
		base, thousand, square float64
		stall                  float64 // fraction of the samples that take a second longer
	}{
		"linear":             {57, 12, 0, 0},
		"rises with length":  {57, 11, 15, 0},
		"slow":               {200, 40, 0, 0},
		"some samples stall": {57, 11, 15, 0.005},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			var model latencyModel
			for range 2000 {
				own := int(math.Exp(r.NormFloat64()*0.9+7.5)) % 60_000
				ahead := 0
				if r.Float64() < 0.2 {
					ahead = r.IntN(8000)
				}
				k := float64(own) / 1000
				ms := c.base + c.thousand*(k+float64(ahead)/1000) + c.square*k*k/100
				ms *= 0.9 + 0.2*r.Float64()
				if r.Float64() < c.stall {
					ms += 1000
				}
				model.observe(ahead, own, duration(ms))
			}
			for _, own := range []int{500, 5000, 20_000, 40_000} {
				k := float64(own) / 1000
				want := c.base + c.thousand*k + c.square*k*k/100
				got := millis(model.predict(0, own))
				assert.Assert(t, math.Abs(got-want) < 0.2*want+20*c.stall*1000/100, "%d tokens take %.0f ms, predicted %.0f", own, want, got)
			}
		})
	}
}

// Predictions must stay sensible if there are no samples, or only samples of prompts of the same
// length, because the choice of targets depends on them.
func TestLatencyModelWithFewSamples(t *testing.T) {
	var model latencyModel
	assert.Equal(t, model.predict(0, 10_000), initialBase+10*initialPerThousand)
	for range 1000 {
		model.observe(0, 2000, 80*time.Millisecond)
	}
	got := millis(model.predict(0, 2000))
	assert.Assert(t, got > 70 && got < 90, "%.1f", got)
	assert.Assert(t, model.predict(0, 20_000) > model.predict(0, 2000))
	assert.Assert(t, model.predict(0, 20_000) < time.Second, "%s", model.predict(0, 20_000))
	for range 1000 {
		model.observe(0, 20_000, 0)
	}
	assert.Assert(t, model.predict(0, 0) >= minBase)
	assert.Assert(t, model.readTime(0, 1000) >= minPerThousand)
}

func BenchmarkLatencyModelObserve(b *testing.B) {
	var model latencyModel
	for i := range b.N {
		model.observe(i%3000, i%20_000, 100*time.Millisecond)
	}
}
