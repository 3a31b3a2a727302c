package jwload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// workspaceSkew makes some workspaces far busier than others (Zipf).
const workspaceSkew = 1.1

// Region is where some of the workspaces are at home.
type Region struct {
	Name  string
	Share float64 // weight of its load against other regions
}

// Arrival is one request and the time at which it is due.
type Arrival struct {
	Number    int
	At        time.Duration // since the start of the load
	Kind      Kind
	Workspace string
	Region    string // home of the workspace
	Direct    bool   // goes to a target and not through a node
	ID        string
	Key       string // empty for kinds without
	Prompt    string // of runners
	Tokens    int
	Body      []byte
}

// Schedule draws arrivals: Poisson in time, by share in kind and region.
type Schedule struct {
	Mix        Mix
	Regions    []Region // empty means one without a name
	Workspaces int      // in each region; 0 means 1
	Rate       float64  // arrivals a second
	Direct     float64  // share of arrivals that go directly to a target
	Seed       uint64

	random *rand.Rand
	zipf   *rand.Zipf
	at     time.Duration
	number int
}

// WorkspaceName names the n-th workspace (from 0) of a region.
func WorkspaceName(region string, n int) string {
	if region == "" {
		return fmt.Sprintf("w%05d", n)
	}
	return fmt.Sprintf("%s-w%05d", region, n)
}

// Next returns the next arrival.
func (s *Schedule) Next() Arrival {
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
		s.zipf = rand.NewZipf(s.random, workspaceSkew, 1, uint64(max(s.Workspaces, 1)-1))
	}
	s.at += time.Duration(s.random.ExpFloat64() / s.Rate * float64(time.Second))
	s.number++
	kind := s.Mix.Kinds[pick(s.random, s.Mix.Kinds, func(k Kind) float64 { return k.Share })]
	region := ""
	if len(s.Regions) > 0 {
		region = s.Regions[pick(s.random, s.Regions, func(r Region) float64 { return r.Share })].Name
	}
	a := Arrival{
		Number:    s.number,
		At:        s.at,
		Kind:      kind,
		Workspace: WorkspaceName(region, int(s.zipf.Uint64())),
		Region:    region,
		Direct:    s.random.Float64() < s.Direct,
		ID:        fmt.Sprintf("load-%d-%d", s.Seed, s.number),
	}
	if kind.Key {
		a.Key = fmt.Sprintf("key-%d-%d", s.Seed, s.number)
	}
	a.fill()
	return a
}

// pick draws an index by weight.
func pick[T any](random *rand.Rand, from []T, weight func(T) float64) int {
	total := 0.0
	for _, v := range from {
		total += weight(v)
	}
	x := random.Float64() * total
	for i, v := range from {
		x -= weight(v)
		if x < 0 {
			return i
		}
	}
	return len(from) - 1
}

// completion is the body of a request to a runner.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// fill makes the body: what the workspace's requests share, then the request's own.
func (a *Arrival) fill() {
	own := a.ID + " " + text(a.ID, a.Kind.Body)
	if a.Kind.Target == Service {
		a.Body = []byte(own)
		return
	}
	a.Prompt = text(a.Workspace+"/"+a.Kind.Entry, a.Kind.Prefix) + own
	a.Tokens = a.Kind.Tokens
	body, err := json.Marshal(completion{Model: a.Kind.Entry, Prompt: a.Prompt, MaxTokens: a.Tokens, Stream: a.Kind.Stream})
	if err != nil {
		panic(err) // a struct of text and numbers always marshals
	}
	a.Body = body
}

// text returns n bytes that follow from the name.
func text(name string, n int) string {
	if n <= 0 {
		return ""
	}
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%s line %d of the record. ", name, i)
	}
	return b.String()[:n]
}
