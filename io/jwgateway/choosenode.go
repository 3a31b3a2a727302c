package jwgateway

import (
	"sync"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwplacement"
)

// forwardTable holds the requests in flight at other nodes. The zero value is empty.
type forwardTable struct {
	mu    sync.Mutex
	nodes map[string]*nodeForwards
}

// nodeForwards are the requests in flight at one node.
type nodeForwards struct {
	inFlight int
	names    map[string]int // number of forwards by each of their names
}

// begin records that a request is forwarded to a node, by the names under which that node may ask for it. The
// returned function records its end.
func (f *forwardTable) begin(node string, names ...string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes == nil {
		f.nodes = make(map[string]*nodeForwards)
	}
	n := f.nodes[node]
	if n == nil {
		n = &nodeForwards{names: make(map[string]int)}
		f.nodes[node] = n
	}
	n.inFlight++
	for _, name := range names {
		n.names[name]++
	}
	return func() { f.end(node, names) }
}

func (f *forwardTable) end(node string, names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[node]
	for _, name := range names {
		if n.names[name]--; n.names[name] == 0 {
			delete(n.names, name)
		}
	}
	if n.inFlight--; n.inFlight == 0 {
		delete(f.nodes, node)
	}
}

// at returns the number of requests in flight at a node.
func (f *forwardTable) at(node string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[node]; n != nil {
		return n.inFlight
	}
	return 0
}

// without returns those of the names that no request in flight at a node has.
func (f *forwardTable) without(node string, names []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[node]
	var list []string
	for _, name := range names {
		if n == nil || n.names[name] == 0 {
			list = append(list, name)
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
