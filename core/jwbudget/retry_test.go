package jwbudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

// Targets fail for all nodes at once, and each node retries its requests. Together
// they must stay within the limits of the service in any window, also while nodes
// join, leave or don't see each other.
func TestAllNodesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		// A node counts all others or more: it counts a node that left for
		// another minute.
		seen := make([]int, nodes)
		budgets := make([]*RetryBudget, nodes)
		for i := range nodes {
			seen[i] = nodes + rapid.IntRange(0, 3).Draw(t, "more")
			n := seen[i]
			budgets[i] = &RetryBudget{Limits: func() Limits { return limits }, Nodes: func() int { return n }}
		}
		var requests, retries []time.Time
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				r.Request(now, "s")
				requests = append(requests, now)
			}
			for r.Take(now, "s") {
				retries = append(retries, now)
			}
			from := now.Add(-limits.Window)
			if allowed := limits.Ratio*float64(count(requests, from)) + limits.Slack; float64(count(retries, from)) > allowed {
				t.Fatalf("%d retries within %s, at most %.1f are allowed", count(retries, from), limits.Window, allowed)
			}
		}
	})
}

// Nodes restart, one after the other or all at once, and forget the retries that they have made.
// Together with their earlier processes they must stay within the limits.
func TestRestartedNodesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		now := time.Unix(0, 0)
		started := make([]time.Time, nodes)
		budgets := make([]*RetryBudget, nodes)
		start := func(i int) {
			started[i] = now
			budgets[i] = &RetryBudget{
				Limits: func() Limits { return limits }, Nodes: func() int { return nodes },
				Age: func() time.Duration { return now.Sub(started[i]) },
			}
		}
		for i := range nodes {
			start(i)
		}
		now = now.Add(time.Minute)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				start(i)
			case 1:
				for i := range nodes {
					start(i)
				}
			case 2, 3:
				budgets[i].Request(now, "s")
				requests = append(requests, now)
			}
			for budgets[i].Take(now, "s") {
				retries = append(retries, now)
			}
			from := now.Add(-limits.Window)
			if allowed := limits.Ratio*float64(count(requests, from)) + limits.Slack; float64(count(retries, from)) > allowed {
				t.Fatalf("%d retries within %s, at most %.1f are allowed", count(retries, from), limits.Window, allowed)
			}
		}
	})
}

func count(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

func TestBudgetsAreSeparatePerService(t *testing.T) {
	r := &RetryBudget{Limits: func() Limits { return Limits{Slack: 2, Window: time.Second} }, Nodes: func() int { return 1 }}
	now := time.Unix(0, 0)
	if !r.Take(now, "a") || r.Take(now, "a") {
		t.Fatal("service a must have exactly one retry")
	}
	if !r.Take(now, "b") {
		t.Fatal("service b must still have its budget")
	}
	if !r.Take(now.Add(2*time.Second), "a") {
		t.Fatal("after the window service a must have a retry again")
	}
}
