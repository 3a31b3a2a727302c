package jwsuspect

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwworkspace"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func target(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 8000)
}

func testFingerprint(n int) Fingerprint { return FingerprintOf("e", []byte(fmt.Sprint(n))) }

// crashAt runs a fingerprint on target n, which crashes, and returns the fingerprints that
// are quarantined.
func crashAt(t *Table, f Fingerprint, n int, now time.Time) []Fingerprint {
	return crashIncarnation(t, f, n, "", now)
}

// crashIncarnation is like crashAt for a known incarnation of the target.
func crashIncarnation(t *Table, f Fingerprint, n int, incarnation string, now time.Time) []Fingerprint {
	t.Begin(f, target(n), nil)
	quarantined := t.Crashed(target(n), incarnation, now)
	t.End(f, target(n), false, now)
	return quarantined
}

func TestCheck(t *testing.T) {
	poison := testFingerprint(1)
	tests := map[string]struct {
		steps func(*Table)
		now   time.Duration
		want  State
	}{
		"never seen": {func(*Table) {}, 0, Clear},
		"one crash":  {func(t *Table) { crashAt(t, poison, 1, at(0)) }, time.Second, Suspected},
		"one crash long ago": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
		}, DefaultRemember + 1, Clear},
		"two targets": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
			crashAt(t, poison, 2, at(time.Second))
		}, time.Second, Quarantined},
		"one crash noticed twice": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
			crashAt(t, poison, 1, at(time.Second))
		}, time.Second, Suspected},
		"the only target, twice": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
			crashAt(t, poison, 1, at(time.Minute))
		}, time.Minute, Quarantined},
		"the only target, restarted at once": {func(t *Table) {
			crashIncarnation(t, poison, 1, "a", at(0))
			crashIncarnation(t, poison, 1, "b", at(crashWindow-1))
		}, crashWindow, Quarantined},
		"one crash of an incarnation, noticed twice": {func(t *Table) {
			crashIncarnation(t, poison, 1, "a", at(0))
			crashIncarnation(t, poison, 1, "a", at(time.Second))
		}, time.Second, Suspected},
		"one crash, noticed without the incarnation, too": {func(t *Table) {
			crashIncarnation(t, poison, 1, "a", at(0))
			crashIncarnation(t, poison, 1, "", at(time.Second))
		}, time.Second, Suspected},
		"restarted at once, by another node's report": {func(t *Table) {
			other := &Table{}
			crashIncarnation(t, poison, 1, "a", at(0))
			crashIncarnation(other, poison, 1, "b", at(time.Second))
			t.Merge(other.Notices("", at(time.Second)), at(time.Second))
		}, time.Second, Quarantined},
		"served in between": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
			t.Begin(poison, target(2), nil)
			t.End(poison, target(2), true, at(time.Second))
			crashAt(t, poison, 3, at(2*time.Second))
		}, 2 * time.Second, Suspected},
		"quarantine over": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
			crashAt(t, poison, 2, at(0))
		}, DefaultQuarantine, Suspected},
		"crashes once more after it": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
			crashAt(t, poison, 2, at(0))
			crashAt(t, poison, 3, at(DefaultQuarantine))
		}, DefaultQuarantine + 3*DefaultQuarantine, Quarantined},
		"served at another node": {func(t *Table) {
			other := &Table{}
			crashAt(t, poison, 1, at(0))
			crashAt(t, poison, 2, at(0))
			other.Merge(t.Notices("", at(0)), at(0))
			other.Begin(poison, target(3), nil)
			other.End(poison, target(3), true, at(time.Second))
			t.Merge(other.Notices("", at(time.Second)), at(time.Second))
		}, time.Second, Clear},
		"all forgotten": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
			crashAt(t, poison, 2, at(0))
		}, DefaultQuarantine + DefaultRemember + 1, Clear},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := &Table{}
			test.steps(table)
			got, left := table.Check(poison, at(test.now))
			assert.Equal(t, got, test.want)
			assert.Equal(t, left > 0, test.want == Quarantined)
		})
	}
}

