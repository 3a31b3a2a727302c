package jwplacement

import (
	"math"

	"jujubewheel/core/jwmember"
)

// Candidate is a node of another region that may get a request.
type Candidate struct {
	jwmember.Member
	Connected bool // a connection to it is open
	InFlight  int  // requests that this node has forwarded to it and that are not answered
}

// PickByCapacity selects one of the nodes of a region by a point in [0, 1). Like PickNode it
// prefers connected ones. Of two nodes chosen in proportion to their capacity it returns the one with
// fewer requests in flight for its capacity. A node of unknown capacity counts as an average one.
func PickByCapacity(nodes []Candidate, point float64) jwmember.Member {
	var connected []Candidate
	for _, c := range nodes {
		if c.Connected {
			connected = append(connected, c)
		}
	}
	if len(connected) > 0 {
		nodes = connected
	}
	weights := capacities(nodes)
	const lowerBits = 1 << 16 // the point's bits below these are independent of its others
	_, second := math.Modf(point * lowerBits)
	a, b := weightedIndex(weights, point), weightedIndex(weights, second)
	if load(nodes[b], weights[b]) < load(nodes[a], weights[a]) {
		a = b
	}
	return nodes[a].Member
}

// load returns the requests in flight that a node would have, for its capacity.
func load(c Candidate, capacity float64) float64 { return float64(c.InFlight+1) / capacity }

// capacities returns the capacity of each node, or the average of the others where it is unknown.
func capacities(nodes []Candidate) []float64 {
	sum, known := 0, 0
	for _, c := range nodes {
		if c.Capacity > 0 {
			sum += c.Capacity
			known++
		}
	}
	average := 1.0
	if known > 0 {
		average = float64(sum) / float64(known)
	}
	list := make([]float64, len(nodes))
	for i, c := range nodes {
		list[i] = float64(c.Capacity)
		if c.Capacity <= 0 {
			list[i] = average
		}
	}
	return list
}

// weightedIndex returns the index at a point in [0, 1) if each has a part in proportion to its weight.
func weightedIndex(weights []float64, point float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	rest := point * total
	for i, w := range weights {
		if rest -= w; rest < 0 {
			return i
		}
	}
	return len(weights) - 1
}
