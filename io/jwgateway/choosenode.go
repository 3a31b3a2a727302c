package jwgateway

import (
	"sync"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwplacement"
)

// forwardTable holds the requests in flight at other nodes. The zero value is empty.
type forwardTable struct {
	mu       sync.Mutex
	requests map[string]map[string]int // number of forwards by node and request
}

// begin records that a request is forwarded to a node. The returned function records its end.
func (f *forwardTable) begin(node, request string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[string]map[string]int)
	}
	if f.requests[node] == nil {
		f.requests[node] = make(map[string]int)
	}
	f.requests[node][request]++
	return func() { f.end(node, request) }
}

func (f *forwardTable) end(node, request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.requests[node]
	if list[request]--; list[request] == 0 {
		delete(list, request)
	}
	if len(list) == 0 {
		delete(f.requests, node)
	}
}

// at returns the number of requests in flight at a node.
func (f *forwardTable) at(node string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests[node])
}

// without returns those of the requests that are not in flight at a node.
func (f *forwardTable) without(node string, requests []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, r := range requests {
		if f.requests[node][r] == 0 {
			list = append(list, r)
		}
	}
	return list
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
