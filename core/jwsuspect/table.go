package jwsuspect

import (
	"bytes"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwdelta"
	"jujubewheel/core/jwworkspace"
)

// State says whether a fingerprint is suspected of crashing targets.
type State string

// The states of a fingerprint.
const (
	Clear       State = "clear"
	Suspected   State = "suspected"   // was in flight on a target that crashed: never retried by the system
	Quarantined State = "quarantined" // was in flight on two targets that crashed: not run at all
)

// The values that a Table uses for its fields that are zero.
const (
	DefaultRemember        = 10 * time.Minute
	DefaultQuarantine      = 2 * time.Minute
	DefaultMaxFingerprints = 4096
)

// quarantineGrowth is the factor by which each quarantine of a fingerprint is longer than
// the one before. It applies up to maxQuarantineSteps times.
const (
	quarantineGrowth   = 4
	maxQuarantineSteps = 4
)

// crashesToQuarantine is how many different targets must have crashed with a
// fingerprint in flight before it is quarantined.
const crashesToQuarantine = 2

// crashWindow is the time within which failed calls to one target count as the same
// crash.
const crashWindow = 5 * time.Second

// Table records which fingerprints are in flight on which target, and which were in
// flight when a target crashed. Its mutex guards it; no other lock is acquired while it
// is held. Set its fields before use; the zero value uses the defaults.
type Table struct {
	Node            string        // name of this node
	Region          string        // region of this node
	Remember        time.Duration // how long one crash counts
	Quarantine      time.Duration // how long the first quarantine of a fingerprint lasts
	MaxFingerprints int           // maximum number of fingerprints remembered

	mu       sync.Mutex
	members  []string // live nodes of the region
	inFlight map[netip.AddrPort]map[Fingerprint]callCount
	suspects map[Fingerprint]*suspect
	history  history
	peers    jwdelta.Peers
}

// callCount counts the calls of one fingerprint on one target.
type callCount struct {
	calls int
	homes jwworkspace.Regions
}

// suspect is the record of the crashes and quarantines of one fingerprint.
type suspect struct {
	crashes          []crash
	homes            jwworkspace.Regions // regions that may hold the data, all if empty
	clearedAt        time.Time           // when it was last served: earlier crashes do not count
	clearReported    time.Time           // the latest clearedAt that is in the history
	clearNumber      uint64              // number of the latest change by which it was cleared
	quarantines      int                 // number of quarantines so far
	quarantinedUntil time.Time           // end of the last quarantine, zero if there was none
}

// crash is the crash of one target that had the fingerprint in flight.
type crash struct {
	target      netip.AddrPort
	incarnation string // of the target, "" if not known
	at          time.Time
}

// Begin records a call in flight; homes are the regions that may hold its data, all if empty.
// Each call of Begin needs a call of End.
func (t *Table) Begin(f Fingerprint, target netip.AddrPort, homes jwworkspace.Regions) {
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
	calls[f] = callCount{calls: calls[f].calls + 1, homes: homes.Intersect(calls[f].homes)}
}

// InFlight returns the number of different fingerprints in flight on a target.
func (t *Table) InFlight(target netip.AddrPort) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight[target])
}

// End removes a call in flight. A call that was served clears its fingerprint: the target
// ran it without crashing, so an earlier crash had another cause. End reports whether that
// ended a quarantine.
func (t *Table) End(f Fingerprint, target netip.AddrPort, served bool, now time.Time) (released bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	calls := t.inFlight[target]
	count, known := calls[f]
	if known && count.calls > 1 {
		count.calls--
		calls[f] = count
	} else {
		delete(calls, f)
	}
	if len(calls) == 0 {
		delete(t.inFlight, target)
	}
	s := t.suspects[f]
	if !served || s == nil {
		return false
	}
	released = s.isQuarantined(now)
	t.clear(f, s, now, now)
	return released && !s.isQuarantined(now)
}

// clear removes the crashes of a fingerprint up to the given time.
func (t *Table) clear(f Fingerprint, s *suspect, at, now time.Time) {
	if !at.After(s.clearedAt) {
		return
	}
	s.clearedAt = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	if len(s.crashes) < before {
		t.reportClear(f, s, now)
		t.judge(s)
	}
}

// reportClear adds to the history that a fingerprint was served.
func (t *Table) reportClear(f Fingerprint, s *suspect, now time.Time) {
	s.clearReported = s.clearedAt
	s.clearNumber = t.history.add(f, crash{}, now)
}