// Notices of data that is bound to a region must not be sent outside the region, nor
// merged there if a peer sends them anyway.
func TestNoticesOfBoundDataStayInRegion(t *testing.T) {
	a := &Table{Region: "a"}
	a.Begin(testFingerprint(1), target(1), jwworkspace.Regions{"a"})
	a.Begin(testFingerprint(2), target(1), nil)
	a.Crashed(target(1), "", start)
	assert.Equal(t, len(a.Notices("a", start)), 2)
	inOtherRegion := a.Notices("b", start)
	assert.Equal(t, len(inOtherRegion), 1)
	assert.Equal(t, inOtherRegion[0].Fingerprint, testFingerprint(2))
	b := &Table{Region: "b"}
	b.Merge(a.Notices("a", start), start)
	state, _ := b.Check(testFingerprint(1), start)
	assert.Equal(t, state, Clear)
}

// Notices of data with several homes must reach all of them, where the request may run next,
// and must neither be sent to other regions nor merged there if a peer sends them anyway.
func TestNoticesStayInHomes(t *testing.T) {
	from := &Table{Region: "a"}
	homes := map[int]jwworkspace.Regions{1: {"a"}, 2: {"a", "b"}, 3: nil}
	for n, h := range homes {
		from.Begin(testFingerprint(n), target(1), h)
	}
	from.Crashed(target(1), "", start)
	tests := map[string][]int{"a": {1, 2, 3}, "b": {2, 3}, "c": {3}}
	for region, want := range tests {
		t.Run(region, func(t *testing.T) {
			var got []Fingerprint
			for _, n := range from.Notices(region, start) {
				got = append(got, n.Fingerprint)
			}
			assert.Equal(t, len(got), len(want))
			peer := &Table{Region: region}
			peer.Merge(from.Notices("a", start), start)
			for n := range homes {
				f := testFingerprint(n)
				assert.Equal(t, slices.Contains(got, f), slices.Contains(want, n), "reported to %s: %d", region, n)
				state, _ := peer.Check(f, start)
				assert.Equal(t, state == Suspected, slices.Contains(want, n), "merged at %s: %d", region, n)
			}
		})
	}
}

// Peers send their notices repeatedly. A crash that a node receives twice, or receives
// back after it reported the crash itself, must not count as another one. Otherwise
// harmless requests would be quarantined.
func TestMergeRepeats(t *testing.T) {
	a, b := &Table{}, &Table{}
	crashAt(a, testFingerprint(1), 1, start)
	for i := range 20 {
		now := at(time.Duration(i) * time.Minute)
		b.Merge(a.Notices("", now), now)
		a.Merge(b.Notices("", now), now.Add(time.Second))
		for _, table := range []*Table{a, b} {
			state, _ := table.Check(testFingerprint(1), now)
			assert.Assert(t, state != Quarantined, "after %d minutes", i)
		}
	}
}

// A caller sends a request that crashes each target that runs it, and retries it at
// another node after each failure. Without the quarantine this crashes the whole service.
// The harmless requests on the same targets must not be quarantined with it.
func TestPoisonCrashesTwoTargets(t *testing.T) {
	total, totalShared := 0, 0
	for seed := range uint64(40) {
		crashed, quarantined := (&model{seed: seed, delay: time.Second, retryPause: 2 * time.Second}).run()
		assert.Equal(t, crashed, 2, "seed %d", seed)
		total += quarantined
		_, quarantined = (&model{seed: seed, delay: time.Second, retryPause: 2 * time.Second, shareTargets: true}).run()
		totalShared += quarantined
	}
	t.Logf("harmless requests quarantined in 40 runs: %d, with suspects on the same targets %d", total, totalShared)
	assert.Equal(t, total, 0)
	assert.Assert(t, totalShared > 0)
}

// A caller that ignores Retry-After retries before the nodes have exchanged notices. The
// number of additional crashes is bounded by how often it can retry within the delay of
// the notices.
func TestPoisonFasterThanNotices(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second} {
		for _, retryPause := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			maxCrashed, total := 0, 0
			for seed := range uint64(10) {
				crashed, quarantined := (&model{seed: seed, delay: delay, retryPause: retryPause}).run()
				maxCrashed = max(maxCrashed, crashed)
				total += quarantined
			}
			t.Logf("notices after %v, retried after %v: at most %d crashes, %d harmless requests quarantined in 10 runs", delay, retryPause, maxCrashed, total)
			assert.Assert(t, maxCrashed <= 2+int(delay/retryPause), "%d crashes", maxCrashed)
		}
	}
}

