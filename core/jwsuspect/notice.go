package jwsuspect

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"jujubewheel/core/jwworkspace"
)

// Notice is a report to a peer about one fingerprint: that a target crashed with it in
// flight, or that it was served and is clear.
type Notice struct {
	Fingerprint Fingerprint
	State       State               // Suspected or Quarantined for a crash, Clear for a served call
	Target      netip.AddrPort      // target that crashed
	Incarnation string              `json:",omitempty"` // of that target, "" if not known
	Age         time.Duration       // time since the crash or the served call
	Homes       jwworkspace.Regions // regions that the notice may be reported to, all if empty
}

// Notices returns the sorted reports for a peer in the given region. It omits fingerprints
// of data that the region may not hold.
func (t *Table) Notices(region string, now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	var notices []Notice
	for f, s := range t.suspects {
		if !s.homes.Allows(region) {
			continue
		}
		for _, c := range s.crashes {
			notices = append(notices, s.crashNotice(f, c, now))
		}
		if !s.clearedAt.IsZero() {
			notices = append(notices, s.clearNotice(f, now))
		}
	}
	slices.SortFunc(notices, compareNotices)
	return notices
}

// crashNotice returns the notice of a crash. Its state is Quarantined as long as a quarantine of the
// fingerprint rests on it, however old the crash is.
func (s *suspect) crashNotice(f Fingerprint, c crash, now time.Time) Notice {
	state := Suspected
	if s.isQuarantined(now) {
		state = Quarantined
	}
	return Notice{Fingerprint: f, State: state, Target: c.target, Incarnation: c.incarnation, Age: now.Sub(c.at), Homes: s.homes}
}

func (s *suspect) clearNotice(f Fingerprint, now time.Time) Notice {
	return Notice{Fingerprint: f, State: Clear, Age: now.Sub(s.clearedAt), Homes: s.homes}
}

func compareNotices(a, b Notice) int {
	if d := bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]); d != 0 {
		return d
	}
	return a.Target.Compare(b.Target)
}

// Merge applies the notices of a peer and returns the fingerprints that this puts into
// quarantine at this node. It drops notices that this region may not hold, and those
// that are nearly too old to count and on which no quarantine rests: this node may just have
// removed the same crash and would count it as a new one.
func (t *Table) Merge(notices []Notice, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(notices, now)
}

func (t *Table) merge(notices []Notice, now time.Time) []Fingerprint {
	var quarantined []Fingerprint
	for _, n := range notices {
		if n.Age < 0 || !n.Homes.Allows(t.Region) || n.State != Quarantined && n.Age > t.remember()-2*crashWindow {
			continue
		}
		if n.State == Clear {
			if s := t.suspectFor(n.Fingerprint, now); s != nil {
				s.homes = s.homes.Intersect(n.Homes)
				t.clear(n.Fingerprint, s, now.Add(-n.Age), now)
			}
			continue
		}
		c := crash{target: n.Target, incarnation: n.Incarnation, at: now.Add(-n.Age)}
		if t.recordCrash(n.Fingerprint, c, n.Homes, now, n.State == Quarantined) {
			quarantined = append(quarantined, n.Fingerprint)
		}
	}
	return quarantined
}
