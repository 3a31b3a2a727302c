package jwmember

import (
	"sort"
	"time"
)

// maxViewAge is how long a view of a region is reused while nothing changes. Many requests
// ask for the same view, and computing it for each would take most of the processor time
// with hundreds of nodes.
const maxViewAge = 50 * time.Millisecond

// view caches the last results of Live and Count for a region.
type view struct {
	liveAt, countAt time.Time // when the results were computed, zero before the first time
	live            []Member
	count           int
}

// fresh reports whether a result computed at a time may still be used.
func fresh(now, at time.Time) bool {
	age := now.Sub(at)
	return !at.IsZero() && age >= 0 && age < maxViewAge
}

// invalidateViews drops the cached views after a change of what they are computed from.
func (t *Table) invalidateViews() { clear(t.views) }

// cacheView stores the view of a region.
func (t *Table) cacheView(region string, v view) {
	if t.views == nil {
		t.views = make(map[string]view)
	}
	t.views[region] = v
}

// Live returns the nodes considered to be running and serving, sorted by name; region ""
// means all regions. It includes this node if it serves. The result is shared between
// callers and must not be modified.
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

// listLive computes the result of Live.
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

// Count returns the maximum number of nodes that may be running in a region, this
// node included: those that are live, registered or seen within the last minute. Region ""
// means all regions. Shares of a limit that must not be exceeded are computed from it.
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

// countAll computes the result of Count.
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