// Crashed records that a target crashed: all fingerprints in flight there become
// suspected. Call it before End is called for the calls that failed. The incarnation of the
// target is "" if it is not known. Crashed returns the fingerprints that this crash puts into
// quarantine.
func (t *Table) Crashed(target netip.AddrPort, incarnation string, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var quarantined []Fingerprint
	for f, count := range t.inFlight[target] {
		if t.recordCrash(f, crash{target: target, incarnation: incarnation, at: now}, count.homes, now, false) {
			quarantined = append(quarantined, f)
		}
	}
	slices.SortFunc(quarantined, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return quarantined
}

// recordCrash records one crash of a fingerprint and reports whether that puts it into
// quarantine. keepOld keeps earlier crashes that no longer count by themselves.
func (t *Table) recordCrash(f Fingerprint, c crash, homes jwworkspace.Regions, now time.Time, keepOld bool) bool {
	t.compact(now)
	s := t.suspectFor(f, now)
	if s == nil {
		return false
	}
	s.homes = s.homes.Intersect(homes)
	if !keepOld && !s.isQuarantined(now) && !s.onProbation(now, t.remember()) {
		s.crashes = slices.DeleteFunc(s.crashes, func(old crash) bool { return now.Sub(old.at) > t.remember() })
	}
	if !c.at.After(s.clearedAt) {
		// A peer that reports such a crash may not know that the fingerprint was served since.
		if c.at.After(s.clearReported) {
			t.reportClear(f, s, now)
		}
		return false
	}
	if slices.ContainsFunc(s.crashes, c.isSameCrash) {
		return false
	}
	t.history.add(f, c, now)
	s.crashes = append(s.crashes, c)
	before := s.isQuarantined(now)
	t.judge(s)
	return !before && s.isQuarantined(now)
}

// judge derives the quarantines of a fingerprint from its crashes, so that nodes that know of the
// same crashes come to the same result in whatever order they learned of them.
func (t *Table) judge(s *suspect) {
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	s.quarantines, s.quarantinedUntil = 0, time.Time{}
	for i, c := range s.crashes {
		if s.isQuarantined(c.at) {
			continue
		}
		recent := 0
		for _, earlier := range s.crashes[:i+1] {
			if c.at.Sub(earlier.at) <= t.remember() {
				recent++
			}
		}
		if recent < crashesToQuarantine && !s.onProbation(c.at, t.remember()) {
			continue
		}
		growth := math.Pow(quarantineGrowth, float64(min(s.quarantines, maxQuarantineSteps)))
		s.quarantinedUntil = c.at.Add(t.quarantine() * time.Duration(growth))
		s.quarantines++
	}
}

// suspectFor returns the record of a fingerprint, which it creates if there is none. It
// returns nil if the table is full of fingerprints in quarantine or on probation.
func (t *Table) suspectFor(f Fingerprint, now time.Time) *suspect {
	s := t.suspects[f]
	if s != nil {
		return s
	}
	if len(t.suspects) >= t.maxFingerprints() {
		t.prune(now)
	}
	if len(t.suspects) >= t.maxFingerprints() {
		t.evict(now)
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

// evictShare is the fraction of the records that evict removes, so that it rarely runs.
const evictShare = 0.125

// evict removes the records that were changed longest ago, except those of fingerprints that are
// quarantined or were until recently.
func (t *Table) evict(now time.Time) {
	var candidates []Fingerprint
	for f, s := range t.suspects {
		if !s.isQuarantined(now) && !s.onProbation(now, t.remember()) {
			candidates = append(candidates, f)
		}
	}
	slices.SortFunc(candidates, func(a, b Fingerprint) int {
		if d := t.suspects[a].changedAt().Compare(t.suspects[b].changedAt()); d != 0 {
			return d
		}
		return bytes.Compare(a[:], b[:])
	})
	n := max(int(evictShare*float64(t.maxFingerprints())), 1)
	for _, f := range candidates[:min(n, len(candidates))] {
		delete(t.suspects, f)
	}
}

// changedAt returns the time of the last crash or served call.
func (s *suspect) changedAt() time.Time {
	at := s.clearedAt
	for _, c := range s.crashes {
		if c.at.After(at) {
			at = c.at
		}
	}
	return at
}

// isSameCrash reports whether two records describe the same crash. Nodes notice a crash
// at slightly different times. If a target restarts and crashes again, that is another
// crash; otherwise a service with only one target would never be protected.
func (c crash) isSameCrash(other crash) bool {
	if c.incarnation != other.incarnation && c.incarnation != "" && other.incarnation != "" {
		return false
	}
	return c.target == other.target && c.at.Sub(other.at).Abs() <= crashWindow
}

func (s *suspect) isQuarantined(now time.Time) bool { return now.Before(s.quarantinedUntil) }

// onProbation reports whether a quarantine ended so recently that one more crash renews
// it.
func (s *suspect) onProbation(now time.Time, remember time.Duration) bool {
	return s.quarantines > 0 && now.Sub(s.quarantinedUntil) <= remember
}

// Check returns the state of a fingerprint and, if it is quarantined, the time until the
// quarantine ends.
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

// isSuspected reports whether a crash or quarantine of the fingerprint still counts.
func (s *suspect) isSuspected(now time.Time, remember time.Duration) bool {
	if s.onProbation(now, remember) {
		return true
	}
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) <= remember })
}

// prune removes the records that no longer count.
func (t *Table) prune(now time.Time) {
	for f, s := range t.suspects {
		cleared := now.Sub(s.clearedAt) <= t.remember()
		if !cleared && !s.isQuarantined(now) && !s.isSuspected(now, t.remember()) {
			delete(t.suspects, f)
		}
	}
	t.peers.Expire(now, t.remember())
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
