package jwresolver

import (
	"cmp"
	"slices"
	"time"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwtarget"
)

const (
	// TTL is how long callers may use an answer. It bounds how long callers still
	// send requests to a node that is stopping.
	TTL = time.Second
	// OveruseFactor is how many times the TTL of an answer some callers use it.
	OveruseFactor = 3
	// Linger is how long a node accepts requests after its planned stop begins: as
	// long as any caller may use an answer that was given before.
	Linger = OveruseFactor * TTL
	// minTTL is the shortest TTL of an answer with stopping nodes: callers must get
	// an answer with other nodes before these end.
	minTTL = 300 * time.Millisecond
	// standInTTL is the TTL of an answer with nodes of other regions. In a rolling
	// restart the caller's own region is back within a second or two. Until then,
	// requests bound to regions without stand-ins take an additional round trip.
	standInTTL = 300 * time.Millisecond
	// maxNodes is the maximum number of nodes in an answer.
	maxNodes = 64
	// minNamed is the number of nodes up to which none is left out for its capacity: callers
	// need others when some don't answer.
	minNamed = 4
)

// Kind says which nodes an answer contains.
type Kind string

// The kinds of answers.
const (
	Own      Kind = "own"      // nodes of the caller's region
	Stopping Kind = "stopping" // nodes of the caller's region that are stopping and still accept requests
	StandIns Kind = "standIns" // nodes of other regions
	NoNodes  Kind = "nobody"   // no nodes
)

// View is what the node that answers knows of the other nodes. All lists are sorted by name.
type View struct {
	Caller         string                                   // address of the caller, which always gets the same selection of many nodes
	InRegion       []jwmember.Member                        // serving nodes of the caller's region
	StoppingNodes  []jwmember.StoppingNode                  // nodes of the caller's region in a planned stop
	Linger         time.Duration                            // how long nodes accept requests after their stop begins
	All            []jwmember.Member                        // serving nodes of all regions
	ByCapacity     bool                                     // nodes are returned to callers in proportion to their capacity
	Turn           uint64                                   // with ByCapacity the selection for a caller changes with it
	Ready          bool                                     // whether the node knows enough of other regions to return their nodes
	ChooseStandIns func(regions []string) (chosen []string) // chooses, of the regions with nodes, those that stand in for the caller's
}

// Answer contains the nodes that a caller should connect to.
type Answer struct {
	Kind  Kind
	Nodes []jwmember.Member
	TTL   time.Duration // how long the caller may use the answer, 0 if it has no nodes
}

// Resolve returns the serving nodes of the caller's region if there are any, else
// its stopping nodes that will accept requests for some time, and only without
// either the nodes of other regions. A node that has just started knows no others
// and would return itself to every caller, so it returns no nodes of other regions
// before View.Ready.
func Resolve(v View) Answer {
	if len(v.InRegion) > 0 {
		return v.answer(Own, v.InRegion, TTL)
	}
	if nodes, ttl := stoppingNodes(v.StoppingNodes, v.Linger); len(nodes) > 0 {
		return v.answer(Stopping, nodes, ttl)
	}
	if !v.Ready {
		return Answer{Kind: NoNodes}
	}
	if nodes := standIns(v); len(nodes) > 0 {
		return v.answer(StandIns, nodes, standInTTL)
	}
	return Answer{Kind: NoNodes}
}

// stoppingNodes returns the stopping nodes that still accept requests when the callers that
// use the answer longest send theirs, and the TTL of the answer, which is set by the
// node among them that ends first.
func stoppingNodes(list []jwmember.StoppingNode, linger time.Duration) (nodes []jwmember.Member, ttl time.Duration) {
	ttl = TTL
	for _, l := range list {
		d := min((linger-l.Since)/OveruseFactor, TTL)
		if d < minTTL {
			continue
		}
		nodes = append(nodes, l.Member)
		ttl = min(ttl, d)
	}
	return nodes, ttl
}

// standIns returns the nodes of the regions that View.ChooseStandIns chooses to stand in
// for the caller's own: those that may serve most of the requests bound to certain regions.
func standIns(v View) []jwmember.Member {
	var regions []string
	for _, m := range v.All {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	regions = v.ChooseStandIns(regions)
	var nodes []jwmember.Member
	for _, m := range v.All {
		if slices.Contains(regions, m.Region) {
			nodes = append(nodes, m)
		}
	}
	return nodes
}

// answer returns an answer with the nodes or, of more than maxNodes, those that score highest
// for the caller in rendezvous hashing. With the same selection for all callers the other
// nodes would get no callers, and with a random one callers would drop their connections
// at each answer.
func (v View) answer(k Kind, nodes []jwmember.Member, ttl time.Duration) Answer {
	if v.ByCapacity {
		return Answer{Kind: k, Nodes: v.byCapacity(nodes), TTL: ttl}
	}
	if len(nodes) > maxNodes {
		caller := jwtarget.NameKey(v.Caller)
		nodes = slices.Clone(nodes)
		slices.SortFunc(nodes, func(a, b jwmember.Member) int {
			return cmp.Compare(jwtarget.Mix(caller, jwtarget.NameKey(b.Name)), jwtarget.Mix(caller, jwtarget.NameKey(a.Name)))
		})
		nodes = nodes[:maxNodes]
	}
	return Answer{Kind: k, Nodes: nodes, TTL: ttl}
}

// byCapacity leaves nodes out of the answer, each for a part of the callers, so that the
// number of callers that get a node is in proportion to its capacity: callers choose among the
// addresses evenly. It returns all nodes if there are few or a capacity is unknown.
func (v View) byCapacity(nodes []jwmember.Member) []jwmember.Member {
	largest := 0
	for _, m := range nodes {
		if m.Capacity <= 0 {
			return v.withoutCapacity(nodes)
		}
		largest = max(largest, m.Capacity)
	}
	if len(nodes) <= minNamed {
		return nodes
	}
	caller := jwtarget.Mix(jwtarget.NameKey(v.Caller), v.Turn)
	type scored struct {
		jwmember.Member
		score float64 // below 1 if the caller gets the node
	}
	list := make([]scored, 0, len(nodes))
	named := 0
	for _, m := range nodes {
		fraction := float64(jwtarget.Mix(caller, jwtarget.NameKey(m.Name))>>11) / (1 << 53)
		s := scored{m, fraction * float64(largest) / float64(m.Capacity)}
		if s.score < 1 {
			named++
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	list = list[:min(max(named, minNamed), maxNodes)]
	out := make([]jwmember.Member, 0, len(list))
	for _, s := range list {
		out = append(out, s.Member)
	}
	return out
}

// withoutCapacity returns the nodes of an answer where capacities are unknown.
func (v View) withoutCapacity(nodes []jwmember.Member) []jwmember.Member {
	v.ByCapacity = false
	return v.answer(Own, nodes, TTL).Nodes
}
