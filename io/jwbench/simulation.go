package jwbench

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwtarget"
)

// Deployment is the size of one operator's system and what the operator
// optimizes for.
type Deployment struct {
	Name      string
	Regions   []Region
	LinkDelay time.Duration // one-way delay between regions
	LinkPrice float64       // price of a request sent to another region, in runner-seconds
	Weights   jwcatalogue.Weights
}

// Region is one region of a deployment.
type Region struct {
	Name          string
	Nodes         int
	WriterRunners int // number of model runners
	DeskRunners   int // number of runners of the plain service
	Workspaces    int // number of workspaces; defaultWorkspaces is the minimum
}

// deployments returns the two present deployments. Each has twelve model
// runners, three runners of a plain service and nine nodes over three regions.
func deployments() []Deployment {
	return []Deployment{
		{
			Name:      "zaitoun",
			Regions:   equalRegions("amman-a", "irbid-a", "aqaba-a"),
			LinkDelay: 40 * time.Millisecond,
			LinkPrice: 0.5,
			Weights:   jwcatalogue.Weights{Cost: 1, Wait: 0.5, SentAway: 1},
		},
		{
			Name:      "cladagh",
			Regions:   equalRegions("eu-west-a", "eu-central-a", "uk-south-a"),
			LinkDelay: 25 * time.Millisecond,
			LinkPrice: 0.2,
			Weights:   jwcatalogue.Weights{Cost: 0.2, Wait: 1, SentAway: 0.1},
		},
	}
}

func equalRegions(names ...string) []Region {
	var out []Region
	for _, name := range names {
		out = append(out, Region{Name: name, Nodes: 3, WriterRunners: 4, DeskRunners: 1})
	}
	return out
}

// Names of the services and sizes of their simulated runners.
const (
	writer          = "writer"
	desk            = "desk"
	writerSlots     = 16
	deskSlots       = 8
	writerCacheSize = 12 // prompt prefixes
)

// Intervals and delays of the state that nodes receive: load reports of
// targets, and what nodes send each other. localDelay is the one-way delay
// within a region.
const (
	reportInterval = time.Second
	reportDelay    = 200 * time.Millisecond
	shareInterval  = time.Second
	localDelay     = 2 * time.Millisecond
)

// simulation is one run of a scenario: nodes with the real router, limiter and
// tables, and simulated runners.
type simulation struct {
	loop
	rnd        *rand.Rand
	deployment Deployment
	policy     policy
	nodes      map[string][]*node // by region
	runners    map[netip.AddrPort]*runner
	pools      map[string][]*runner // by region and service, see poolKey
	entries    map[string]*jwcatalogue.Entry
	result     *Result
}

// node is one node of the gateway.
type node struct {
	sim        *simulation
	name       string
	region     string
	targets    *jwtarget.Table
	router     *jwrouter.Router
	limiter    *jwlimit.Limiter
	suspects   *jwsuspect.Table
	reports    map[netip.AddrPort]jwtarget.Load // last load report of each target, for the baselines
	lastTarget int                              // counter of the round-robin baseline
}

// epoch is the virtual time at which each simulation starts.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(d Deployment, p policy, seed uint64) *simulation {
	sim := &simulation{
		rnd:        rand.New(rand.NewPCG(seed, 0)),
		deployment: d,
		policy:     p,
		nodes:      make(map[string][]*node),
		runners:    make(map[netip.AddrPort]*runner),
		pools:      make(map[string][]*runner),
		entries:    entries(d),
		result:     newResult(),
	}
	sim.now = epoch
	var list []jwtarget.Target
	for i, region := range d.Regions {
		list = append(list, sim.addRunners(i, region)...)
	}
	for _, region := range d.Regions {
		sim.addNodes(region, list)
	}
	sim.startReports()
	return sim
}

// poolKey returns the key of a region's runners of a service in pools.
func poolKey(region, service string) string { return region + "/" + service }

func (sim *simulation) addRunners(index int, region Region) []jwtarget.Target {
	var list []jwtarget.Target
	add := func(service string, i, slots, keeps int) {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index), byte(len(service)), byte(i)}), 8000)
		target := jwtarget.Target{
			Address: addr, Service: service, Region: region.Name,
			DataCentre: region.Name, State: jwtarget.Live,
		}
		r := &runner{loop: &sim.loop, target: target, slots: slots, speed: 1, maxPrefixes: keeps, advancedAt: sim.now}
		sim.runners[addr] = r
		sim.pools[poolKey(region.Name, service)] = append(sim.pools[poolKey(region.Name, service)], r)
		list = append(list, target)
	}
	for i := range region.WriterRunners {
		add(writer, i, writerSlots, writerCacheSize)
	}
	for i := range region.DeskRunners {
		add(desk, i, deskSlots, 0)
	}
	return list
}

