package jwshare

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwledger"
)

const tolerance = 1e-6

func drawClaims(t *rapid.T) []Claim {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
		return Claim{
			Level:  rapid.IntRange(0, jwledger.Levels-1).Draw(t, "level"),
			Work:   rapid.Float64Range(0, 20).Draw(t, "work"),
			Weight: rapid.Float64Range(0.1, 50).Draw(t, "weight"),
		}
	}), 1, 20).Draw(t, "claims")
}

func sumOf(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

func TestFillProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		room := rapid.Float64Range(0.1, 100).Draw(t, "room")
		granted := Fill(room, claims)
		checkSum(t, room, claims, granted)
		checkFair(t, claims, granted)
		checkUrgency(t, room, claims, granted)
	})
}

// checkSum checks that the shares sum to the room, or to what is asked for if that is less.
func checkSum(t *rapid.T, room float64, claims []Claim, granted []float64) {
	asked := 0.0
	for i, c := range claims {
		asked += c.Work
		if granted[i] < 0 || granted[i] > c.Work+tolerance {
			t.Fatalf("claim %d of %v gets %v", i, c.Work, granted[i])
		}
		if c.Work > 0 && granted[i] <= 0 {
			t.Fatalf("claim %d is starved", i)
		}
	}
	if got := sumOf(granted); math.Abs(got-min(room, asked)) > tolerance {
		t.Fatalf("%v is granted, asked for are %v with room for %v", got, asked, room)
	}
}

// checkFair checks that within a level no claim is limited while another gets more for its weight.
func checkFair(t *rapid.T, claims []Claim, granted []float64) {
	for i, a := range claims {
		for j, b := range claims {
			if a.Level == b.Level && granted[i] < a.Work-tolerance && granted[j]/b.Weight > granted[i]/a.Weight+tolerance {
				t.Fatalf("claim %d is limited to %v, while %d gets %v", i, granted[i], j, granted[j])
			}
		}
	}
}

// checkUrgency checks that a level gets more than its floor only if the more urgent ones get all they ask for.
func checkUrgency(t *rapid.T, room float64, claims []Claim, granted []float64) {
	var asked, got [jwledger.Levels]float64
	for i, c := range claims {
		asked[c.Level] += c.Work
		got[c.Level] += granted[i]
	}
	for level := range asked {
		floor := min(asked[level], levelFloor*room)
		if got[level] < floor-tolerance {
			t.Fatalf("level %d gets %v, its floor is %v", level, got[level], floor)
		}
		if level > 0 && got[level] > floor+tolerance && got[level-1] < asked[level-1]-tolerance {
			t.Fatalf("level %d gets %v while level %d is limited", level, got[level], level-1)
		}
	}
}

func TestFill(t *testing.T) {
	cases := map[string]struct {
		room   float64
		claims []Claim
		want   []float64
	}{
		"room for all":         {10, []Claim{{0, 4, 1}, {2, 5, 1}}, []float64{4, 5}},
		"one is greedy":        {10, []Claim{{0, 2, 1}, {0, 2, 1}, {0, 14, 1}}, []float64{2, 2, 6}},
		"weights":              {9, []Claim{{0, 9, 1}, {0, 9, 2}}, []float64{3, 6}},
		"urgent first":         {10, []Claim{{2, 8, 1}, {0, 8, 1}}, []float64{2, 8}},
		"least urgent floor":   {10, []Claim{{2, 8, 1}, {0, 20, 1}}, []float64{0.5, 9.5}},
		"unused floor is lent": {10, []Claim{{2, 0.1, 1}, {0, 20, 1}}, []float64{0.1, 9.9}},
		"no room":              {0, []Claim{{0, 8, 1}}, []float64{0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Fill(c.room, c.claims)
			for i := range got {
				assert.Assert(t, math.Abs(got[i]-c.want[i]) < tolerance, "%v", got)
			}
		})
	}
}
