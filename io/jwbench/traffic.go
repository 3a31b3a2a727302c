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
	id       uint64
	entry    *jwcatalogue.Entry
	owner    string
	space    int // number of the workspace
	home     string
	bound    bool
	prefix   uint64
	print    jwsuspect.Fingerprint
	poison   bool
	prefill  time.Duration // with nothing cached
	decode   time.Duration
	sent     time.Time
	deadline time.Time
	counted  bool // sent after the warm-up
	tries    int
	away     bool // the try that runs is in another region
	first    time.Time
	over     bool
	job      *job
	runner   *runner
	exclude  []netip.AddrPort
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
			work += k.share * k.work().Seconds() * (1 + fullBatch)
			share += k.share
		}
	}
	return float64(r.Writers*writerSlots) / (work / share) / share
}

// Callers of a region.
const (
	workspaces = 60
	owners     = 6
	boundPart  = 0.12
	skew       = 0.7 // of the workspaces: the n-th asks 1/n^skew as often as the first
)

// source makes the requests of one region.
type source struct {
	w      *world
	region Region
	rate   func(at time.Duration) float64 // requests a second
	most   float64                        // highest rate
	weight []float64
	total  float64
	warm   time.Duration
	end    time.Duration
	serial uint64
}

func newSource(w *world, index int, rate func(time.Duration) float64, most float64, s Scenario) *source {
	src := &source{w: w, region: w.deploy.Regions[index], rate: rate, most: most, warm: s.Warm, end: s.Length}
	src.serial = uint64(index+1) << 32
	for i := range max(src.region.Spaces, workspaces) {
		weight := 1 / math.Pow(float64(i+1), skew)
		src.weight = append(src.weight, weight)
		src.total += weight
	}
	return src
}

// start makes a Poisson stream whose rate changes, by thinning one of the
// highest rate.
func (s *source) start() {
	gap := time.Duration(s.w.rnd.ExpFloat64() / s.most * float64(time.Second))
	s.w.after(gap, func() {
		at := s.w.now.Sub(epoch)
		if at >= s.end {
			return
		}
		if s.w.rnd.Float64()*s.most < s.rate(at) {
			s.w.arrive(s.draw(at))
		}
		s.start()
	})
}

// draw makes one request.
func (s *source) draw(at time.Duration) *request {
	x := s.w.rnd.Float64() * s.total
	space := 0
	for space < len(s.weight)-1 && x > s.weight[space] {
		x -= s.weight[space]
		space++
	}
	return s.of(space, fmt.Sprintf("%s/owner-%d", s.region.Name, space%owners), s.kind(), at)
}

func (s *source) kind() kind {
	x := s.w.rnd.Float64()
	for _, k := range kinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return kinds[0]
}

// of makes a request of a workspace; its length varies around the usual one.
func (s *source) of(space int, owner string, k kind, at time.Duration) *request {
	s.serial++
	entry := s.w.entries[k.entry]
	q := &request{
		id:       s.serial,
		entry:    entry,
		owner:    owner,
		space:    space,
		home:     s.region.Name,
		bound:    float64(space%25) < boundPart*25,
		prefill:  k.prefill,
		decode:   time.Duration(float64(k.decode) * (0.5 + s.w.rnd.ExpFloat64()/2)),
		sent:     s.w.now,
		deadline: s.w.now.Add(entry.Deadline),
		counted:  at >= s.warm,
		print:    jwsuspect.Fingerprint{byte(s.serial), byte(s.serial >> 8), byte(s.serial >> 16), byte(s.serial >> 24), byte(s.serial >> 32)},
	}
	if k.prefill > 0 {
		q.prefix = jwrouter.PrefixOf(fmt.Sprintf("%s/%d", s.region.Name, space), k.entry[:1], nil) | 1
	}
	return q
}