func (sim *simulation) addNodes(region Region, list []jwtarget.Target) {
	links := make(map[string]jwrouter.Link)
	for _, other := range sim.deployment.Regions {
		links[other.Name] = jwrouter.Link{Delay: sim.deployment.LinkDelay, Price: sim.deployment.LinkPrice}
	}
	var names []string
	for i := range region.Nodes {
		names = append(names, fmt.Sprintf("%s-%d", region.Name, i))
	}
	for _, name := range names {
		n := &node{sim: sim, name: name, region: region.Name, reports: make(map[netip.AddrPort]jwtarget.Load)}
		n.targets = &jwtarget.Table{Node: name, Region: region.Name, Subset: sim.policy.subsetSize}
		n.targets.Set(list, sim.now)
		n.router = &jwrouter.Router{
			Region: region.Name, DataCentre: region.Name, Targets: n.targets,
			Regions: &jwrouter.Regions{Links: links}, Policy: sim.policy.router,
		}
		n.router.Regions.SetLocalNodes(region.Nodes)
		n.limiter = &jwlimit.Limiter{Node: name, Policy: sim.policy.limiter}
		n.limiter.SetMembers(names)
		n.suspects = &jwsuspect.Table{Node: name, Region: region.Name}
		n.suspects.SetMembers(names)
		sim.nodes[region.Name] = append(sim.nodes[region.Name], n)
	}
}

// startReports starts the periodic exchange of load reports, loads of regions,
// usage and suspects, all of which arrive with a delay. The nodes of a region
// poll at different times within the interval.
func (sim *simulation) startReports() {
	for _, region := range sim.deployment.Regions {
		for i, n := range sim.nodes[region.Name] {
			interval := sim.policy.loadInterval
			if interval == 0 {
				interval = reportInterval
			}
			first := interval * time.Duration(i) / time.Duration(region.Nodes)
			sim.every(first, interval, n.pollLoads)
			sim.every(first+shareInterval/2, shareInterval, n.shareState)
		}
	}
}

// pollLoads reads the load of the node's targets and marks those that are down
// as failed.
func (n *node) pollLoads() {
	for _, target := range n.targets.Polled() {
		r := n.sim.runners[target.Address]
		if r.down {
			n.targets.Failed(target.Address, n.sim.now)
			continue
		}
		r.advance()
		load := r.load()
		load.RequestedAt = n.sim.now
		n.sim.after(reportDelay, func() {
			n.targets.Report(target.Address, load)
			n.reports[target.Address] = load
		})
	}
}

// shareState sends suspects to all other nodes, usage to those of the same
// region and loads to those of other regions.
func (n *node) shareState() {
	usages := n.limiter.Usages(n.sim.now)
	for _, region := range n.sim.deployment.Regions {
		notices := n.suspects.Notices(region.Name, n.sim.now)
		delay := localDelay
		if region.Name != n.region {
			delay = n.sim.deployment.LinkDelay
		}
		for _, other := range n.sim.nodes[region.Name] {
			if other == n {
				continue
			}
			n.sim.after(delay, func() {
				other.suspects.Merge(notices, n.sim.now)
				if other.region == n.region {
					other.limiter.Merge(n.name, usages, n.sim.now)
				}
			})
			if other.region != n.region {
				n.sendLoad(other, delay)
			}
		}
	}
}

// sendLoad sends the load of this region, by service, to a node of another
// region.
func (n *node) sendLoad(other *node, delay time.Duration) {
	for _, service := range []string{writer, desk} {
		targetCapacity := n.targets.Capacity(service, n.sim.now)
		load := jwrouter.Load{
			Region: n.region, Service: service, Wait: targetCapacity.Wait, CallTime: targetCapacity.CallTime,
			Free: targetCapacity.Free(), Slots: targetCapacity.Slots, Targets: targetCapacity.Targets,
		}
		n.sim.after(delay, func() {
			load.Taken = n.sim.now
			other.router.Regions.Merge(load)
		})
	}
}