// More requests than the table holds were in flight at crashes. One that crashes targets after that
// must be recognized all the same, and those in quarantine must stay there.
func TestFullTable(t *testing.T) {
	table := &Table{MaxFingerprints: 16}
	crashAt(table, testFingerprint(0), 1, at(0))
	crashAt(table, testFingerprint(0), 2, at(0))
	for i := range 40 {
		crashAt(table, testFingerprint(1+i), 3+i, at(time.Second*time.Duration(1+i)))
	}
	poison := testFingerprint(100)
	crashAt(table, poison, 50, at(50*time.Second))
	assert.DeepEqual(t, crashAt(table, poison, 51, at(51*time.Second)), []Fingerprint{poison})
	state, _ := table.Check(testFingerprint(0), at(52*time.Second))
	assert.Equal(t, state, Quarantined)
	assert.Assert(t, len(table.suspects) <= 16)
}

// A node starts while a long quarantine is in force, whose first crashes are older than single ones
// count.
func TestNoticesOfLongQuarantine(t *testing.T) {
	poison := testFingerprint(1)
	a := &Table{Node: "a"}
	crashAt(a, poison, 1, at(0))
	crashAt(a, poison, 2, at(time.Second))
	crashAt(a, poison, 3, at(4*time.Minute))
	crashAt(a, poison, 4, at(13*time.Minute))
	now := at(40 * time.Minute)
	state, left := a.Check(poison, now)
	assert.Equal(t, state, Quarantined)
	b := &Table{Node: "b"}
	exchange(a, b, now, false, false)
	got, gotLeft := b.Check(poison, now)
	assert.Equal(t, got, Quarantined)
	assert.Equal(t, gotLeft, left)
	c := &Table{Node: "c"}
	c.Merge(a.Notices("", now), now)
	got, _ = c.Check(poison, now)
	assert.Equal(t, got, Quarantined)
}

// A node removes an old crash at the moment when a peer still reports it. Counted as a
// new crash, it would quarantine a harmless request that is on probation.
func TestMergeNearlyForgotten(t *testing.T) {
	a := &Table{}
	crashAt(a, testFingerprint(1), 1, at(0))
	crashAt(a, testFingerprint(1), 2, at(time.Second))
	now := at(DefaultRemember + 500*time.Millisecond)
	old := []Notice{{Fingerprint: testFingerprint(1), State: Suspected, Target: target(1), Age: DefaultRemember}}
	assert.Equal(t, len(a.Merge(old, now)), 0)
}

// A fingerprint is cleared at this node because it was served, and peers that have not
// received that notice go on reporting its old crashes. Those must not count again.
func TestMergeAfterClearing(t *testing.T) {
	a, b := &Table{}, &Table{}
	crashAt(a, testFingerprint(1), 1, at(0))
	crashAt(a, testFingerprint(1), 2, at(0))
	old := a.Notices("", at(0))
	b.Merge(old, at(0))
	b.Begin(testFingerprint(1), target(3), nil)
	b.End(testFingerprint(1), target(3), true, at(time.Second))
	assert.Equal(t, len(b.Merge(old, at(0))), 0)
	state, _ := b.Check(testFingerprint(1), at(time.Second))
	assert.Equal(t, state, Clear)
}

// BenchmarkCrashesWithFullTable measures a crash with 16 requests in flight when the table is full.
func BenchmarkCrashesWithFullTable(b *testing.B) {
	table := &Table{}
	n := 0
	for b.Loop() {
		x := target(n % 200)
		for range 16 {
			n++
			table.Begin(testFingerprint(n), x, nil)
		}
		now := at(time.Duration(n) * time.Millisecond)
		table.Crashed(x, "", now)
		for i := range 16 {
			table.End(testFingerprint(n-i), x, false, now)
		}
	}
}
