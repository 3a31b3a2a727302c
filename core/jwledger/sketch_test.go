package jwledger

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const tolerance = 1e-6

func near(a, b float64) bool { return math.Abs(a-b) <= tolerance*max(1, math.Abs(a), math.Abs(b)) }

// checkSketch checks a sketch against what was offered: totals are exact, and each key is named with at
// most what it offered and at least that less Error.
func checkSketch(t *rapid.T, k *Sketch, offered map[Key]float64) {
	if len(k.Named) > k.Size {
		t.Fatalf("%d keys are named, at most %d may be", len(k.Named), k.Size)
	}
	var want [Levels]float64
	for key, n := range offered {
		want[key.Level] += n
		named := 0.0
		if s := k.Named[key]; s != nil {
			named = s.Offered
		}
		if named > n+tolerance || n > named+k.Error()+tolerance {
			t.Fatalf("%v offered %v, named with %v and error %v", key, n, named, k.Error())
		}
	}
	for level := range want {
		if got := k.Total(level); !near(got.Offered, want[level]) || !near(got.Admitted, want[level]/2) {
			t.Fatalf("level %d: total %+v, want offered %v", level, got, want[level])
		}
	}
}

func TestSketchError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "size")
		parts := rapid.IntRange(1, 4).Draw(t, "parts")
		offered := make(map[Key]float64)
		sum := Sketch{Size: size}
		for range parts {
			part := Sketch{Size: size}
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				// Small numbers are more likely, so that some workspaces are large.
				w := rapid.IntRange(0, rapid.IntRange(0, 30).Draw(t, "limit")).Draw(t, "workspace")
				key := Key{fmt.Sprint("w", w), rapid.IntRange(0, Levels-1).Draw(t, "level")}
				work := rapid.Float64Range(0.01, 3).Draw(t, "work")
				part.Add(key, Sums{Offered: work})
				part.Add(key, Sums{Admitted: work / 2})
				offered[key] += work
			}
			sum.Merge(&part)
		}
		checkSketch(t, &sum, offered)
	})
}

// A key that is decayed stays within the error, as all amounts shrink alike.
func TestDecayKeepsError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := Sketch{Size: 3}
		offered := make(map[Key]float64)
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			key := Key{fmt.Sprint("w", rapid.IntRange(0, 9).Draw(t, "workspace")), 0}
			work := rapid.Float64Range(0.1, 3).Draw(t, "work")
			k.Add(key, Sums{Offered: work, Admitted: work / 2})
			offered[key] += work
			if rapid.Bool().Draw(t, "decays") {
				k.decay(0.9)
				for key := range offered {
					offered[key] *= 0.9
				}
			}
		}
		checkSketch(t, &k, offered)
	})
}

// What a name had is decayed once when the name is dropped.
func TestDroppedNameIsDecayedOnce(t *testing.T) {
	k := Sketch{Size: 2}
	k.Add(Key{"w", 0}, Sums{Offered: minRate})
	k.decay(0.5)
	assert.Equal(t, len(k.Named), 0)
	assert.Equal(t, k.Total(0).Offered, minRate/2)
}

// A report states amounts in thousandths; everything else survives the way to another node.
func TestReportKeepsSketch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := Sketch{Size: ReportKeys}
		for range rapid.IntRange(0, 50).Draw(t, "requests") {
			key := Key{fmt.Sprint("w", rapid.IntRange(0, 30).Draw(t, "workspace")), rapid.IntRange(0, Levels-1).Draw(t, "level")}
			k.Add(key, Sums{Offered: float64(rapid.IntRange(1, 5000).Draw(t, "work")) / amountsPerUnit})
		}
		r := newServiceReport("s", &k)
		back := r.sketch(ReportKeys)
		for level := range Levels {
			if got, want := back.Total(level).Offered, k.Total(level).Offered; math.Abs(got-want) > float64(ReportKeys+1)/amountsPerUnit {
				t.Fatalf("level %d: %v, want %v", level, got, want)
			}
		}
		if len(back.Named) != len(k.Named) {
			t.Fatalf("%d keys, want %d", len(back.Named), len(k.Named))
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"nodes":3,"services":[{"service":"s","rest":[1,2,3],"names":["a"],"levels":[9],"amounts":[1,2,3,4,5,-6]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table := &Table{}
		if !mergeJSON(table, data) {
			return
		}
		v := table.Region(start, "s")
		for level := range Levels {
			if total := v.Total(level).Offered; total < 0 || math.IsInf(total, 0) || math.IsNaN(total) {
				t.Fatal(total)
			}
		}
	})
}
