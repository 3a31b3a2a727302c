package jwtarget

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8000)
}

func list(n int) []Target {
	var out []Target
	for i := range n {
		out = append(out, Target{Address: address(i), Service: "s", Region: "r", DataCentre: fmt.Sprintf("r%d", i%2), State: Live})
	}
	return out
}

func usable(t *Table, now time.Time) map[netip.AddrPort]Candidate {
	out := make(map[netip.AddrPort]Candidate)
	for _, c := range t.Candidates("s", now, nil) {
		out[c.Address] = c
	}
	return out
}

// A target reports that it is leaving, but the platform's list is out of date and
// still shows it as live. If the list took precedence, the target would get new
// work until it stops, and those requests would fail.
func TestLeavingOverridesStaleList(t *testing.T) {
	tests := map[string]struct {
		steps func(*Table)
		now   time.Duration
		want  bool // usable at the end
	}{
		"list still shows it as live": {func(t *Table) {
			t.MarkLeaving(address(0), at(0), at(0))
			t.Set(list(3), at(time.Second))
		}, time.Second, false},
		"list shows it as leaving": {func(t *Table) {
			l := list(3)
			l[0].State = Leaving
			t.Set(l, at(time.Second))
			t.Set(list(3), at(2*time.Second))
		}, 2 * time.Second, false},
		"delisted, then listed again at the same address": {func(t *Table) {
			t.MarkLeaving(address(0), at(0), at(0))
			t.Set(list(3)[1:], at(time.Second))
			t.Set(list(3), at(2*time.Second))
		}, 2 * time.Second, true},
		"outdated report of a peer after it is listed again": {func(t *Table) {
			t.MarkLeaving(address(0), at(0), at(0))
			t.Set(list(3)[1:], at(time.Second))
			t.Set(list(3), at(2*time.Second))
			t.MarkLeaving(address(0), at(0), at(3*time.Second))
		}, 3 * time.Second, true},
		"leaving again after it is listed again": {func(t *Table) {
			t.MarkLeaving(address(0), at(0), at(0))
			t.Set(list(3)[1:], at(time.Second))
			t.Set(list(3), at(2*time.Second))
			t.MarkLeaving(address(0), at(3*time.Second), at(3*time.Second))
		}, 3 * time.Second, false},
		"reported before it is listed": {func(t *Table) {
			t.Set(nil, at(0))
			t.MarkLeaving(address(0), at(0), at(0))
			t.Set(list(3), at(time.Second))
		}, time.Second, false},
		"LeavingTTL has passed": {func(t *Table) {
			t.MarkLeaving(address(0), at(0), at(0))
			t.Set(list(3), at(11*time.Minute))
		}, 11 * time.Minute, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := &Table{Region: "r"}
			table.Set(list(3), start)
			test.steps(table)
			_, ok := usable(table, at(test.now))[address(0)]
			assert.Equal(t, ok, test.want)
			assert.Equal(t, len(table.Polled()) == 3, test.want)
		})
	}
}

// A target refuses connections. If every call tried it, many calls would fail; if
// no call ever did, it would stay out of use after its recovery.
func TestFailedTargetBacksOffThenGetsOneProbe(t *testing.T) {
	table := &Table{Region: "r"}
	table.Set(list(2), start)
	backoff := DefaultInitialBackoff
	now := start
	for range 3 {
		table.Failed(address(0), now)
		table.Failed(address(0), now) // at the same time: counted once
		_, ok := usable(table, now.Add(backoff-1))[address(0)]
		assert.Assert(t, !ok, "not usable for %v", backoff)
		now = now.Add(backoff)
		c, ok := usable(table, now)[address(0)]
		assert.Assert(t, ok && c.Probe)
		backoff *= 2
	}
	call := table.Begin(address(0), time.Second, now)
	_, ok := usable(table, now)[address(0)]
	assert.Assert(t, !ok, "one probe at a time")
	table.End(call, Done, now.Add(time.Second))
	c, ok := usable(table, now.Add(time.Second))[address(0)]
	assert.Assert(t, ok && !c.Probe)
}

