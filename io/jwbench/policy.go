package jwbench

import (
	"net/netip"
	"slices"
	"time"

	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwtarget"
)

// policy is one way to place requests: the project's own, with parts of it
// switched off, or a simple rule if choose is set.
type policy struct {
	name              string
	router            jwrouter.Policy
	limiter           jwlimit.Policy
	subsetSize        int           // number of targets of a service that a node uses; 0 for the default
	loadInterval      time.Duration // time between load reports; 0 for reportInterval
	anyNode           bool          // callers use a random node of their region instead of the one of their workspace
	noSuspects        bool          // suspected and quarantined requests are treated like all others
	noSecondPlacement bool          // a request that this region has no capacity for is rejected, not placed in another region
	// choose returns the target of a request by a simple rule, false if there
	// is none; nil for the project's own policy.
	choose func(n *node, q *request) (netip.AddrPort, bool)
}

// projectPolicy is the project's own policy with all its parts.
var projectPolicy = policy{name: "jujubewheel"}

// baselines are the simple rules. They avoid failing targets as the project's
// policy does, but admit every request and treat none as a suspect.
var baselines = []policy{
	{name: "random", choose: chooseRandom},
	{name: "roundRobin", choose: chooseRoundRobin},
	{name: "leastReported", choose: chooseLeastLoaded},
	{name: "homeOnly", router: jwrouter.Policy{HomeOnly: true}},
	{name: "nearestWithRoom", choose: chooseNearest},
}

// ablations are the project's policy, each without one of its parts.
var ablations = []policy{
	{name: "noAffinity", router: jwrouter.Policy{NoAffinity: true}},
	{name: "noPace", router: jwrouter.Policy{NoPace: true}},
	{name: "noDeadline", limiter: jwlimit.Policy{NoDeadline: true}},
	{name: "noClasses", limiter: jwlimit.Policy{NoClasses: true}},
	{name: "noOwners", limiter: jwlimit.Policy{NoOwners: true}},
	{name: "noSuspects", noSuspects: true},
	{name: "noSecond", noSecondPlacement: true},
}

// availableTargets returns the addresses of a region's targets that calls may
// be sent to now, without those that the request excludes.
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

// leastLoaded returns the target of a region that had the fewest running and
// waiting calls in its last report, and that report.
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

// chooseNearest returns a target of the home region if one has a free slot by
// its last report, else one of the first other region with a free slot, else
// one of the home region all the same. For the other regions it reads the
// reports of their own nodes, without the delay between regions, which favours
// this rule.
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
