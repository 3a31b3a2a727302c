package jwshare

import (
	"cmp"
	"math"
	"slices"

	"jujubewheel/core/jwledger"
)

// levelFloor is the part of the room that each level gets if it asks for that much, whatever more urgent
// levels ask for.
const levelFloor = 0.05

// precedence is how many times its part of the room a workspace may take ahead of the less urgent requests
// of others. What it asks for beyond that comes after them.
const precedence = 1.5

// Claim is what a workspace, or several of equal weight together, ask for at one level.
type Claim struct {
	Level     int
	Work      float64 // a second
	Weight    float64 // relative to other claims; the sum of all workspaces that the claim stands for
	Workspace string  // the same for all claims of a workspace
}

// Fill divides the room among the claims and returns what each gets. Without shortage each gets what it
// asks for.
func Fill(room float64, claims []Claim) []float64 {
	base, excess := split(room, claims)
	granted := fillByLevel(room, base)
	for i, more := range fillByLevel(room-sum(granted), excess) {
		granted[i] += more
	}
	return granted
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// split splits each claim into what counts by its urgency and what its workspace asks for beyond
// precedence. The most urgent claims of a workspace count first.
func split(room float64, claims []Claim) (base, excess []Claim) {
	weights := make(map[string]float64, len(claims))
	for _, c := range claims {
		if c.Work > 0 {
			weights[c.Workspace] = max(weights[c.Workspace], c.weight())
		}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	left := make(map[string]float64, len(weights))
	for workspace, w := range weights {
		left[workspace] = precedence * max(room, 0) * w / total
		if len(weights) == 1 {
			left[workspace] = math.Inf(1)
		}
	}
	base, excess = slices.Clone(claims), slices.Clone(claims)
	for level := range jwledger.Levels {
		for i, c := range claims {
			if c.Level == level {
				base[i].Work = min(c.Work, left[c.Workspace])
				excess[i].Work = c.Work - base[i].Work
				left[c.Workspace] -= base[i].Work
			}
		}
	}
	return base, excess
}

// fillByLevel divides the room by levels and, within each, by weighted max-min fairness.
func fillByLevel(room float64, claims []Claim) []float64 {
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
