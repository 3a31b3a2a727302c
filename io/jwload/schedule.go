package jwload

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// workspaceSkew is the exponent of the Zipf distribution of requests over
// workspaces: a few workspaces get most of the load.
const workspaceSkew = 1.1

// Region is a region in which workspaces have their home.
type Region struct {
	Name  string  // name of the region; it begins the names of its workspaces
	Share float64 // weight of its load relative to the other regions
}

// Bound reports whether the data of the n-th workspace, counted from 0, is
// bound to its region. The share of such workspaces is given; they are spread
// evenly.
func Bound(n int, share float64) bool {
	return math.Floor(float64(n+1)*share) > math.Floor(float64(n)*share)
}

// Arrival is one request and the time at which it is due.
type Arrival struct {
	Number    int           // counted from 1
	At        time.Duration // due time since the start of the load
	Kind      Kind
	Workspace string
	Region    string // home region of the workspace
	Bound     bool   // the data is bound to Region
	Direct    bool   // sent to a target instead of a node
	SendTwice bool   // the caller sends a duplicate while the first send is in flight
	ID        string // request ID
	Key       string // idempotency key; empty for kinds without one
	Prompt    string // for runners only
	Tokens    int    // tokens of the answer; for runners only
	Body      []byte
}

// Schedule generates arrivals: a Poisson process in time, with kinds and
// regions drawn by their shares.
type Schedule struct {
	Mix            Mix
	Regions        []Region      // empty means one region without a name
	Workspaces     int           // number per region; 0 means 1
	Bound          float64       // share of workspaces whose data is bound to their region
	Rate           float64       // average number of arrivals per second
	RateSwing      float64       // amplitude of a region's rate relative to its average, 0 to 1
	Day            time.Duration // period of the rate; the peaks of the regions are spread evenly over it
	Direct         float64       // share of arrivals that are sent to a target instead of a node
	SendTwiceShare float64       // share of requests with an idempotency key that are sent twice
	Seed           uint64        // of the random numbers

	random *rand.Rand
	zipf   *rand.Zipf
	at     time.Duration
	number int
}

// WorkspaceName returns the name of the n-th workspace, counted from 0, of a
// region.
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
	region := s.advance()
	s.number++
	kind := s.Mix.Kinds[pickWeighted(s.random, s.Mix.Kinds, func(k Kind) float64 { return k.Share })]
	workspace := int(s.zipf.Uint64())
	a := Arrival{
		Number:    s.number,
		At:        s.at,
		Kind:      kind,
		Workspace: WorkspaceName(region, workspace),
		Region:    region,
		Bound:     Bound(workspace, s.Bound),
		Direct:    s.random.Float64() < s.Direct,
		ID:        fmt.Sprintf("load-%d-%d", s.Seed, s.number),
	}
	sendTwice := s.random.Float64() < s.SendTwiceShare
	if kind.Key {
		a.Key = fmt.Sprintf("key-%d-%d", s.Seed, s.number)
		a.SendTwice = sendTwice && !a.Direct
	}
	a.fillBody()
	return a
}

// advance moves s.at to the next arrival and returns its region. Arrivals are
// drawn at the maximum rate and then thinned to the rate of the region at that
// time.
func (s *Schedule) advance() string {
	for {
		s.at += time.Duration(s.random.ExpFloat64() / (s.Rate * (1 + s.RateSwing)) * float64(time.Second))
		if len(s.Regions) == 0 {
			if s.keepArrival(0, 1) {
				return ""
			}
			continue
		}
		i := pickWeighted(s.random, s.Regions, func(r Region) float64 { return r.Share })
		if s.keepArrival(i, len(s.Regions)) {
			return s.Regions[i].Name
		}
	}
}

// keepArrival decides whether an arrival of a region is kept, with the
// probability of the region's present rate to the maximum rate.
func (s *Schedule) keepArrival(region, regions int) bool {
	if s.RateSwing == 0 || s.Day == 0 {
		return true
	}
	phase := float64(s.at)/float64(s.Day) - float64(region)/float64(regions)
	return s.random.Float64()*(1+s.RateSwing) < 1+s.RateSwing*math.Cos(2*math.Pi*phase)
}

// pickWeighted draws an index; the probability of each is proportional to its
// weight.
func pickWeighted[T any](random *rand.Rand, from []T, weight func(T) float64) int {
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

// fillBody builds the body. The prompt of a runner begins with the prefix that
// the workspace's requests share; the text of this request follows.
func (a *Arrival) fillBody() {
	ownText := a.ID + " " + fillerText(a.ID, a.Kind.Body)
	if a.Kind.Target == Service {
		a.Body = []byte(ownText)
		return
	}
	a.Prompt = fillerText(a.Workspace+"/"+a.Kind.Entry, a.Kind.Prefix) + ownText
	a.Tokens = a.Kind.Tokens
	body, err := json.Marshal(completion{Model: a.Kind.Entry, Prompt: a.Prompt, MaxTokens: a.Tokens, Stream: a.Kind.Stream})
	if err != nil {
		panic(err) // a struct of strings and numbers can always be encoded
	}
	a.Body = body
}

// fillerText returns n bytes of text that depend only on the name.
func fillerText(name string, n int) string {
	if n <= 0 {
		return ""
	}
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%s line %d of the record. ", name, i)
	}
	return b.String()[:n]
}
