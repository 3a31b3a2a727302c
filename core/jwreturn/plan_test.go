package jwreturn

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func fingerprint(n uint64) (f [16]byte) {
	binary.LittleEndian.PutUint64(f[:8], n*0x9e3779b97f4a7c15)
	binary.LittleEndian.PutUint64(f[8:], n*0xc2b2ae3d27d4eb4f+1)
	return f
}

func drawReturn(t *rapid.T) (time.Time, Return) {
	return time.Unix(0, rapid.Int64Range(1e18, 2e18).Draw(t, "now")), Return{
		Plan: Plan{
			Fingerprint: fingerprint(rapid.Uint64().Draw(t, "request")),
			Period:      Period(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "timeout")) * ms),
			Fraction:    rapid.Float64Range(0.001, 0.999).Draw(t, "fraction"),
		},
		MinWait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "least")) * ms, TimeLeft: time.Hour,
	}
}

// A caller that returns when it was told to, and some time late, is admitted at any node, also if that
// node's clock differs a little.
func TestReturnerIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, r := drawReturn(t)
		wait, ok := r.Wait(now)
		if !ok || wait < r.MinWait {
			t.Fatalf("%+v: told %v, %v", r, wait, ok)
		}
		late := time.Duration(rapid.IntRange(-25, 140).Draw(t, "late")) * ms
		if !r.Admits(now.Add(wait + late)) {
			t.Fatalf("%+v: rejected after %v, told %v", r, wait+late, wait)
		}
	})
}

// A caller that returns before its slot is rejected and told the same slot, however often it returns.
func TestEarlyReturnGainsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, r := drawReturn(t)
		r.MinWait = 0
		if r.Admits(now) {
			return
		}
		wait, _ := r.Wait(now)
		early := now.Add(time.Duration(rapid.Float64Range(0, 0.999).Draw(t, "early") * float64(wait-margin)))
		if r.Admits(early) {
			t.Fatalf("%+v: admitted at %v, told %v", r, early.Sub(now), wait)
		}
		again, _ := r.Wait(early)
		if got := early.Add(again); got.Sub(now.Add(wait)).Abs() > ms {
			t.Fatalf("%+v: told %v, then %v", r, wait, got.Sub(now))
		}
	})
}

// Who was admitted by a smaller part is by a larger one, so growing room keeps what was told.
func TestSlotsAreNested(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, r := drawReturn(t)
		larger := r.Plan
		larger.Fraction = rapid.Float64Range(r.Fraction, 1).Draw(t, "larger")
		start, _ := r.Wait(now)
		if at := now.Add(start); r.Admits(at) && !larger.Admits(at) {
			t.Fatalf("%+v: rejected by %v", r, larger.Fraction)
		}
	})
}

// Nobody is told to return later than callers honour.
func TestWaitIsHonoured(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, r := drawReturn(t)
		r.TimeLeft = time.Duration(rapid.IntRange(0, 15_000).Draw(t, "left")) * ms
		if wait, ok := r.Wait(now); ok && wait > r.TimeLeft/3 {
			t.Fatalf("%+v: told %v", r, wait)
		}
	})
}

// The part admitted is the fraction, at any time.
func TestFraction(t *testing.T) {
	for _, fraction := range []float64{0.01, 0.05, 0.2, 0.5, 0.9, 1} {
		for _, at := range []time.Duration{0, 333 * ms, 5 * time.Second} {
			admitted := 0
			const n = 20_000
			for i := range n {
				p := Plan{Fingerprint: fingerprint(uint64(i + 1)), Period: MaxPeriod, Fraction: fraction}
				if p.Admits(time.Unix(1_000_000, 0).Add(at)) {
					admitted++
				}
			}
			assert.Assert(t, math.Abs(float64(admitted)/n-fraction) < 0.01, "%v at %v: %d", fraction, at, admitted)
		}
	}
}

// A wave of callers that is rejected at one moment returns spread over the period.
func TestReturnersAreSpread(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var counts [20]int
	for i := range 10_000 {
		r := Return{Plan: Plan{Fingerprint: fingerprint(uint64(i + 1)), Period: MaxPeriod, Fraction: 0.3}, TimeLeft: 15 * time.Second}
		if r.Admits(now) {
			continue
		}
		wait, ok := r.Wait(now)
		assert.Assert(t, ok)
		counts[int(20*float64(wait)/float64(MaxPeriod))]++
	}
	for i, n := range counts[1:14] {
		assert.Assert(t, math.Abs(float64(n)-500) < 100, "%d: %v", i+1, counts)
	}
}

// A node whose clock was stepped admits the callers that it told itself to return. Those that another node
// told are rejected once more and told the node's own time.
func TestClockStep(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for i := range 1000 {
		r := Return{Plan: Plan{Fingerprint: fingerprint(uint64(i + 1)), Period: MaxPeriod, Fraction: 0.3}, TimeLeft: time.Minute}
		wait, _ := r.Wait(now)
		stepped := now.Add(wait).Add(-777 * ms)
		wait, ok := r.Wait(stepped)
		assert.Assert(t, ok)
		assert.Assert(t, r.Admits(stepped.Add(wait)))
	}
}

func TestPeriod(t *testing.T) {
	cases := map[string]struct{ timeout, want time.Duration }{
		"no limit":   {0, MaxPeriod},
		"long":       {time.Minute, MaxPeriod},
		"short":      {4 * time.Second, time.Second},
		"very short": {time.Second, MinPeriod},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, Period(c.timeout), c.want) })
	}
}

func BenchmarkWait(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	r := Return{Plan: Plan{Fingerprint: fingerprint(7), Period: MaxPeriod, Fraction: 0.01}, TimeLeft: time.Minute}
	b.ReportAllocs()
	for b.Loop() {
		r.Wait(now)
	}
}
