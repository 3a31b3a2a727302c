package jwbench

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
)

// request is one request of a caller, over all its tries.
type request struct {
	id           uint64
	entry        *jwcatalogue.Entry
	owner        string
	workspace    int // number of the workspace
	home         string
	bound        bool
	prefix       uint64
	fingerprint  jwsuspect.Fingerprint
	poison       bool
	prefill      time.Duration // with nothing cached
	decode       time.Duration
	sentAt       time.Time
	deadline     time.Time
	counted      bool // sent after the warm-up
	tries        int
	away         bool // the try that runs is in another region
	firstTokenAt time.Time
	finished     bool
	job          *job
	runner       *runner
	exclude      []netip.AddrPort
}

// kind is one kind of request with its usual times and its share of traffic.
type kind struct {
	entry   string
	prefill time.Duration
	decode  time.Duration
	share   float64
}

var kinds = []kind{
	{"draft", time.Second, 4 * time.Second, 0.35},
	{"question", time.Second, 600 * time.Millisecond, 0.40},
	{"status", 0, 100 * time.Millisecond, 0.17},
	{"confirm", 0, 200 * time.Millisecond, 0.08},
}

// work is the expected time of a kind that decisions get to see.
func (k kind) work() time.Duration { return k.prefill/2 + k.decode }

func entries(d Deployment) map[string]*jwcatalogue.Entry {
	out := make(map[string]*jwcatalogue.Entry)
	add := func(name, service string, class jwcatalogue.Class, deadline time.Duration) {
		out[name] = &jwcatalogue.Entry{
			Name: name, Service: service, Class: class, Deadline: deadline,
			Idempotent: class != jwcatalogue.Confirmation, Regions: []string{"*"}, Weights: d.Weights,
		}
	}
	add("draft", writer, jwcatalogue.Draft, 15*time.Second)
	add("question", writer, jwcatalogue.Lookup, 6*time.Second)
	add("status", desk, jwcatalogue.Lookup, 3*time.Second)
	add("confirm", desk, jwcatalogue.Confirmation, 10*time.Second)
	return out
}

// capacity is the rate of requests that a region's model runners serve with
// full batches and half of the prefixes cached.
func capacity(r Region) float64 {
	work, share := 0.0, 0.0
	for _, k := range kinds {
		if k.prefill > 0 {
			work += k.share * k.work().Seconds() * (1 + fullBatchSlowdown)
			share += k.share
		}
	}
	return float64(r.WriterRunners*writerSlots) / (work / share) / share
}

// Callers of a region.
const (
	defaultWorkspaces = 60
	ownersPerRegion   = 6
	boundShare        = 0.12
	workspaceSkew     = 0.7 // of the workspaces: the n-th asks 1/n^skew as often as the first
)

// source makes the requests of one region.
type source struct {
	sim       *simulation
	region    Region
	rate      func(at time.Duration) float64 // requests a second
	maxRate   float64                        // highest rate
	weights   []float64
	weightSum float64
	warmUp    time.Duration
	end       time.Duration
	lastID    uint64
}

func newSource(sim *simulation, index int, rate func(time.Duration) float64, maxRate float64, s Scenario) *source {
	src := &source{sim: sim, region: sim.deployment.Regions[index], rate: rate, maxRate: maxRate, warmUp: s.WarmUp, end: s.RunTime}
	src.lastID = uint64(index+1) << 32
	for i := range max(src.region.Workspaces, defaultWorkspaces) {
		weight := 1 / math.Pow(float64(i+1), workspaceSkew)
		src.weights = append(src.weights, weight)
		src.weightSum += weight
	}
	return src
}

// start makes a Poisson stream whose rate changes, by thinning one of the
// highest rate.
func (s *source) start() {
	gap := time.Duration(s.sim.rnd.ExpFloat64() / s.maxRate * float64(time.Second))
	s.sim.after(gap, func() {
		at := s.sim.now.Sub(epoch)
		if at >= s.end {
			return
		}
		if s.sim.rnd.Float64()*s.maxRate < s.rate(at) {
			s.sim.arrive(s.randomRequest(at))
		}
		s.start()
	})
}

// randomRequest makes one request.
func (s *source) randomRequest(at time.Duration) *request {
	x := s.sim.rnd.Float64() * s.weightSum
	workspace := 0
	for workspace < len(s.weights)-1 && x > s.weights[workspace] {
		x -= s.weights[workspace]
		workspace++
	}
	return s.newRequest(workspace, fmt.Sprintf("%s/owner-%d", s.region.Name, workspace%ownersPerRegion), s.randomKind(), at)
}

func (s *source) randomKind() kind {
	x := s.sim.rnd.Float64()
	for _, k := range kinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return kinds[0]
}

// newRequest makes a request of a workspace; its length varies around the usual one.
func (s *source) newRequest(workspace int, owner string, k kind, at time.Duration) *request {
	s.lastID++
	entry := s.sim.entries[k.entry]
	q := &request{
		id:          s.lastID,
		entry:       entry,
		owner:       owner,
		workspace:   workspace,
		home:        s.region.Name,
		bound:       float64(workspace%25) < boundShare*25,
		prefill:     k.prefill,
		decode:      time.Duration(float64(k.decode) * (0.5 + s.sim.rnd.ExpFloat64()/2)),
		sentAt:      s.sim.now,
		deadline:    s.sim.now.Add(entry.Deadline),
		counted:     at >= s.warmUp,
		fingerprint: jwsuspect.Fingerprint{byte(s.lastID), byte(s.lastID >> 8), byte(s.lastID >> 16), byte(s.lastID >> 24), byte(s.lastID >> 32)},
	}
	if k.prefill > 0 {
		q.prefix = jwrouter.PrefixOf(fmt.Sprintf("%s/%d", s.region.Name, workspace), k.entry[:1], nil) | 1
	}
	return q
}
