package jwinstance

import (
	"maps"
	"slices"
	"time"
)

// versionUse says how long a version of a service has had registered targets.
type versionUse struct {
	targets int       // registered now
	endedAt time.Time // when the last one vanished, if there is none
}

// versionRetention is how long a version without targets is remembered.
const versionRetention = 5 * time.Minute

// Versions returns the versions of all targets of a service that were registered at any time within a
// period before now, at most versionRetention, sorted.
func (t *Table) Versions(now time.Time, service string, within time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for name, u := range t.versions[service] {
		if u.targets > 0 || now.Sub(u.endedAt) <= within {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Registration returns the registration of a target.
func (t *Table) Registration(now time.Time, id string) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.targets[id]
	if x == nil || !x.goneAt.IsZero() {
		return Instance{}, false
	}
	return x.registration(now), true
}

// beginUse counts a target that is registered from now on, unless it is counted.
func (t *Table) beginUse(now time.Time, x *Target) {
	if x.versionCounted {
		return
	}
	x.versionCounted = true
	if t.versions == nil {
		t.versions = make(map[string]map[string]*versionUse)
	}
	uses := t.versions[x.Service]
	if uses == nil {
		uses = make(map[string]*versionUse)
		t.versions[x.Service] = uses
	}
	u := uses[x.Version]
	if u == nil {
		maps.DeleteFunc(uses, func(_ string, u *versionUse) bool { return u.targets == 0 && now.Sub(u.endedAt) > versionRetention })
		u = &versionUse{}
		uses[x.Version] = u
	}
	u.targets++
}

// endUse no longer counts a target, if it is counted.
func (t *Table) endUse(now time.Time, x *Target) {
	if !x.versionCounted {
		return
	}
	x.versionCounted = false
	u := t.versions[x.Service][x.Version]
	u.targets--
	u.endedAt = now
}

// listFor returns the targets among which one is chosen: those that this node knows. Of a request that
// only some versions may run, these are the targets of the region that have one of them; if this node knows
// none of them, all of the region.
func (t *Table) listFor(n Need) []*Target {
	known := t.knownTargets(n.Service)
	if n.anyVersion() {
		return known
	}
	if list := t.fitting(known, n); len(list) > 0 {
		return list
	}
	return t.fitting(t.byRegion[n.Service][t.Region], n)
}

// fitting returns the targets of the region whose version may run the request.
func (t *Table) fitting(targets []*Target, n Need) []*Target {
	var list []*Target
	for _, x := range targets {
		if n.fits(x) && x.Region == t.Region {
			list = append(list, x)
		}
	}
	return list
}

// anyVersion reports whether targets of all versions may run the request.
func (n Need) anyVersion() bool { return !n.Pinned && len(n.Without) == 0 }

// fits reports whether a target has a version that may run the request.
func (n Need) fits(x *Target) bool {
	if n.Pinned {
		return x.Version == n.Version
	}
	return !slices.Contains(n.Without, x.Version)
}

// RegionsFor returns how many usable slots a request has in each region. Callers must not change the
// map.
func (t *Table) RegionsFor(n Need) map[string]int {
	if n.anyVersion() {
		return t.Regions(n.Service)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countSlots(n)
}
