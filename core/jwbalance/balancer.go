package jwbalance

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// flowMaxAge is how long the demand that another node reported counts.
	flowMaxAge = 1500 * time.Millisecond
	// planInterval is how long a plan is used.
	planInterval = 100 * time.Millisecond
	// reportRetention is how long the load of a region that reports nothing is kept.
	reportRetention = 10 * time.Second
	// maxCredit limits the work by which a node may be behind its shares, in mean requests, so that
	// requests that could not be sent away do not leave in a burst later.
	maxCredit = 4
	// maxPreference limits the preference of a request for a region, in mean requests.
	maxPreference = 2
	// meanWeight is the weight of a new request in the mean work of the requests.
	meanWeight = 0.05
	// maxClasses limits the classes of a service that are counted.
	maxClasses = 16
)

// Source says whose demand a report contains.
type Source string

// The sources of demand.
const (
	FromNode       Source = "node"       // the callers of one node
	FromDataCentre Source = "dataCentre" // those of all nodes that report through a relay
	FromRegion     Source = "region"     // those of all nodes of the region
)

// Demand is the work that callers ask for, by service and class.
type Demand map[string]map[Class]Rate

func (d Demand) add(o Demand) {
	for name, classes := range o {
		if d[name] == nil {
			d[name] = make(map[Class]Rate, len(classes))
		}
		for class, r := range classes {
			d[name][class] = d[name][class].plus(r)
		}
	}
}

// Room is what a region's usable targets of a service can do, and what waits there.
type Room struct {
	Capacity float64 // work per second
	Backlog  float64 // work accepted that waits for others
}

// Balancer holds what a node knows of the demand and the room of its region and of others. Its
// exported fields must be set before use; its methods are safe for concurrent use.
type Balancer struct {
	Region string
	Policy Policy

	mu       sync.Mutex
	services map[string]*service
	nodes    map[string]nodeDemand // by node of this region
	regions  map[string]regionLoads
}

// service is what a node has counted and decided for one service.
type service struct {
	demand    map[Class]*meter
	meanWork  float64
	plan      Plan
	plannedAt time.Time
	credit    map[Class]map[string]float64 // work that is to be sent to each region to follow the shares
}

type nodeDemand struct {
	at     time.Time
	source Source
	demand Demand
}

type regionLoads struct {
	at     time.Time
	direct bool // reported by a node of that region itself
	loads  map[string]Load
}

// Count counts a request of this node's own callers.
func (b *Balancer) Count(now time.Time, name string, c Class, work float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(name)
	m := s.demand[c]
	if m == nil {
		if len(s.demand) >= maxClasses {
			return
		}
		m = &meter{}
		s.demand[c] = m
	}
	m.add(now, work)
	if s.meanWork == 0 {
		s.meanWork = work
	}
	s.meanWork += meanWeight * (work - s.meanWork)
}

// Demand returns the demand of this node's own callers or, for FromDataCentre and FromRegion, of
// those of the data centre that reports through this node, or of its region.
func (b *Balancer) Demand(now time.Time, source Source) Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.ownDemand(now)
	if source == FromNode {
		return d
	}
	for node, n := range b.nodes {
		if now.Sub(n.at) > flowMaxAge {
			delete(b.nodes, node)
			continue
		}
		if n.source == FromNode || n.source == FromDataCentre && source == FromRegion {
			d.add(n.demand)
		}
	}
	return d
}

func (b *Balancer) ownDemand(now time.Time) Demand {
	d := make(Demand, len(b.services))
	for name, s := range b.services {
		for class, m := range s.demand {
			if r := m.rate(now); r.Work > minRate {
				d.add(Demand{name: {class: r}})
			}
		}
	}
	return d
}

// minRate is the work per second that is too little to be reported.
const minRate = 1e-3

// MergeDemand merges the demand that a node of this region reported.
func (b *Balancer) MergeDemand(now time.Time, node string, source Source, d Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == nil {
		b.nodes = make(map[string]nodeDemand)
	}
	b.nodes[node] = nodeDemand{now, source, d}
}

// Discard discards what other nodes and regions reported, after this node was paused.
func (b *Balancer) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.nodes)
	clear(b.regions)
	for _, s := range b.services {
		s.plan, s.plannedAt = Plan{}, time.Time{}
		clear(s.credit)
	}
}

// regionDemand returns the demand of the callers of the region for a service.
func (b *Balancer) regionDemand(now time.Time, name string) map[Class]Rate {
	sum := make(map[Class]Rate)
	if s := b.services[name]; s != nil {
		for class, m := range s.demand {
			sum[class] = m.rate(now)
		}
	}
	for _, n := range b.nodes {
		if now.Sub(n.at) > flowMaxAge {
			continue
		}
		if n.source == FromRegion {
			// A relay's sum has this node's own demand in it.
			return maps.Clone(n.demand[name])
		}
		for class, r := range n.demand[name] {
			sum[class] = sum[class].plus(r)
		}
	}
	return sum
}

