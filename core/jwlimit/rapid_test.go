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

// region is the limiters of one region's nodes with one entry.
type region struct {
	nodes []*Limiter
	entry *jwcatalogue.Entry
	held  [][]Token
	now   time.Time
}

func newRegion(nodes, concurrent int) *region {
	r := &region{now: start, held: make([][]Token, nodes)}
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

func (r *region) ask(i int) bool {
	q := query(jwcatalogue.Lookup, 0)
	q.Entry, q.Now = r.entry, r.now
	token, _, ok := r.nodes[i].Admit(q)
	if ok {
		r.held[i] = append(r.held[i], token)
	}
	return ok
}

// tell lets every node hear of every other.
func (r *region) tell() {
	for _, from := range r.nodes {
		for _, to := range r.nodes {
			if from != to {
				to.Merge(from.Node, from.Usages(r.now), r.now)
			}
		}
	}
}

func (r *region) running() int {
	n := 0
	for _, tokens := range r.held {
		n += len(tokens)
	}
	return n
}

// Requests come and end on any node, and words between nodes are late or
// missing. A node must never run more than the whole limit, and the region no
// more than what the evenly split half allows on top of it while words lag.
func TestLimiterHoldsConcurrentLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "nodes")
		limit := rapid.IntRange(1, 30).Draw(t, "limit")
		fresh := rapid.Bool().Draw(t, "wordsComeAtOnce")
		r := newRegion(n, limit)
		node := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				r.ask(node.Draw(t, "node"))
			},
			"end": func(t *rapid.T) {
				i := node.Draw(t, "node")
				if len(r.held[i]) == 0 {
					t.Skip("nothing runs")
				}
				r.nodes[i].Release(r.held[i][0])
				r.held[i] = r.held[i][1:]
			},
			"tell": func(*rapid.T) { r.tell() },
			"pass": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if fresh {
					r.now = r.now.Add(shareFor)
					r.tell()
				}
				for i := range r.held {
					if len(r.held[i]) > limit {
						t.Fatalf("node %d runs %d of %d", i, len(r.held[i]), limit)
					}
				}
				most := 2 * limit * max(n-1, 1)
				if fresh {
					most = limit
				}
				if r.running() > most {
					t.Fatalf("region runs %d of %d", r.running(), limit)
				}
			},
		})
	})
}

// Retries never exceed their share of first tries plus what may be saved up,
// in whatever order they come.
func TestBudgetHoldsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{
			Share: rapid.Float64Range(0.01, 1).Draw(t, "share"),
			Saved: rapid.Float64Range(1, 20).Draw(t, "saved"),
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
				if most := b.Saved + b.Share*float64(tries); float64(retries) > most+1e-6 {
					t.Fatalf("%d retries, %v allowed", retries, most)
				}
			},
		})
	})
}
