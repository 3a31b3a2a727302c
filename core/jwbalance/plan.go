package jwbalance

import (
	"slices"
	"strings"
	"time"
)

// Class is a set of requests that the same regions may serve: the names of these regions, sorted and
// joined by classSeparator, or "" if every region may.
type Class string

const (
	classSeparator = "|"
	// noRegion is the class of requests that no region may serve.
	noRegion Class = classSeparator
)

// ClassOf returns the class of requests with the given home regions.
func ClassOf(homes []string) Class {
	switch len(homes) {
	case 0:
		return ""
	case 1:
		if homes[0] == "" {
			return noRegion // the homes of an entry and of a workspace have no region in common
		}
		return Class(homes[0])
	}
	sorted := slices.Clone(homes)
	slices.Sort(sorted)
	return Class(strings.Join(sorted, classSeparator))
}

// allows reports whether a region may serve the requests of the class.
func (c Class) allows(region string) bool {
	if c == "" {
		return true
	}
	for home := range strings.SplitSeq(string(c), classSeparator) {
		if home == region {
			return true
		}
	}
	return false
}

// Load is what a region reports about one service.
type Load struct {
	Demand   map[Class]Rate `json:"demand,omitempty"`   // asked for by its own callers, wherever it is served
	Capacity float64        `json:"capacity,omitempty"` // work per second of the usable targets
	Backlog  float64        `json:"backlog,omitempty"`  // work accepted by the targets that waits for others
}

// RegionLoad is the load of one region at a point in time.
type RegionLoad struct {
	Region string
	Load
	Age time.Duration // time since the region measured it
}

// Policy holds the parameters of a plan; the zero value uses the defaults.
type Policy struct {
	KeepLevel float64       // utilization up to which a region serves all its requests itself
	MaxLevel  float64       // utilization up to which a region may be filled by others
	Margin    float64       // difference of utilization from which on requests are moved
	MaxAge    time.Duration // age from which on a load is not known any more
	Lead      time.Duration // how far ahead demand is extrapolated by its trend, beside the age of the load
	Drain     time.Duration // time in which a backlog is to be worked off
}

// Defaults of the fields of a Policy.
const (
	DefaultKeepLevel = 0.8
	DefaultMaxLevel  = 3
	DefaultMargin    = 0.05
	DefaultMaxAge    = 1500 * time.Millisecond
	DefaultLead      = 200 * time.Millisecond
	DefaultDrain     = 2 * time.Second
)

