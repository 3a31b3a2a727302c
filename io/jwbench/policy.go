package jwbench

import (
	"net/netip"
	"slices"
	"time"

	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwtarget"
)

// policy is one way to decide: the project's with its switches, or a simple
// one when choose is set.
type policy struct {
	name              string
	router            jwrouter.Policy
	limiter           jwlimit.Policy
	subsetSize        int           // targets of a service that a node uses, 0 for the usual number
	loadInterval      time.Duration // between load reports, 0 for reportEvery
	anyNode           bool          // callers come to any node, not to the one of their workspace
	noSuspects        bool
	noSecondPlacement bool // what this region has no room for is refused, not placed once more
	// choose returns the target of a request by a simple rule.
	choose func(n *node, q *request) (netip.AddrPort, bool)
}

// projectPolicy is the project's own policy.
var projectPolicy = policy{name: "jujubewheel"}

// baselines are the simple rules. They know which targets fail as ours does,
// but admit everything and suspect nothing.
var baselines = []policy{
	{name: "random", choose: chooseRandom},
	{name: "roundRobin", choose: chooseRoundRobin},
	{name: "leastReported", choose: chooseLeastLoaded},
	{name: "homeOnly", router: jwrouter.Policy{HomeOnly: true}},
	{name: "nearestWithRoom", choose: chooseNearest},
}

// ablations are ours without one part each.
var ablations = []policy{
	{name: "noAffinity", router: jwrouter.Policy{NoAffinity: true}},
	{name: "noPace", router: jwrouter.Policy{NoPace: true}},
	{name: "noDeadline", limiter: jwlimit.Policy{NoDeadline: true}},
	{name: "noClasses", limiter: jwlimit.Policy{NoClasses: true}},
	{name: "noOwners", limiter: jwlimit.Policy{NoOwners: true}},
	{name: "noSuspects", noSuspects: true},
	{name: "noSecond", noSecondPlacement: true},
}

// availableTargets returns the addresses of a region's targets that do not rest.
func availableTargets(n *node, region string, q *request) []netip.AddrPort {
	var out []netip.AddrPort
	peer := n.sim.nodes[region][0]
	if region == n.region {
		peer = n
	}
	for _, c := range peer.targets.Candidates(q.entry.Service, n.sim.now, nil) {
		if !slices.Contains(q.exclude, c.Address) {
			out = append(out, c.Address)
		}
	}
	return out
}

func chooseRandom(n *node, q *request) (netip.AddrPort, bool) {
	list := availableTargets(n, n.region, q)
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[n.sim.rnd.IntN(len(list))], true
}

func chooseRoundRobin(n *node, q *request) (netip.AddrPort, bool) {
	list := availableTargets(n, n.region, q)
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	n.lastTarget++
	return list[n.lastTarget%len(list)], true
}

func chooseLeastLoaded(n *node, q *request) (netip.AddrPort, bool) {
	addr, _, found := leastLoaded(n, n.region, q)
	return addr, found
}

// leastLoaded returns the target of a region with the least outstanding by the last
// report, and that report.
func leastLoaded(n *node, region string, q *request) (addr netip.AddrPort, load jwtarget.Load, found bool) {
	reports := n.sim.nodes[region][0].reports
	if region == n.region {
		reports = n.reports
	}
	for _, a := range availableTargets(n, region, q) {
		l := reports[a]
		if !found || l.Running+l.Waiting < load.Running+load.Waiting {
			addr, load, found = a, l, true
		}
	}
	return addr, load, found
}

// chooseNearest takes the home region while a target there has a free slot by
// the last report, then the next region with one, then home all the same. The
// other regions' reports are as fresh as their own nodes have them, which
// favours this rule.
func chooseNearest(n *node, q *request) (netip.AddrPort, bool) {
	home, load, found := leastLoaded(n, n.region, q)
	if (found && load.Running+load.Waiting < load.Slots) || q.bound {
		return home, found
	}
	for _, region := range n.sim.deployment.Regions {
		if region.Name == n.region {
			continue
		}
		addr, load, free := leastLoaded(n, region.Name, q)
		if free && load.Running+load.Waiting < load.Slots {
			return addr, true
		}
	}
	return home, found
}
