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

// request is one request of a caller, with the state of all its tries.
type request struct {
	id           uint64
	entry        *jwcatalogue.Entry
	owner        string
	workspace    int    // number of the workspace
	home         string // region of the workspace
	bound        bool
	prefix       uint64
	fingerprint  jwsuspect.Fingerprint
	poison       bool
	prefill      time.Duration // work up to the first token with nothing cached
	decode       time.Duration
	sentAt       time.Time
	deadline     time.Time
	counted      bool // sent after the warm-up
	tries        int
	away         bool // the present try runs in another region
	firstTokenAt time.Time
	finished     bool // answered, rejected at the last try or expired
	job          *job
	runner       *runner
	exclude      []netip.AddrPort // targets that failed the request
}

// kind is one kind of request with its usual work and its share of the traffic.
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

// work returns the expected work of a kind that the router and limiter are
// given; half of the prefill is expected to be cached.
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

// capacity returns the rate, in requests a second, that a region's model runners
// serve with full batches and half of the prefill work cached.
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

// Callers of a region: their workspaces and owners, and how the requests are
// spread over them.
const (
	defaultWorkspaces = 60
	ownersPerRegion   = 6
	boundShare        = 0.12
	workspaceSkew     = 0.7 // the n-th workspace sends 1/n^workspaceSkew times the requests of the first
)

// source generates the requests of one region.
type source struct {
	sim       *simulation
	region    Region
	rate      func(at time.Duration) float64 // requests a second
	maxRate   float64                        // highest value that rate returns
	weights   []float64                      // relative request rates of the workspaces
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

// start generates requests as a Poisson process whose rate changes: it thins a
// process of the maximum rate.
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

// randomRequest returns a request of a random workspace and kind.
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

// newRequest returns a request of a workspace; its decoding time varies around
// the usual one of its kind.
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
