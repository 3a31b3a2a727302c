package jwmember

import (
	"sort"
	"time"
)

// maxViewAge is how long a view of a region serves while nothing changes: many requests ask
// for the same, and with hundreds of nodes to go over they would do little else.
const maxViewAge = 50 * time.Millisecond

// view is what Live and Count said of a region last.
type view struct {
	liveAt, countAt time.Time // zero before they were asked
	live            []Member
	count           int
}

// fresh reports whether a view made at a time still serves.
func fresh(now, at time.Time) bool {
	age := now.Sub(at)
	return !at.IsZero() && age >= 0 && age < maxViewAge
}

// invalidateViews forgets the views: what they rest on has invalidateViews.
func (t *Table) invalidateViews() { clear(t.views) }

func (t *Table) cacheView(region string, v view) {
	if t.views == nil {
		t.views = make(map[string]view)
	}
	t.views[region] = v
}

// Live returns the nodes taken to run and to serve, by name; region "" is
// all regions. It includes the node itself if it serves. Several callers may get the
// same list, which must not be changed.
func (t *Table) Live(now time.Time, region string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.views[region]
	if !fresh(now, v.liveAt) {
		v.live, v.liveAt = t.listLive(now, region), now
		t.cacheView(region, v)
	}
	return v.live
}

func (t *Table) listLive(now time.Time, region string) []Member {
	var list []Member
	if t.Self.Serving && (region == "" || t.Self.Region == region) {
		list = append(list, t.Self)
	}
	for _, r := range t.members {
		if r.Serving && (region == "" || r.Region == region) && t.live(now, r) {
			list = append(list, r.Member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Count returns how many nodes of a region there may be, the node itself
// included: the live, the registered and those seen within the last minute.
// Shares of a sum that must not be exceeded are made from it.
func (t *Table) Count(now time.Time, region string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.views[region]
	if !fresh(now, v.countAt) {
		v.count, v.countAt = t.countAll(now, region), now
		t.cacheView(region, v)
	}
	return v.count
}

func (t *Table) countAll(now time.Time, region string) int {
	n := 0
	if region == "" || t.Self.Region == region {
		n++
	}
	for _, r := range t.members {
		if (region == "" || r.Region == region) && (r.registered || now.Sub(r.lastSeen) < forgetAfter) {
			n++
		}
	}
	return n
}