func (p Policy) withDefaults() Policy {
	setDefault(&p.KeepLevel, DefaultKeepLevel)
	setDefault(&p.MaxLevel, DefaultMaxLevel)
	setDefault(&p.Margin, DefaultMargin)
	setDefault(&p.MaxAge, DefaultMaxAge)
	setDefault(&p.Lead, DefaultLead)
	setDefault(&p.Drain, DefaultDrain)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Share is the part of a class of a region's requests that goes to another region.
type Share struct {
	Region string
	Part   float64       // 0 to 1
	Wait   time.Duration // until the region's targets have done what waits there now
	Age    time.Duration // of the region's load
}

// Plan is how the work of one region for one service is spread.
type Plan struct {
	Known  bool              // at least one other region has reported
	Level  float64           // mean utilization of the known regions
	Before float64           // utilization of this region if nothing were moved
	After  float64           // utilization of this region by the plan
	Shares map[Class][]Share // sorted by region; none has a Part of 0
}

// flow is the work per second of a class of one region's callers, by the region that serves it.
type flow struct {
	origin int
	class  Class
	total  float64
	at     []float64
}

// planner spreads the work of several regions.
type planner struct {
	Policy
	regions []RegionLoad
	load    []float64 // work per second planned at each region
	flows   []flow
}

// Make returns the plan of the region self, whose load is local. Work is moved from the region with
// the highest utilization to the one with the lowest that may serve it, until they differ by less
// than Margin. No region is relieved below KeepLevel, and none is filled beyond MaxLevel by others.
// Work that its own region may not serve goes to its homes in any case. All regions come to the same
// result from the same loads, so that several regions at their peak share the room of the others.
func (p Policy) Make(self string, local Load, others []RegionLoad) Plan {
	w := planner{Policy: p.withDefaults()}
	w.regions = append(w.regions, RegionLoad{Region: self, Load: local})
	for _, o := range others {
		if o.Age <= w.MaxAge && o.Region != self {
			w.regions = append(w.regions, o)
		}
	}
	if len(w.regions) == 1 {
		return Plan{}
	}
	slices.SortFunc(w.regions, func(a, b RegionLoad) int { return strings.Compare(a.Region, b.Region) })
	w.place()
	here := slices.IndexFunc(w.regions, func(r RegionLoad) bool { return r.Region == self })
	plan := Plan{Known: true, Level: w.mean(), Before: w.level(here)}
	w.settle()
	w.unchain()
	plan.After = w.level(here)
	plan.Shares = w.shares(here)
	return plan
}

// place places all work in the region of its callers if that may serve it, and otherwise in its
// homes in proportion to their capacity.
func (w *planner) place() {
	w.load = make([]float64, len(w.regions))
	for i, r := range w.regions {
		w.load[i] = r.Backlog / w.Drain.Seconds()
	}
	for i, r := range w.regions {
		classes := make([]Class, 0, len(r.Demand))
		for class := range r.Demand {
			classes = append(classes, class)
		}
		slices.Sort(classes)
		for _, class := range classes {
			f := flow{i, class, r.Demand[class].At(w.Lead + r.Age), make([]float64, len(w.regions))}
			if f.total > minWork && w.start(f) {
				w.flows = append(w.flows, f)
			}
		}
	}
}

// start sets where the work of a flow is at first, and reports whether a known region may serve it.
func (w *planner) start(f flow) bool {
	if f.class.allows(w.regions[f.origin].Region) {
		w.add(f, f.origin, f.total)
		return true
	}
	capacity := 0.0
	for j, r := range w.regions {
		if f.class.allows(w.regions[j].Region) {
			capacity += r.Capacity
		}
	}
	if capacity <= 0 {
		return false
	}
	for j, r := range w.regions {
		if f.class.allows(r.Region) {
			w.add(f, j, f.total*r.Capacity/capacity)
		}
	}
	return true
}

func (w *planner) add(f flow, region int, work float64) {
	f.at[region] += work
	w.load[region] += work
}

// maxMoves limits the moves of a plan by the number of regions.
const maxMoves = 12

// settle moves work until no region differs much from one that could relieve it.
func (w *planner) settle() {
	for range maxMoves * len(w.regions) {
		best, from, to, amount := -1, 0, 0, 0.0
		gain := w.Margin
		for i := range w.flows {
			h, j, d, a := w.bestMove(&w.flows[i])
			if a > 0 && d > gain {
				best, from, to, amount, gain = i, h, j, a, d
			}
		}
		if best < 0 {
			return
		}
		w.add(w.flows[best], from, -amount)
		w.add(w.flows[best], to, amount)
	}
}

// unchain exchanges work between regions so that none sends away work that it could serve instead of
// work that it takes. The load of the regions stays the same.
func (w *planner) unchain() {
	for i := range w.flows {
		for k := range w.flows {
			w.exchange(&w.flows[i], &w.flows[k])
		}
	}
}

// exchange brings back work that left its region while that region takes work of another flow which
// could go there instead.
func (w *planner) exchange(own, other *flow) {
	home := own.origin
	if other.origin == home || !own.class.allows(w.regions[home].Region) {
		return
	}
	for j := range w.regions {
		if j == home || !other.class.allows(w.regions[j].Region) {
			continue
		}
		x := min(own.at[j], other.at[home])
		own.at[j] -= x
		own.at[home] += x
		other.at[home] -= x
		other.at[j] += x
	}
}

// bestMove returns the regions between which a flow's work is moved with the largest difference of
// utilization, that difference, and how much to move.
func (w *planner) bestMove(f *flow) (from, to int, difference, amount float64) {
	from, to = -1, -1
	for j := range w.regions {
		relieved := j == f.origin && w.level(j) <= w.KeepLevel+minWork
		if f.at[j] > minPart*f.total && !relieved && (from < 0 || w.level(j) > w.level(from)) {
			from = j
		}
		if f.class.allows(w.regions[j].Region) && w.regions[j].Capacity > minWork && (to < 0 || w.level(j) < w.level(to)) {
			to = j
		}
	}
	if from < 0 || to < 0 || from == to {
		return 0, 0, 0, 0
	}
	high, low := w.level(from), w.level(to)
	a, b := max(w.regions[from].Capacity, minWork), w.regions[to].Capacity
	// Afterwards both have the same level.
	amount = (high - low) * a * b / (a + b)
	if to != f.origin {
		amount = min(amount, (w.MaxLevel-low)*b)
	}
	if from == f.origin {
		amount = min(amount, (high-w.KeepLevel)*a)
	}
	return from, to, high - low, min(amount, f.at[from])
}

const (
	// minWork is the work per second that is too little to be planned, and the assumed capacity of a
	// region without any.
	minWork = 1e-6
	// minPart is the part of a flow that is too little to be moved.
	minPart = 1e-3
	// maxWait limits Share.Wait.
	maxWait = time.Minute
	// roundingError is the part of a flow that a region may keep by rounding.
	roundingError = 1e-9
)

// level returns the utilization of a region.
func (w *planner) level(i int) float64 { return w.load[i] / max(w.regions[i].Capacity, minWork) }

// wait returns how long the targets of a region take for its backlog.
func (w *planner) wait(i int) time.Duration {
	seconds := w.regions[i].Backlog / max(w.regions[i].Capacity, minWork)
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// mean returns the mean utilization of all regions.
func (w *planner) mean() float64 {
	work, capacity := 0.0, 0.0
	for i, r := range w.regions {
		work += w.load[i]
		capacity += r.Capacity
	}
	return work / max(capacity, minWork)
}

// shares returns the shares of the classes of a region.
func (w *planner) shares(origin int) map[Class][]Share {
	shares := make(map[Class][]Share)
	for _, f := range w.flows {
		if f.origin != origin {
			continue
		}
		list := []Share{}
		for j, work := range f.at {
			if j != origin && work > roundingError*f.total {
				list = append(list, Share{w.regions[j].Region, work / f.total, w.wait(j), w.regions[j].Age})
			}
		}
		shares[f.class] = list
	}
	return shares
}
