package jwlimit

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubewheel/core/jwcatalogue"
)

func init() { _ = flag.Set("rapid.seed", cmp.Or(os.Getenv("JUJUBE_SEED"), "1")) }

// testRegion holds the limiters of the nodes of one region, with one entry.
type testRegion struct {
	nodes      []*Limiter
	entry      *jwcatalogue.Entry
	heldTokens [][]Token
	now        time.Time
}

func newRegion(nodes, concurrent int) *testRegion {
	r := &testRegion{now: start, heldTokens: make([][]Token, nodes)}
	r.entry = &jwcatalogue.Entry{
		Name: "e", Class: jwcatalogue.Lookup, Service: "s",
		Limits: jwcatalogue.Limits{Concurrent: concurrent},
	}
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("n%d", i))
		r.nodes = append(r.nodes, &Limiter{Node: names[i]})
	}
	for _, l := range r.nodes {
		l.SetMembers(names)
	}
	return r
}

func (r *testRegion) admit(i int) bool {
	q := query(jwcatalogue.Lookup, 0)
	q.Entry, q.Now = r.entry, r.now
	token, _, ok := r.nodes[i].Admit(q)
	if ok {
		r.heldTokens[i] = append(r.heldTokens[i], token)
	}
	return ok
}

// exchangeReports sends the usage of every node to every other node.
func (r *testRegion) exchangeReports() {
	for _, from := range r.nodes {
		for _, to := range r.nodes {
			if from != to {
				to.Merge(from.Node, from.Usages(r.now), r.now)
			}
		}
	}
}

func (r *testRegion) running() int {
	n := 0
	for _, tokens := range r.heldTokens {
		n += len(tokens)
	}
	return n
}

// Requests arrive and end on any node, and reports between nodes are late or
// lost. A node must never run more than the region's limit, and the region no more
// than what the equal shares allow on top of it while reports are outdated.
func TestLimiterHoldsConcurrentLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "nodes")
		limit := rapid.IntRange(1, 30).Draw(t, "limit")
		fresh := rapid.Bool().Draw(t, "reportsAreImmediate")
		r := newRegion(n, limit)
		node := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				r.admit(node.Draw(t, "node"))
			},
			"end": func(t *rapid.T) {
				i := node.Draw(t, "node")
				if len(r.heldTokens[i]) == 0 {
					t.Skip("nothing runs")
				}
				r.nodes[i].Release(r.heldTokens[i][0])
				r.heldTokens[i] = r.heldTokens[i][1:]
			},
			"report": func(*rapid.T) { r.exchangeReports() },
			"pass": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if fresh {
					r.now = r.now.Add(shareTTL)
					r.exchangeReports()
				}
				for i := range r.heldTokens {
					if len(r.heldTokens[i]) > limit {
						t.Fatalf("node %d runs %d requests at a limit of %d", i, len(r.heldTokens[i]), limit)
					}
				}
				allowed := 2 * limit * max(n-1, 1)
				if fresh {
					allowed = limit
				}
				if r.running() > allowed {
					t.Fatalf("region runs %d requests at a limit of %d", r.running(), limit)
				}
			},
		})
	})
}

// Retries never exceed their fraction of the first tries plus what may be saved
// up, in any order of calls.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{
			Share:    rapid.Float64Range(0.01, 1).Draw(t, "share"),
			MaxSaved: rapid.Float64Range(1, 20).Draw(t, "saved"),
		}
		tries, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"try": func(*rapid.T) { b.Try("e"); tries++ },
			"retry": func(*rapid.T) {
				if b.Retry("e") {
					retries++
				}
			},
			"": func(t *rapid.T) {
				if allowed := b.MaxSaved + b.Share*float64(tries); float64(retries) > allowed+1e-6 {
					t.Fatalf("%d retries, %v allowed", retries, allowed)
				}
			},
		})
	})
}
