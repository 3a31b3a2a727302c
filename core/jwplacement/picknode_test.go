package jwplacement

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwmember"
)

func candidate(name string, capacity, inFlight int) Candidate {
	return Candidate{Member: jwmember.Member{Name: name, Capacity: capacity}, InFlight: inFlight}
}

// Nodes differ fourfold in processor, link and memory. With equal parts the small ones would be full
// while the large ones are idle.
func TestPickByCapacityIsInProportion(t *testing.T) {
	const picks = 10000
	nodes := []Candidate{candidate("small", 100, 0), candidate("large", 400, 0), candidate("unknown", 0, 0)}
	r := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range picks {
		name := PickByCapacity(nodes, r.Float64()).Name
		counts[name]++
		for i := range nodes {
			if nodes[i].Name == name {
				nodes[i].InFlight++
			}
			for range nodes[i].InFlight { // about twenty requests are in flight
				if r.Float64() < 0.05 {
					nodes[i].InFlight--
				}
			}
		}
	}
	assert.Assert(t, counts["large"] > 3*counts["small"] && counts["large"] < 6*counts["small"], "%v", counts)
	assert.Assert(t, counts["unknown"] > counts["small"] && counts["unknown"] < counts["large"], "%v", counts)
}

func TestPickByCapacity(t *testing.T) {
	connected := candidate("b", 100, 5)
	connected.Connected = true
	cases := map[string]struct {
		nodes []Candidate
		want  string // at every point
	}{
		"one":                       {[]Candidate{candidate("a", 0, 9)}, "a"},
		"the connected one":         {[]Candidate{candidate("a", 400, 0), connected}, "b"},
		"capacities are not known":  {[]Candidate{candidate("a", 0, 0)}, "a"},
		"a node without a capacity": {[]Candidate{candidate("a", -1, 0)}, "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				point := rapid.Float64Range(0, 0.999999).Draw(t, "point")
				assert.Equal(t, PickByCapacity(c.nodes, point).Name, c.want)
			})
		})
	}
}
