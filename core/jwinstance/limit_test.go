package jwinstance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What a target that names a limit may get of all nodes together within any span: half
// more than the limit, and some requests besides.
const (
	limitSpan  = 4 * time.Second
	limitRatio = 1.5
	limitSlack = 5
)

// Nodes of a region that each know a target's limit send it more than that together.
func TestLimitOfATargetHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 20).Draw(t, "rate")
		tables := make([]*Table, rapid.IntRange(1, 4).Draw(t, "nodes"))
		for i := range tables {
			tables[i] = &Table{Region: "r"}
			tables[i].Put(t0, instance("a"))
			tables[i].Limited(t0, tables[i].targets["a"], Limit{Named: true, Rate: rate})
		}
		var sends []time.Time
		now := t0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if chosen(tables[rapid.IntRange(0, len(tables)-1).Draw(t, "node")], now, Need{}) != "" {
				sends = append(sends, now)
			}
			checkLimit(t, sends, now, rate)
		}
	})
}

// checkLimit fails if a target got too much in the span that ends now.
func checkLimit(t *rapid.T, sends []time.Time, now time.Time, rate float64) {
	n := 0
	for _, at := range sends {
		if now.Sub(at) < limitSpan {
			n++
		}
	}
	if bound := limitRatio*rate*limitSpan.Seconds() + limitSlack; float64(n) > bound {
		t.Fatalf("%d sends within %s at a limit of %.2f a second, the bound is %.1f", n, limitSpan, rate, bound)
	}
}
