package jwpart

import (
	"cmp"
	"slices"
	"time"

	"jujubewheel/core/jwdelta"
	"jujubewheel/core/jwworkspace"
)

// Suspect is a part that was in flight as a target crashed.
type Suspect struct {
	Part  ID                  `json:"part"`
	Homes jwworkspace.Regions `json:"homes,omitempty"` // regions that may hold its data, all if empty
	// Weak means that there is reason to think that it is harmless: a request with it has been served
	// recently, or the target had been answering one for a while.
	Weak bool `json:"weak,omitempty"`
}

// merge returns what two nodes know together of a suspect.
func (s Suspect) merge(other Suspect) Suspect {
	s.Weak = s.Weak || other.Weak
	if len(other.Homes) == 0 {
		s.Homes = nil
	}
	return s
}

// points returns what the crash counts against the part.
func (s Suspect) points() int {
	if s.Weak {
		return weakPoints
	}
	return strongPoints
}

// Crash is a report of the crash of a target.
type Crash struct {
	Incarnation string        `json:"incarnation"`
	Age         time.Duration `json:"age"`
	Suspects    []Suspect     `json:"suspects"`
}

// Cleared is a report that a part was harmless.
type Cleared struct {
	Part ID            `json:"part"`
	Age  time.Duration `json:"age"`
}

// Update is what two nodes exchange so that each gets every crash and clearance that the other one knows
// of, also after it was restarted, paused or cut off. The zero value says that the sender knows of none
// and has received none.
type Update struct {
	Crashes []Crash   `json:"crashes,omitempty"`
	Cleared []Cleared `json:"cleared,omitempty"`
	After   uint64    `json:"after,omitempty"` // the reports are those of the sender's changes after this number
	To      uint64    `json:"to,omitempty"`    // up to this number; 0 if there are none
	Ack     uint64    `json:"ack,omitempty"`   // number up to which the sender has the receiver's changes
}

// maxReported is the number of parts from which on an update ends; the next one continues.
const maxReported = 512

// nextChange numbers a change.
func (t *Table) nextChange(now time.Time) uint64 {
	t.changes = jwdelta.Next(t.changes, now)
	return t.changes
}

// UpdateFor returns what a peer, of the given region, has not confirmed yet. It omits parts of data that
// the region may not hold.
func (t *Table) UpdateFor(name, region string, now time.Time) Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers.Get(name, now)
	u := Update{Ack: p.Received}
	if p.Acked == t.changes {
		return u
	}
	u.After = p.Acked
	if u.After > t.changes {
		u.After = 0 // a number of an earlier run
	}
	reported := 0
	for _, c := range t.changedSince(u.After) {
		if reported >= maxReported {
			return u
		}
		u.To = c.number
		reported += t.report(&u, c, region, now)
	}
	u.To = t.changes // those without a report no longer count
	return u
}

// change is a crash, or a part that was cleared if it has none.
type change struct {
	number uint64
	crash  *crash
	part   ID
}

// changedSince returns what has changed after a number, the earliest change first.
func (t *Table) changedSince(number uint64) []change {
	var list []change
	for _, c := range t.crashes {
		if c.number > number {
			list = append(list, change{number: c.number, crash: c})
		}
	}
	for id, c := range t.cleared {
		if c.number > number {
			list = append(list, change{number: c.number, part: id})
		}
	}
	slices.SortFunc(list, func(a, b change) int { return cmp.Compare(a.number, b.number) })
	return list
}

// report adds a change to an update, without what the region may not hold, and returns how many parts
// that names.
func (t *Table) report(u *Update, change change, region string, now time.Time) int {
	c := change.crash
	if c == nil {
		if t.mayReport(change.part, region) {
			u.Cleared = append(u.Cleared, Cleared{Part: change.part, Age: now.Sub(t.cleared[change.part].at)})
		}
		return 1
	}
	r := Crash{Incarnation: c.incarnation, Age: now.Sub(c.at)}
	for _, s := range c.suspects {
		if s.Homes.Allows(region) {
			r.Suspects = append(r.Suspects, s)
		}
	}
	u.Crashes = append(u.Crashes, r)
	return len(c.suspects)
}

// maxEarly limits Table.early. Beyond it the parts stay suspects until they are served again.
const maxEarly = 1024

// keepEarly keeps a clearance that may be about a crash that this node doesn't know of yet.
func (t *Table) keepEarly(p ID, at time.Time) {
	if t.early == nil || len(t.early) >= maxEarly {
		t.early = make(map[ID]time.Time)
	}
	if at.After(t.early[p]) {
		t.early[p] = at
	}
}

// mayReport reports whether a region may hold the data of a suspect.
func (t *Table) mayReport(id ID, region string) bool {
	for _, c := range t.crashes {
		if s, ok := c.suspects[id]; ok && s.Homes.Allows(region) {
			return true
		}
	}
	return false
}

// MergeUpdate applies the update of a peer and returns the parts that it bars, and those of which it
// ends the bar.
func (t *Table) MergeUpdate(name string, u Update, now time.Time) (barred, released []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers.Get(name, now)
	p.Merge(u.After, u.To, u.Ack)
	before, changed := t.bars, false
	for _, c := range u.Crashes {
		if c.Age >= 0 && c.Age <= rememberBarred && t.addCrash(now, now.Add(-c.Age), c.Incarnation, c.Suspects) {
			changed = true
		}
	}
	if changed {
		t.judge(now) // so that the clearances find their suspects
	}
	rejudge := false
	for _, c := range u.Cleared {
		if c.Age < 0 {
			continue
		}
		if t.points[c.Part] == 0 {
			t.keepEarly(c.Part, now.Add(-c.Age))
			continue
		}
		_, contested := t.clearAll(now, now.Add(-c.Age), []ID{c.Part})
		rejudge = rejudge || contested
	}
	if rejudge {
		t.judge(now)
	}
	return missing(t.bars, before), missing(before, t.bars)
}