// Load returns the load of the region for a service whose targets have the given room.
func (b *Balancer) Load(now time.Time, name string, r Room) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Load{b.regionDemand(now, name), rounded(r.Capacity), rounded(r.Backlog)}
}

// MergeRegion merges the loads of another region, measured at the given time, unless later ones are
// known. direct says that a node of that region reported them.
func (b *Balancer) MergeRegion(at time.Time, region string, direct bool, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.regions == nil {
		b.regions = make(map[string]regionLoads)
	}
	if at.After(b.regions[region].at) {
		b.regions[region] = regionLoads{at, direct, loads}
	}
}

// Reported is the last report of a region.
type Reported struct {
	Region string          `json:"region"`
	AgeMS  int64           `json:"age"` // milliseconds, rounded up so that no report looks younger when it is passed on
	Loads  map[string]Load `json:"loads"`
}

// Regions returns the last reports of the other regions, sorted by region, except those older than
// maxAge; with direct, only those that this node got from a node of that region.
func (b *Balancer) Regions(now time.Time, maxAge time.Duration, direct bool) []Reported {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Reported
	for region, r := range b.regions {
		switch age := now.Sub(r.at); {
		case age > reportRetention:
			delete(b.regions, region)
		case age <= maxAge && (r.direct || !direct):
			list = append(list, Reported{region, (age + time.Millisecond - 1).Milliseconds(), r.loads})
		}
	}
	slices.SortFunc(list, func(x, y Reported) int { return strings.Compare(x.Region, y.Region) })
	return list
}

// Plan returns the plan for a service. room is called if the last plan is out of date, with no lock
// held.
func (b *Balancer) Plan(now time.Time, name string, room func() Room) Plan {
	b.mu.Lock()
	s := b.service(name)
	if age := now.Sub(s.plannedAt); age >= 0 && age < planInterval {
		defer b.mu.Unlock()
		return s.plan
	}
	s.plannedAt = now
	b.mu.Unlock()
	r := room()
	b.mu.Lock()
	defer b.mu.Unlock()
	s.plan = b.Policy.Make(b.Region, Load{b.regionDemand(now, name), r.Capacity, r.Backlog}, b.others(now, name))
	return s.plan
}

// others returns the loads of the other regions for a service.
func (b *Balancer) others(now time.Time, name string) []RegionLoad {
	list := make([]RegionLoad, 0, len(b.regions))
	for region, r := range b.regions {
		if l, ok := r.loads[name]; ok {
			list = append(list, RegionLoad{region, l, max(now.Sub(r.at), 0)})
		}
	}
	return list
}

// Candidate is a request for which a region is chosen.
type Candidate struct {
	Service   string
	Class     Class
	Work      float64
	MustLeave bool // this region may not serve it
	Drawn     bool // a region was chosen for it before, so that credits have grown by its work
	// Preference returns how much better a region is for the request than this one, in mean requests,
	// and false if it can't be sent there now. Values beyond maxPreference are cut. It is called with
	// no lock held.
	Preference func(Share) (float64, bool)
}

// offer is a share with how well a request fits it.
type offer struct {
	Share
	preference float64
	ok         bool
}

// Choose returns the share by which a request is sent to another region, and a zero one if it stays
// in this region. Over time each region gets its share of the work, whatever the preferences are: its
// credit grows with its share of each request, and the region with the largest credit gets the next
// request that its credit covers by half. The less a request fits a region, the more credit it needs,
// so that the preferences select which requests make up the share.
func (b *Balancer) Choose(r Candidate, p Plan) Share {
	shares := p.Shares[r.Class]
	offers := make([]offer, len(shares))
	for i, share := range shares {
		offers[i].Share = share
		offers[i].preference, offers[i].ok = r.Preference(share)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, work := b.service(r.Service), r.Work
	if len(shares) == 0 {
		delete(s.credit, r.Class)
		return Share{}
	}
	credit := s.credit[r.Class]
	if credit == nil {
		credit = make(map[string]float64, len(shares))
		s.credit[r.Class] = credit
	}
	limit := maxCredit * max(s.meanWork, work)
	grown := work
	if r.Drawn {
		grown = 0
	}
	var best Share
	bestFit := 0.0
	for _, o := range offers {
		sum := min(credit[o.Region]+o.Part*grown, limit)
		credit[o.Region] = sum
		fit := sum + min(max(o.preference, -maxPreference), maxPreference)*s.meanWork - work/2
		if o.ok && (r.MustLeave || fit >= 0) && (best.Region == "" || fit > bestFit) {
			best, bestFit = o.Share, fit
		}
	}
	if best.Region != "" {
		credit[best.Region] = max(credit[best.Region]-work, -limit)
	}
	return best
}

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		if b.services == nil {
			b.services = make(map[string]*service)
		}
		s = &service{demand: make(map[Class]*meter), credit: make(map[Class]map[string]float64)}
		b.services[name] = s
	}
	return s
}
