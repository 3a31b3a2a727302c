package jwmemory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Whatever is reserved and released in whatever order, the account never exceeds its
// budget, and is empty once all is released.
func TestAccountStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Account{Budget: rapid.Int64Range(0, 1<<20).Draw(t, "budget")}
		type reservation struct {
			kind  Kind
			bytes int64
		}
		var open []reservation
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				request, body := rapid.Int64Range(0, 1<<16).Draw(t, "request"), rapid.Int64Range(0, 1<<16).Draw(t, "body")
				before := a.Total()
				if a.Admit(request, body) {
					open = append(open, reservation{Requests, request}, reservation{Bodies, body})
				} else if a.Total() != before {
					t.Fatalf("a rejected request changed the total from %d to %d", before, a.Total())
				}
			},
			"reserve": func(t *rapid.T) {
				r := reservation{rapid.SampledFrom(Kinds()).Draw(t, "kind"), rapid.Int64Range(0, 1<<18).Draw(t, "bytes")}
				fits := a.Budget == 0 || a.Total()+r.bytes <= a.Budget
				if a.Reserve(r.kind, r.bytes) != fits {
					t.Fatalf("%+v with %d of %d held", r, a.Total(), a.Budget)
				}
				if fits {
					open = append(open, r)
				}
			},
			"release": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				a.Release(open[i].kind, open[i].bytes)
				open = append(open[:i], open[i+1:]...)
			},
			"": func(t *rapid.T) {
				byKind := map[Kind]int64{}
				total := int64(0)
				for _, r := range open {
					byKind[r.kind] += r.bytes
					total += r.bytes
				}
				if a.Total() != total || a.Budget > 0 && total > a.Budget {
					t.Fatalf("total %d, want %d of %d", a.Total(), total, a.Budget)
				}
				for _, k := range Kinds() {
					if a.Held(k) != byKind[k] {
						t.Fatalf("%s: %d, want %d", k, a.Held(k), byKind[k])
					}
				}
			},
		})
		for _, r := range open {
			a.Release(r.kind, r.bytes)
		}
		if a.Total() != 0 {
			t.Fatalf("%d bytes held in the end", a.Total())
		}
	})
}

// Requests must not fill the budget that the answers of those in flight need.
func TestAdmissionLeavesRoomForAnswers(t *testing.T) {
	a := Account{Budget: Budget(4000)}
	assert.Equal(t, a.Budget, int64(1000))
	assert.Assert(t, a.Admit(500, 250))
	assert.Assert(t, !a.Admit(0, 1))
	assert.Assert(t, a.Reserve(Answers, 250))
	assert.Assert(t, !a.Reserve(Answers, 1))
}

func TestShed(t *testing.T) {
	cases := map[string]struct {
		streams []Stream
		want    uint64 // 0 for none
	}{
		"none":                          {nil, 0},
		"the one stalled longest":       {[]Stream{{1, true, 2 * time.Second, 9}, {2, true, 3 * time.Second, 1}}, 2},
		"of equals, the one with most":  {[]Stream{{1, true, 2 * time.Second, 1}, {2, true, 2 * time.Second, 2}}, 2},
		"not one that can't be resumed": {[]Stream{{1, false, 9 * time.Second, 9}, {2, true, 2 * time.Second, 1}}, 2},
		"not one that reads":            {[]Stream{{1, true, MinStall - 1, 9}}, 0},
		"not one that holds nothing":    {[]Stream{{1, true, 9 * time.Second, 0}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := Shed(c.streams)
			assert.Equal(t, got.ID, c.want)
			assert.Equal(t, ok, c.want != 0)
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	a := Account{Budget: 1 << 30}
	for b.Loop() {
		a.Admit(1<<15, 1<<10)
		a.Release(Requests, 1<<15)
		a.Release(Bodies, 1<<10)
	}
}
