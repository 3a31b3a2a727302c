package jwsuspect

import (
	"bytes"
	"net/netip"
	"slices"
	"time"
)

// Notice is one crash held against a fingerprint, as told to peers.
type Notice struct {
	Fingerprint Fingerprint
	Target      netip.AddrPort
	Age         time.Duration
	Region      string // set for bound data: told only within this region
}

// Notices returns what to tell a peer of a region, sorted; what is bound to
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
		for _, c := range s.crashes {
			n := Notice{Fingerprint: f, Target: c.target, Age: now.Sub(c.at)}
			if s.bound {
				n.Region = t.Region
			}
			out = append(out, n)
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

// Merge takes over what a peer told. A notice bound to another region is
// dropped, and one too old to count is as well. It returns the fingerprints
// that this has put in quarantine here.
func (t *Table) Merge(notices []Notice, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var barred []Fingerprint
	for _, n := range notices {
		if n.Age < 0 || n.Age > t.remember() || (n.Region != "" && n.Region != t.Region) {
			continue
		}
		c := crash{target: n.Target, at: now.Add(-n.Age)}
		if t.accuse(n.Fingerprint, c, n.Region != "", now) {
			barred = append(barred, n.Fingerprint)
		}
	}
	return barred
}