// All targets of a node's subset fail at once, for example with their rack. If the
// node did not try the other targets of the region, requests would be rejected
// while those are idle.
func TestOtherTargetsReplaceFailedSubset(t *testing.T) {
	table := &Table{Node: "n", Region: "r", Subset: 4}
	table.Set(list(20), start)
	for _, target := range table.Polled() {
		table.Failed(target.Address, start)
	}
	assert.Equal(t, len(usable(table, start)), 16)
}

// Load reports are out of date. Calls started since the last report must count,
// or all calls between two reports go to the target that looked idle in it.
func TestOutstandingCountsCallsSinceReport(t *testing.T) {
	table := &Table{Region: "r"}
	table.Set(list(1), start)
	before := table.Begin(address(0), time.Second, at(0))
	table.Report(address(0), Load{Running: 5, Waiting: 1, Slots: 8, RequestedAt: at(time.Second)})
	after := table.Begin(address(0), time.Second, at(2*time.Second))
	assert.Equal(t, usable(table, start)[address(0)].Outstanding, 7)
	table.End(before, Done, at(3*time.Second))
	assert.Equal(t, usable(table, start)[address(0)].Outstanding, 6)
	table.End(after, Done, at(3*time.Second))
	assert.Equal(t, usable(table, start)[address(0)].Outstanding, 5)
	table.Report(address(0), Load{Slots: 8, RequestedAt: at(4 * time.Second)})
	assert.Equal(t, usable(table, start)[address(0)].Outstanding, 0)
}

// If all nodes chose the same few targets, the others would be idle and their load
// unknown. And when one target is removed, the subsets must not change otherwise.
func TestSubsetsAreEqualAndStable(t *testing.T) {
	const nodes, targets, size = 75, 250, 16
	count := make(map[netip.AddrPort]int)
	moved := 0
	for i := range nodes {
		table := &Table{Node: fmt.Sprintf("node-%d", i), Region: "r", Subset: size}
		table.Set(list(targets), start)
		before := table.Polled()
		assert.Equal(t, len(before), size)
		for _, target := range before {
			count[target.Address]++
		}
		table.Set(list(targets-1), start)
		after := make(map[netip.AddrPort]bool)
		for _, target := range table.Polled() {
			after[target.Address] = true
		}
		for _, target := range before {
			if !after[target.Address] && target.Address != address(targets-1) {
				moved++
			}
		}
	}
	assert.Equal(t, moved, 0)
	maxNodes := 0
	for _, n := range count {
		maxNodes = max(maxNodes, n)
	}
	assert.Assert(t, len(count) >= targets*97/100, "%d of %d targets are in a subset", len(count), targets)
	assert.Assert(t, maxNodes <= 15, "a target is in the subsets of %d nodes", maxNodes)
}

func TestCapacity(t *testing.T) {
	table := &Table{Region: "r"}
	table.Set(list(2), start)
	table.Report(address(0), Load{Running: 8, Waiting: 5, Slots: 8, RequestedAt: start})
	table.Report(address(1), Load{Running: 8, Waiting: 2, Slots: 8, RequestedAt: start})
	assert.DeepEqual(t, table.Capacity("s", start), Capacity{Targets: 2, Slots: 16, Outstanding: 23, Wait: DefaultCallTime / 2, CallTime: DefaultCallTime})
	assert.DeepEqual(t, table.Capacity("none", start), Capacity{})
	table.Failed(address(0), start)
	table.Failed(address(1), start)
	assert.DeepEqual(t, table.Capacity("s", start), Capacity{Targets: 2, Slots: 2, CallTime: DefaultCallTime})
	secondFailure := start.Add(DefaultMaxBackoff)
	table.Failed(address(0), secondFailure)
	table.Failed(address(1), secondFailure)
	assert.DeepEqual(t, table.Capacity("s", secondFailure), Capacity{})
}

func TestSubsetFor(t *testing.T) {
	assert.Equal(t, SubsetFor(8000, 1000, 6*time.Second, 3), 16)
	assert.Equal(t, SubsetFor(100, 1000, time.Second, 3), minSubsetSize)
}

