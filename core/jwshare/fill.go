package jwshare

import (
	"cmp"
	"slices"

	"jujubewheel/core/jwledger"
)

// levelFloor is the part of the room that each level gets if it asks for that much, whatever more urgent
// levels ask for.
const levelFloor = 0.05

// Claim is what a workspace, or several of equal weight together, ask for at one level.
type Claim struct {
	Level  int
	Work   float64 // a second
	Weight float64 // relative to other claims; the sum of all workspaces that the claim stands for
}

// Fill divides the room among the claims and returns what each gets. Without shortage each gets what it
// asks for.
func Fill(room float64, claims []Claim) []float64 {
	granted := make([]float64, len(claims))
	byLevel := levelRooms(room, claims)
	for level, r := range byLevel {
		fillLevel(r, level, claims, granted)
	}
	return granted
}

// levelRooms returns the room of each level: its floor, and what more urgent levels leave.
func levelRooms(room float64, claims []Claim) [jwledger.Levels]float64 {
	var asked, rooms [jwledger.Levels]float64
	for _, c := range claims {
		asked[c.Level] += c.Work
	}
	left := max(room, 0)
	for level := range rooms {
		rooms[level] = min(asked[level], levelFloor*max(room, 0))
		left -= rooms[level]
	}
	for level := range rooms {
		more := min(asked[level]-rooms[level], left)
		rooms[level] += more
		left -= more
	}
	return rooms
}

// fillLevel divides the room of a level by weighted max-min fairness: claims are served in the order of
// their work by weight, each up to its part of what is left.
func fillLevel(room float64, level int, claims []Claim, granted []float64) {
	var order []int
	weights := 0.0
	for i, c := range claims {
		if c.Level == level && c.Work > 0 {
			order = append(order, i)
			weights += c.weight()
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(claims[a].Work*claims[b].weight(), claims[b].Work*claims[a].weight()), cmp.Compare(a, b))
	})
	for _, i := range order {
		w := claims[i].weight()
		granted[i] = min(claims[i].Work, room*w/weights)
		room -= granted[i]
		weights -= w
	}
}

// minWeight keeps a claim without a weight from being starved.
const minWeight = 1e-6

func (c Claim) weight() float64 { return max(c.Weight, minWeight) }
