package jwsuspect

import (
	"bytes"
	"net/netip"
	"slices"
	"time"
)

// Notice is one report about a fingerprint, as peers get it: a crash held
// against it, or that it has been served and is clear.
type Notice struct {
	Fingerprint Fingerprint
	State       State          // Suspected for a crash, Clear
	Target      netip.AddrPort // that crashed
	Age         time.Duration
	Region      string // set for bound data: reported only within this region
}

// Notices returns what to report to a peer of a region, sorted; what is bound to
// another region is left out.
func (t *Table) Notices(region string, now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	var out []Notice
	for f, s := range t.suspects {
		if s.bound && region != t.Region {
			continue
		}
		first := len(out)
		for _, c := range s.crashes {
			out = append(out, Notice{Fingerprint: f, State: Suspected, Target: c.target, Age: now.Sub(c.at)})
		}
		if !s.clearedAt.IsZero() {
			out = append(out, Notice{Fingerprint: f, State: Clear, Age: now.Sub(s.clearedAt)})
		}
		for i := first; s.bound && i < len(out); i++ {
			out[i].Region = t.Region
		}
	}
	slices.SortFunc(out, compareNotices)
	return out
}

func compareNotices(a, b Notice) int {
	if d := bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]); d != 0 {
		return d
	}
	return a.Target.Compare(b.Target)
}

// Merge takes over what a peer reported. A notice bound to another region is
// dropped. So is one that is nearly too old to count: this node may have
// forgotten the same crash a moment ago, and would take it for a new one. It
// returns the fingerprints that this has put in quarantine here.
func (t *Table) Merge(notices []Notice, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var barred []Fingerprint
	for _, n := range notices {
		if n.Age < 0 || n.Age > t.remember()-2*crashWindow || (n.Region != "" && n.Region != t.Region) {
			continue
		}
		if n.State == Clear {
			if s := t.suspectFor(n.Fingerprint, now); s != nil {
				s.bound = s.bound || n.Region != ""
				s.clear(now.Add(-n.Age))
			}
			continue
		}
		c := crash{target: n.Target, at: now.Add(-n.Age)}
		if t.recordCrash(n.Fingerprint, c, n.Region != "", now) {
			barred = append(barred, n.Fingerprint)
		}
	}
	return barred
}
