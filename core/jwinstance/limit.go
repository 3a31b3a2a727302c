package jwinstance

import (
	"time"

	"jujubewheel/core/jwbudget"
	"jujubewheel/core/jwtarget"
)

const (
	// limitEndAge is how long it is reported that a target names no limit any more.
	limitEndReportPeriod = 5 * time.Second
	// limitDrift is by how much another node's answer must be later than the last known
	// one to count: ages that are reported lack the way between the nodes.
	limitReportTolerance = 100 * time.Millisecond
	// partAge is how long a node's part in a limit serves: to find the owner all nodes of the
	// region are compared, and each request asks of each target.
	partCacheDuration = 100 * time.Millisecond
)

// Limit is what a target says in its answers that it takes of all nodes together; the
// zero value is a target that names no limit.
type Limit struct {
	Named bool
	Rate  float64 // requests a second
}

// targetLimit is what is known of a target's limit.
type targetLimit struct {
	Limit
	answeredAt time.Time // of the answer that said so, zero if none ever named a limit
	direct     bool      // this node had that answer
	bucket     jwbudget.LimitBucket
	part       jwbudget.LimitPart // of this node
	partAt     time.Time          // when it was asked for
}

// LimitReport is what a node reports of a target's limit.
type LimitReport struct {
	Named bool    `json:"named,omitempty"`
	Rate  float64 `json:"rate,omitempty"` // requests a second
	Age   int64   `json:"age"`            // milliseconds since the answer that said so
}

// Limited notes the limit that an answer of a target named, or that it named none, and
// reports whether that is new.
func (t *Table) Limited(now time.Time, x *Target, l Limit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !l.Named && x.limit.answeredAt.IsZero() {
		return false
	}
	t.markSelfReported(x)
	return x.limit.update(now, now, l, true)
}

// take keeps what an answer said at a time.
func (lim *targetLimit) update(now, at time.Time, l Limit, own bool) bool {
	changed := lim.Limit != l
	if l.Named && !lim.Named {
		lim.bucket = jwbudget.LimitBucket{Begun: now}
	}
	if changed {
		lim.partAt = time.Time{}
	}
	lim.Limit, lim.answeredAt, lim.direct = l, at, own
	return changed
}

// ReportLimits returns what the other nodes of the region should know of the limits of its
// targets: what answers to this node said, and for a relay what others reported too.
func (t *Table) ReportLimits(now time.Time, relay bool) map[string]LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports map[string]LimitReport
	for x := range t.selfReporting() {
		lim := &x.limit
		if lim.Named {
			t.limitAllows(now, x) // so that it is noticed in time whether this node owns it
		}
		age := now.Sub(lim.answeredAt)
		if lim.answeredAt.IsZero() || x.Region != t.Region || !lim.direct && !relay || !lim.Named && age > limitEndReportPeriod {
			continue
		}
		if reports == nil {
			reports = make(map[string]LimitReport)
		}
		reports[x.ID] = LimitReport{Named: lim.Named, Rate: lim.Rate, Age: age.Milliseconds()}
	}
	return reports
}

// MergeLimits merges what another node of the region reports of limits.
func (t *Table) MergeLimits(now time.Time, reports map[string]LimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range reports {
		at := now.Add(-time.Duration(r.Age) * time.Millisecond)
		if x := t.targets[id]; x != nil && at.Sub(x.limit.answeredAt) > limitReportTolerance {
			t.markSelfReported(x)
			x.limit.update(now, at, Limit{r.Named, r.Rate}, false)
		}
	}
}

// LimitedTargets returns how many targets of the region name a limit.
func (t *Table) LimitedTargets() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for x := range t.selfReporting() {
		if x.limit.Named && x.goneAt.IsZero() && x.Region == t.Region {
			n++
		}
	}
	return n
}

// RoomWait returns how long it takes until a target of the region takes a request of this
// node that takes none now, as it has said in its answers; false if a request doesn't wait for
// that.
func (t *Table) RoomWait(now time.Time, service string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := time.Duration(0)
	for _, x := range t.knownTargets(service) {
		if x.Region != t.Region || !x.goneAt.IsZero() || x.Draining || x.Leaving || t.evacuated[x.DataCentre] {
			continue
		}
		wait := max(x.closedUntil.Sub(now), 0)
		if x.limit.Named && !t.limitAllows(now, x) {
			wait = max(wait, x.limit.bucket.Wait(now, t.limitPart(now, x)))
		}
		if wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest, shortest > 0
}

// limitRoom reports whether this node may send one more request to a target that names a
// limit.
func (t *Table) limitAllows(now time.Time, x *Target) bool {
	return x.limit.bucket.Room(now, t.limitPart(now, x))
}

// limitPart returns this node's part in the limit of a target.
func (t *Table) limitPart(now time.Time, x *Target) jwbudget.LimitPart {
	lim := &x.limit
	if t.LimitPart == nil {
		return jwbudget.PartOf(lim.Rate, true, 1)
	}
	if age := now.Sub(lim.partAt); lim.partAt.IsZero() || age < 0 || age >= partCacheDuration {
		lim.part = t.LimitPart(lim.Rate, x.ID, func(node string) bool { return t.knownBy(x, node) })
		lim.partAt = now
	}
	return lim.part
}

// knownBy reports whether a node of the region chooses among others and a target.
func (t *Table) knownBy(x *Target, node string) bool {
	k := subsetKey{x.Service, x.Region, node}
	if list := t.subset(k); len(list) == len(t.byRegion[k.service][k.region]) {
		return true
	}
	scores := t.subsets[k].scores
	return jwtarget.Mix(x.nameHash, jwtarget.NameKey(node)) >= scores[len(scores)-1]
}
