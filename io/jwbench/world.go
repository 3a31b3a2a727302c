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

// Deployment is the size and the wishes of one operator.
type Deployment struct {
	Name    string
	Regions []Region
	Delay   time.Duration // one way between regions
	Price   float64       // of a request sent to another region, in runner-seconds
	Weights jwcatalogue.Weights
}

// Region is one region of a deployment.
type Region struct {
	Name    string
	Nodes   int
	Writers int // model runners
	Desks   int // runners of the plain service
	Spaces  int // workspaces, 0 for the usual number
}

// The deployments of today. Each has twelve model runners and three runners of
// a plain service over three regions, and nine nodes.
func deployments() []Deployment {
	return []Deployment{
		{
			Name:    "zaitoun",
			Regions: equal("amman-a", "irbid-a", "aqaba-a"),
			Delay:   40 * time.Millisecond,
			Price:   0.5,
			Weights: jwcatalogue.Weights{Cost: 1, Tail: 0.5, SentAway: 1},
		},
		{
			Name:    "cladagh",
			Regions: equal("eu-west-a", "eu-central-a", "uk-south-a"),
			Delay:   25 * time.Millisecond,
			Price:   0.2,
			Weights: jwcatalogue.Weights{Cost: 0.2, Tail: 1, SentAway: 0.1},
		},
	}
}

func equal(names ...string) []Region {
	var out []Region
	for _, name := range names {
		out = append(out, Region{Name: name, Nodes: 3, Writers: 4, Desks: 1})
	}
	return out
}

// The services and the shape of their fake runners.
const (
	writer      = "writer"
	desk        = "desk"
	writerSlots = 16
	deskSlots   = 8
	writerKeeps = 12 // prefixes
)

// Lags of what nodes hear.
const (
	reportEvery = time.Second
	reportLag   = 200 * time.Millisecond
	tellEvery   = time.Second
	localDelay  = 2 * time.Millisecond
)

// world is one run: the nodes with the real decisions, and the fakes.
type world struct {
	loop
	rnd     *rand.Rand
	deploy  Deployment
	policy  policy
	nodes   map[string][]*node // by region
	runners map[netip.AddrPort]*runner
	byPlace map[string][]*runner // by region and service, see place
	entries map[string]*jwcatalogue.Entry
	result  *Result
}

// node is one node of the system.
type node struct {
	w        *world
	name     string
	region   string
	targets  *jwtarget.Table
	router   *jwrouter.Router
	limiter  *jwlimit.Limiter
	suspects *jwsuspect.Table
	reports  map[netip.AddrPort]jwtarget.Load // as they came, for the baselines
	next     int                              // of round robin
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(d Deployment, p policy, seed uint64) *world {
	w := &world{
		rnd:     rand.New(rand.NewPCG(seed, 0)),
		deploy:  d,
		policy:  p,
		nodes:   make(map[string][]*node),
		runners: make(map[netip.AddrPort]*runner),
		byPlace: make(map[string][]*runner),
		entries: entries(d),
		result:  newResult(),
	}
	w.now = epoch
	var list []jwtarget.Target
	for i, region := range d.Regions {
		list = append(list, w.addRunners(i, region)...)
	}
	for _, region := range d.Regions {
		w.addNodes(region, list)
	}
	w.tellAll()
	return w
}

func place(region, service string) string { return region + "/" + service }

func (w *world) addRunners(index int, region Region) []jwtarget.Target {
	var list []jwtarget.Target
	add := func(service string, i, slots, keeps int) {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index), byte(len(service)), byte(i)}), 8000)
		target := jwtarget.Target{
			Address: addr, Service: service, Region: region.Name,
			DataCentre: region.Name, State: jwtarget.Live,
		}
		r := &runner{loop: &w.loop, target: target, slots: slots, speed: 1, keeps: keeps, moved: w.now}
		w.runners[addr] = r
		w.byPlace[place(region.Name, service)] = append(w.byPlace[place(region.Name, service)], r)
		list = append(list, target)
	}
	for i := range region.Writers {
		add(writer, i, writerSlots, writerKeeps)
	}
	for i := range region.Desks {
		add(desk, i, deskSlots, 0)
	}
	return list
}

func (w *world) addNodes(region Region, list []jwtarget.Target) {
	links := make(map[string]jwrouter.Link)
	for _, other := range w.deploy.Regions {
		links[other.Name] = jwrouter.Link{Delay: w.deploy.Delay, Price: w.deploy.Price}
	}
	var names []string
	for i := range region.Nodes {
		names = append(names, fmt.Sprintf("%s-%d", region.Name, i))
	}
	for _, name := range names {
		n := &node{w: w, name: name, region: region.Name, reports: make(map[netip.AddrPort]jwtarget.Load)}
		n.targets = &jwtarget.Table{Node: name, Region: region.Name, Subset: w.policy.subset}
		n.targets.Set(list, w.now)
		n.router = &jwrouter.Router{
			Region: region.Name, DataCentre: region.Name, Targets: n.targets,
			Regions: &jwrouter.Regions{Links: links}, Policy: w.policy.router,
		}
		n.router.Regions.SetNodes(region.Nodes)
		n.limiter = &jwlimit.Limiter{Node: name, Policy: w.policy.limiter}
		n.limiter.SetMembers(names)
		n.suspects = &jwsuspect.Table{Node: name, Region: region.Name}
		n.suspects.SetMembers(names)
		w.nodes[region.Name] = append(w.nodes[region.Name], n)
	}
}

// tellAll starts the lagging words: load reports, loads of regions, usage and
// suspects.
func (w *world) tellAll() {
	for _, region := range w.deploy.Regions {
		for i, n := range w.nodes[region.Name] {
			period := w.policy.report
			if period == 0 {
				period = reportEvery
			}
			first := period * time.Duration(i) / time.Duration(region.Nodes)
			w.every(first, period, n.poll)
			w.every(first+tellEvery/2, tellEvery, n.tell)
		}
	}
}

// poll asks the node's targets for their load.
func (n *node) poll() {
	for _, target := range n.targets.Used() {
		r := n.w.runners[target.Address]
		if r.down {
			n.targets.Failed(target.Address, n.w.now)
			continue
		}
		r.advance()
		load := r.load()
		load.Taken = n.w.now
		n.w.after(reportLag, func() {
			n.targets.Report(target.Address, load)
			n.reports[target.Address] = load
		})
	}
}

// tell gives the other nodes what this one knows.
func (n *node) tell() {
	usages := n.limiter.Usages(n.w.now)
	for _, region := range n.w.deploy.Regions {
		notices := n.suspects.Notices(region.Name, n.w.now)
		delay := localDelay
		if region.Name != n.region {
			delay = n.w.deploy.Delay
		}
		for _, other := range n.w.nodes[region.Name] {
			if other == n {
				continue
			}
			n.w.after(delay, func() {
				other.suspects.Merge(notices, n.w.now)
				if other.region == n.region {
					other.limiter.Merge(n.name, usages, n.w.now)
				}
			})
			if other.region != n.region {
				n.tellLoad(other, delay)
			}
		}
	}
}

// tellLoad tells a node of another region how loaded this one is.
func (n *node) tellLoad(other *node, delay time.Duration) {
	for _, service := range []string{writer, desk} {
		room := n.targets.Room(service, n.w.now)
		load := jwrouter.Load{
			Region: n.region, Service: service, Wait: room.Wait, Work: room.Work,
			Free: room.Free(), Slots: room.Slots, Targets: room.Targets,
		}
		n.w.after(delay, func() {
			load.Taken = n.w.now
			other.router.Regions.Merge(load)
		})
	}
}
