package jwsuspect

import (
	"bytes"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// State is how far a fingerprint is suspected.
type State string

// The states of a fingerprint.
const (
	Clear       State = "clear"
	Suspected   State = "suspected"   // in flight on one target that crashed: never retried by the system
	Quarantined State = "quarantined" // in flight on two targets that crashed: not run at all
)

// The values that a Table takes where its own fields are zero.
const (
	DefaultRemember        = 10 * time.Minute
	DefaultQuarantine      = 2 * time.Minute
	DefaultMaxFingerprints = 4096
)

// quarantineGrowth is by how much each further quarantine of a fingerprint outlasts the
// one before, up to maxQuarantineSteps of them.
const (
	quarantineGrowth   = 4
	maxQuarantineSteps = 4
)

// crashesToQuarantine is how many different targets must have crashed with a
// fingerprint in flight before it is barred.
const crashesToQuarantine = 2

// crashWindow is the time within which broken calls to one target are taken
// for the same crash.
const crashWindow = 5 * time.Second

// Table knows which fingerprints are in flight on which target, and which were
// when a target crashed. One mutex guards it, and no other lock is taken under
// it. Fields are set before use; the zero value uses the defaults.
type Table struct {
	Node            string        // name of this node
	Region          string        // reported to peers with what is bound to it
	Remember        time.Duration // how long one crash counts
	Quarantine      time.Duration // how long the first quarantine of a fingerprint lasts
	MaxFingerprints int           // fingerprints remembered at most

	mu       sync.Mutex
	members  []string // live nodes of the region
	inFlight map[netip.AddrPort]map[Fingerprint]callCount
	suspects map[Fingerprint]*suspect
}

// callCount counts the calls of one fingerprint on one target.
type callCount struct {
	calls int
	bound bool
}

// suspect is what is held against one fingerprint.
type suspect struct {
	crashes          []crash
	bound            bool
	clearedAt        time.Time // crashes up to then do not count: it has been served
	quarantines      int       // quarantines so far
	quarantinedUntil time.Time // end of the last quarantine, zero before one
}

// crash is one target that went down with the fingerprint in flight.
type crash struct {
	target netip.AddrPort
	at     time.Time
}

// Begin notes a call in flight; bound says that its data must not leave the
// region. Every Begin needs its End.
func (t *Table) Begin(f Fingerprint, target netip.AddrPort, bound bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight == nil {
		t.inFlight = make(map[netip.AddrPort]map[Fingerprint]callCount)
	}
	calls := t.inFlight[target]
	if calls == nil {
		calls = make(map[Fingerprint]callCount)
		t.inFlight[target] = calls
	}
	calls[f] = callCount{calls: calls[f].calls + 1, bound: bound || calls[f].bound}
}

// End takes a call out. A call that was served clears its fingerprint: the
// target has run it and lives, so an earlier crash had another cause.
func (t *Table) End(f Fingerprint, target netip.AddrPort, served bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	calls := t.inFlight[target]
	fl, known := calls[f]
	if known && fl.calls > 1 {
		fl.calls--
		calls[f] = fl
	} else {
		delete(calls, f)
	}
	if len(calls) == 0 {
		delete(t.inFlight, target)
	}
	if s := t.suspects[f]; served && s != nil {
		s.clear(now)
	}
}

// clear drops what is held against a fingerprint up to a time.
func (s *suspect) clear(at time.Time) {
	if !at.After(s.clearedAt) {
		return
	}
	s.clearedAt = at
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	if len(s.crashes) == 0 {
		s.quarantines = 0
		s.quarantinedUntil = time.Time{}
	}
}

// Crashed notes that a target went down: all that is in flight there is
// suspected. It is called before the calls that broke are ended, and returns
// the fingerprints that this crash has put in quarantine.
func (t *Table) Crashed(target netip.AddrPort, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var barred []Fingerprint
	for f, fl := range t.inFlight[target] {
		if t.recordCrash(f, crash{target: target, at: now}, fl.bound, now) {
			barred = append(barred, f)
		}
	}
	slices.SortFunc(barred, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return barred
}

// recordCrash holds one crash against a fingerprint and reports whether that put it
// in quarantine.
func (t *Table) recordCrash(f Fingerprint, c crash, bound bool, now time.Time) bool {
	s := t.suspectFor(f, now)
	if s == nil {
		return false
	}
	s.bound = s.bound || bound
	s.crashes = slices.DeleteFunc(s.crashes, func(old crash) bool {
		return now.Sub(old.at) > t.remember()
	})
	if !c.at.After(s.clearedAt) || slices.ContainsFunc(s.crashes, c.isSameCrash) {
		return false
	}
	s.crashes = append(s.crashes, c)
	if s.isQuarantined(now) || (len(s.crashes) < crashesToQuarantine && !s.onProbation(now, t.remember())) {
		return false
	}
	s.quarantinedUntil = now.Add(t.quarantine() * time.Duration(math.Pow(quarantineGrowth, float64(min(s.quarantines, maxQuarantineSteps)))))
	s.quarantines++
	return true
}

// suspectFor returns what is held against a fingerprint, or nil when the table is
// full of others that still count.
func (t *Table) suspectFor(f Fingerprint, now time.Time) *suspect {
	s := t.suspects[f]
	if s != nil {
		return s
	}
	if len(t.suspects) >= t.maxFingerprints() {
		t.prune(now)
	}
	if len(t.suspects) >= t.maxFingerprints() {
		return nil
	}
	s = &suspect{}
	if t.suspects == nil {
		t.suspects = make(map[Fingerprint]*suspect)
	}
	t.suspects[f] = s
	return s
}

// isSameCrash reports whether two notices are about the isSameCrash crash. Nodes notice a crash
// at slightly different times; a target that has come back and goes down again
// is another crash, or a service with one target would never be safe.
func (c crash) isSameCrash(other crash) bool {
	return c.target == other.target && c.at.Sub(other.at).Abs() <= crashWindow
}

func (s *suspect) isQuarantined(now time.Time) bool { return now.Before(s.quarantinedUntil) }

// onProbation reports whether a quarantine has ended not long ago, so that one
// more crash renews it.
func (s *suspect) onProbation(now time.Time, remember time.Duration) bool {
	return s.quarantines > 0 && now.Sub(s.quarantinedUntil) <= remember
}

// Check returns how far a fingerprint is suspected; for a quarantined one it
// returns how long that still lasts.
func (t *Table) Check(f Fingerprint, now time.Time) (State, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(f, now)
}

func (t *Table) check(f Fingerprint, now time.Time) (State, time.Duration) {
	s := t.suspects[f]
	switch {
	case s == nil:
		return Clear, 0
	case s.isQuarantined(now):
		return Quarantined, s.quarantinedUntil.Sub(now)
	case s.isSuspected(now, t.remember()):
		return Suspected, 0
	}
	return Clear, 0
}

// isSuspected reports whether anything held against the fingerprint still counts.
func (s *suspect) isSuspected(now time.Time, remember time.Duration) bool {
	if s.onProbation(now, remember) {
		return true
	}
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) <= remember })
}

// prune forgets what no longer counts.
func (t *Table) prune(now time.Time) {
	for f, s := range t.suspects {
		cleared := now.Sub(s.clearedAt) <= t.remember()
		if !cleared && !s.isQuarantined(now) && !s.isSuspected(now, t.remember()) {
			delete(t.suspects, f)
		}
	}
}

func (t *Table) remember() time.Duration   { return orDefault(t.Remember, DefaultRemember) }
func (t *Table) quarantine() time.Duration { return orDefault(t.Quarantine, DefaultQuarantine) }

func (t *Table) maxFingerprints() int {
	if t.MaxFingerprints <= 0 {
		return DefaultMaxFingerprints
	}
	return t.MaxFingerprints
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
