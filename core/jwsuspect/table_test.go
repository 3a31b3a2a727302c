package jwsuspect

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func target(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 8000)
}

func testFingerprint(n int) Fingerprint { return FingerprintOf("e", []byte(fmt.Sprint(n))) }

// crashAt runs a fingerprint on a target, which crashes.
func crashAt(t *Table, f Fingerprint, n int, now time.Time) []Fingerprint {
	t.Begin(f, target(n), false)
	barred := t.Crashed(target(n), now)
	t.End(f, target(n), false, now)
	return barred
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
		"served in between": {func(t *Table) {
			crashAt(t, poison, 1, at(0))
			t.Begin(poison, target(2), false)
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
			other.Begin(poison, target(3), false)
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

// A node tells another what it suspects. What is bound to a region must not
// be told outside it, nor taken over there if a peer does tell.
func TestNoticesOfBoundDataStayInRegion(t *testing.T) {
	a := &Table{Region: "a"}
	a.Begin(testFingerprint(1), target(1), true)
	a.Begin(testFingerprint(2), target(1), false)
	a.Crashed(target(1), start)
	assert.Equal(t, len(a.Notices("a", start)), 2)
	away := a.Notices("b", start)
	assert.Equal(t, len(away), 1)
	assert.Equal(t, away[0].Fingerprint, testFingerprint(2))
	b := &Table{Region: "b"}
	b.Merge(a.Notices("a", start), start)
	state, _ := b.Check(testFingerprint(1), start)
	assert.Equal(t, state, Clear)
}

// Peers repeat what they know. Heard twice, or back from where it came, a
// crash must not count as another one, or innocents end in quarantine.
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

// A caller sends a request that crashes every target it reaches, and sends it
// again after each failure, to another node each time. Unstopped it takes the
// whole service down; the innocent requests beside it must not be barred with it.
func TestPoisonCrashesTwoTargets(t *testing.T) {
	locked, lockedTogether := 0, 0
	for seed := range uint64(40) {
		crashed, barred := (&model{seed: seed, delay: time.Second, retryPause: 2 * time.Second}).run()
		assert.Equal(t, crashed, 2, "seed %d", seed)
		locked += barred
		_, barred = (&model{seed: seed, delay: time.Second, retryPause: 2 * time.Second, shareTargets: true}).run()
		lockedTogether += barred
	}
	t.Logf("innocents barred over 40 runs: %d, with suspects together %d", locked, lockedTogether)
	assert.Equal(t, locked, 0)
	assert.Assert(t, lockedTogether > 0)
}

// A caller that does not wait as told comes back before the nodes have told
// each other. What it can take down more is bounded by the pace of its tries
// against the delay of the notices.
func TestPoisonFasterThanNotices(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second} {
		for _, again := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			most, barred := 0, 0
			for seed := range uint64(10) {
				crashed, locked := (&model{seed: seed, delay: delay, retryPause: again}).run()
				most = max(most, crashed)
				barred += locked
			}
			t.Logf("notices after %v, sent again after %v: at most %d targets, %d innocents barred in 10 runs", delay, again, most, barred)
			assert.Assert(t, most <= 2+int(delay/again), "%d targets", most)
		}
	}
}

// A node forgets an old crash in the moment in which a peer still tells of it.
// Taken for a new crash, it would bar an innocent that is on probation.
func TestMergeNearlyForgotten(t *testing.T) {
	a := &Table{}
	crashAt(a, testFingerprint(1), 1, at(0))
	crashAt(a, testFingerprint(1), 2, at(time.Second))
	now := at(DefaultRemember + 500*time.Millisecond)
	old := []Notice{{Fingerprint: testFingerprint(1), State: Suspected, Target: target(1), Age: DefaultRemember}}
	assert.Equal(t, len(a.Merge(old, now)), 0)
}

// A fingerprint is cleared here because it was served, and peers who have not
// heard of that go on telling of the old crashes; those must not count again.
func TestMergeAfterClearing(t *testing.T) {
	a, b := &Table{}, &Table{}
	crashAt(a, testFingerprint(1), 1, at(0))
	crashAt(a, testFingerprint(1), 2, at(0))
	old := a.Notices("", at(0))
	b.Merge(old, at(0))
	b.Begin(testFingerprint(1), target(3), false)
	b.End(testFingerprint(1), target(3), true, at(time.Second))
	assert.Equal(t, len(b.Merge(old, at(0))), 0)
	state, _ := b.Check(testFingerprint(1), at(time.Second))
	assert.Equal(t, state, Clear)
}
