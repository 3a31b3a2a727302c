package jwsuspect

import (
	"slices"
	"sort"
	"time"

	"jujubewheel/core/jwdelta"
)

// maxNotices is the maximum number of notices in one Update; the next one continues.
const maxNotices = 500

// Update is what two nodes exchange so that each gets every notice of the other one, also
// after it was restarted, paused or cut off, and as a rule only once. The zero value says that
// the sender has no notices and has received none.
type Update struct {
	Notices []Notice `json:"notices,omitempty"`
	After   uint64   `json:"after,omitempty"` // the notices are those of the sender after this number
	To      uint64   `json:"to,omitempty"`    // up to this number; 0 if there are none
	Ack     uint64   `json:"ack,omitempty"`   // number up to which the sender has the receiver's notices
}

// history numbers the changes that peers are to learn of. The zero value is empty.
type history struct {
	last      uint64
	changes   []change
	compactAt int // number of changes at which those that no longer count are removed
}

// minCompactAt is the minimum of history.compactAt.
const minCompactAt = 256

// change is a crash, or that the fingerprint was served if it has no target.
type change struct {
	number      uint64
	fingerprint Fingerprint
	crash       crash
}

// add appends a change and returns its number.
func (h *history) add(f Fingerprint, c crash, now time.Time) uint64 {
	h.last = jwdelta.Next(h.last, now)
	h.changes = append(h.changes, change{h.last, f, c})
	return h.last
}

// after returns the changes after a number, and that number. These are all changes if the number
// isn't one of this history.
func (h *history) after(number uint64) ([]change, uint64) {
	if number > h.last {
		number = 0
	}
	i := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].number > number })
	return h.changes[i:], number
}

// UpdateFor returns what a peer, of the given region, has not confirmed yet. It omits fingerprints of
// data that the region may not hold.
func (t *Table) UpdateFor(name, region string, now time.Time) Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers.Get(name, now)
	u := Update{Ack: p.Received}
	if p.Acked == t.history.last {
		return u
	}
	changes, after := t.history.after(p.Acked)
	u.After, u.To = after, t.history.last
	for _, c := range changes {
		if len(u.Notices) == maxNotices {
			break
		}
		u.To = c.number
		if s := t.suspects[c.fingerprint]; s != nil && s.counts(c) && s.homes.Allows(region) {
			u.Notices = append(u.Notices, s.notice(c, now))
		}
	}
	return u
}

func (s *suspect) notice(c change, now time.Time) Notice {
	if !c.crash.target.IsValid() {
		return s.clearNotice(c.fingerprint, now)
	}
	return s.crashNotice(c.fingerprint, c.crash, now)
}

// MergeUpdate applies the update of a peer and returns the fingerprints that this puts into
// quarantine at this node.
func (t *Table) MergeUpdate(name string, u Update, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers.Get(name, now)
	p.Merge(u.After, u.To, u.Ack)
	return t.merge(u.Notices, now)
}

// compact removes the changes that no longer count, once so many have been added that this is
// worthwhile.
func (t *Table) compact(now time.Time) {
	if len(t.history.changes) <= max(t.history.compactAt, minCompactAt) {
		return
	}
	t.prune(now)
	t.history.changes = slices.DeleteFunc(t.history.changes, func(c change) bool {
		s := t.suspects[c.fingerprint]
		return s == nil || !s.counts(c)
	})
	t.history.compactAt = 2 * len(t.history.changes)
}

// counts reports whether a change still says something about the fingerprint.
func (s *suspect) counts(c change) bool {
	if !c.crash.target.IsValid() {
		return c.number == s.clearNumber
	}
	return slices.Contains(s.crashes, c.crash)
}