func BenchmarkSet(b *testing.B) {
	for _, n := range []int{12, 250, 3200} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			table := &Table{Node: "n", Region: "r"}
			l := list(n)
			b.ReportAllocs()
			for b.Loop() {
				table.Set(l, start)
			}
		})
	}
}

// A target is slow for a while, or gets the longest calls, and gets none from then
// on: it is idle while calls wait at the other targets.
func TestSlowdownExpires(t *testing.T) {
	table := &Table{Region: "r"}
	table.Set(list(4), start)
	for i := range 10 {
		for n, duration := range []time.Duration{5 * time.Second, time.Second, time.Second, time.Second} {
			c := table.Begin(address(n), time.Second, at(0))
			c.Kind = "draft"
			table.End(c, Done, at(time.Duration(i)*time.Millisecond+duration))
		}
	}
	now := at(5 * time.Second)
	assert.Assert(t, usable(table, now)[address(0)].Slowdown > slowThreshold)
	for n := 1; n < 4; n++ {
		assert.Equal(t, usable(table, now)[address(n)].Slowdown, 1.0)
	}
	assert.Equal(t, usable(table, now.Add(slowdownTTL))[address(0)].Slowdown, 1.0)
}

// One service runs long drafts and short questions. If the duration of a draft
// were compared with the average of all calls, the target that gets the drafts
// would look slow; if the wait for a slot counted as call time, so would a busy
// target.
func TestCallTimeIsPerKindAndExcludesWait(t *testing.T) {
	table := &Table{Region: "r"}
	table.Set(list(2), start)
	table.Report(address(1), Load{Running: 8, Waiting: 7, Slots: 8, RequestedAt: start})
	for range 20 {
		long := table.Begin(address(0), table.CallTimeOf("s", "draft"), at(0))
		long.Kind = "draft"
		table.End(long, Done, at(8*time.Second))
		short := table.Begin(address(1), table.CallTimeOf("s", "question"), at(0))
		short.Kind = "question"
		table.End(short, Done, at(2*time.Second)) // half of it in the queue
		table.Report(address(1), Load{Running: 8, Waiting: 7, Slots: 8, RequestedAt: at(2 * time.Second)})
	}
	assert.Equal(t, table.CallTimeOf("s", "draft"), 8*time.Second)
	assert.Equal(t, table.CallTimeOf("s", "question"), time.Second)
	for n, c := range usable(table, at(8*time.Second)) {
		assert.Equal(t, c.Slowdown, 1.0, "%s", n)
	}
}

// A switch restarts, and all connections to the targets of a service break in the
// same second. All targets are healthy, so requests must not be rejected until the
// backoff ends. But if the service is really down, not every request may try it,
// or each would wait for nothing.
func TestAllTargetsFailedOnce(t *testing.T) {
	table := &Table{Node: "n", Region: "r"}
	table.Set(list(3), at(0))
	for i := range 3 {
		table.End(table.Begin(address(i), time.Second, at(0)), Broken, at(0))
	}
	assert.Equal(t, len(usable(table, at(0))), 3)
	assert.Equal(t, table.Capacity("s", at(0)).Targets, 3)

	first := table.Begin(address(0), time.Second, at(0))
	assert.Equal(t, len(usable(table, at(0))), 2, "only one call probes a target")
	second := table.Begin(address(1), time.Second, at(0))
	table.End(second, Broken, at(0))
	assert.Equal(t, len(usable(table, at(0))), 1, "a target that failed again is in backoff")
	table.End(first, Done, at(0))
	assert.Assert(t, !usable(table, at(0))[address(0)].Probe, "a target that answered is healthy")

	down := &Table{Node: "n", Region: "r"}
	down.Set(list(3), at(0))
	for range 2 {
		for i := range 3 {
			down.End(down.Begin(address(i), time.Second, at(0)), Broken, at(0))
		}
	}
	assert.Equal(t, len(usable(down, at(0))), 0)
	assert.Equal(t, down.Capacity("s", at(0)).Targets, 0)
}
