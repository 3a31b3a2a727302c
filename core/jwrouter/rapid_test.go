package jwrouter

import (
	"cmp"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwtarget"
)

func init() { _ = flag.Set("rapid.seed", cmp.Or(os.Getenv("JUJUBE_SEED"), "1")) }

// Nodes have outdated load reports of each other, and a record of hops may be
// lost or forged. If it were trusted, two regions that each consider the other
// idle would forward a request back and forth until its deadline. A request
// bound to its home region must never be forwarded, nor run in another region.
func TestPlaceNeverLoopsNorMovesBoundData(t *testing.T) {
	regions := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		routers := make(map[string]*Router)
		for _, name := range regions {
			routers[name] = drawRouter(t, name, regions)
		}
		entry := &jwcatalogue.Entry{
			Service: "s",
			Bound:   rapid.Bool().Draw(t, "entryBound"),
			Regions: rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c", "*"})).Draw(t, "allowed"),
			Weights: jwcatalogue.Weights{
				Cost:     rapid.Float64Range(0, 10).Draw(t, "cost"),
				Wait:     rapid.Float64Range(0, 10).Draw(t, "tail"),
				SentAway: rapid.Float64Range(0, 10).Draw(t, "sentAway"),
			},
		}
		q := &Query{
			Entry:    entry,
			Home:     rapid.SampledFrom(regions).Draw(t, "home"),
			Bound:    rapid.Bool().Draw(t, "bound"),
			CallTime: time.Second,
			Now:      start,
		}
		at := rapid.SampledFrom(regions).Draw(t, "entryRegion")
		path := []string{at}
		for range 4 {
			p := routers[at].Place(q)
			if p.Region != "" && (q.Bound || entry.Bound) && p.Region != q.Home {
				t.Fatalf("bound to %s but placed in %s", q.Home, p.Region)
			}
			if p.Region == "" || p.Region == at {
				break
			}
			if p.Region != q.Home && !slices.Contains(entry.Regions, p.Region) && !slices.Contains(entry.Regions, "*") {
				t.Fatalf("placed in %s, which the entry does not allow", p.Region)
			}
			at = p.Region
			path = append(path, at)
			q.Forwarded = true // set by the receiving node, not taken from the message
			q.Hops = drawHops(t, regions)
		}
		if len(path) > 2 {
			t.Fatalf("changed region more than once: %v", path)
		}
	})
}

// drawRouter returns a router with a random load and random reports about the
// other regions.
func drawRouter(t *rapid.T, name string, regions []string) *Router {
	n := rapid.IntRange(0, 2).Draw(t, "targets")
	r := newRouter(n, -1, func(int) jwtarget.Load {
		return jwtarget.Load{Running: rapid.IntRange(0, 50).Draw(t, "running"), Slots: 8}
	})
	r.Region = name
	r.Regions = &Regions{}
	for _, other := range regions {
		r.Regions.Merge(Load{
			Region: other, Service: "s", Taken: start, Slots: 16, Targets: rapid.IntRange(0, 2).Draw(t, "targets"),
			Wait: time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond,
		})
	}
	return r
}

// drawHops returns a random record of hops, which need not match the path
// taken.
func drawHops(t *rapid.T, regions []string) jwrequest.Hops {
	var hops jwrequest.Hops
	for range rapid.IntRange(0, 3).Draw(t, "hops") {
		hops = append(hops, jwrequest.Hop{Node: "n", Region: rapid.SampledFrom(regions).Draw(t, "hopRegion")})
	}
	return hops
}
