package jwgateway

import (
	"sync"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwplacement"
)

// forwardCounts counts the requests in flight that this node has forwarded, by node. The zero value
// is empty.
type forwardCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (f *forwardCounts) add(node string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[string]int)
	}
	if f.counts[node] += n; f.counts[node] == 0 {
		delete(f.counts, node)
	}
}

func (f *forwardCounts) at(node string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[node]
}

// chooseByCapacity returns the node of another region to forward a request to, by the capacity of
// the nodes and the requests in flight there. fraction, in [0, 1), spreads the requests.
func (g *Gateway) chooseByCapacity(nodes []jwmember.Member, fraction float64) jwmember.Member {
	list := make([]jwplacement.Candidate, 0, len(nodes))
	for _, m := range nodes {
		list = append(list, jwplacement.Candidate{Member: m, Connected: g.Nodes.IdleCount(m.Nodes) > 0, InFlight: g.forwards.at(m.Name)})
	}
	return jwplacement.PickByCapacity(list, fraction)
}
