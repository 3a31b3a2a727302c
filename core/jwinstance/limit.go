package jwinstance

import (
	"time"

	"jujubewheel/core/jwbudget"
	"jujubewheel/core/jwtarget"
)

const (
	// limitEndReportPeriod is how long nodes report that a target no longer announces a limit.
	limitEndReportPeriod = 5 * time.Second
	// limitReportTolerance is how much later than the last known answer the answer in another
	// node's report must be to count. Reported ages do not include the transmission time between
	// the nodes.
	limitReportTolerance = 100 * time.Millisecond
	// shareCacheDuration is how long this node's computed share of a limit is reused. Finding the
	// owner compares all nodes of the region, and each request needs the share for each target.
	shareCacheDuration = 100 * time.Millisecond
)

// Limit is the rate that a target accepts from all nodes together, as announced in its answers.
// The zero value means that the target announces no limit.
type Limit struct {
	Announced bool
	Rate      float64 // requests a second
}

// targetLimit is the known limit of a target and this node's use of it.
type targetLimit struct {
	Limit
	answeredAt time.Time // time of the answer that announced it, zero if none ever announced a limit
	direct     bool      // this node received that answer itself
	bucket     jwbudget.LimitBucket
	share      jwbudget.LimitShare // this node's share of the limit
	shareAt    time.Time           // when share was computed
}

// LimitReport is a node's report of a target's limit.
type LimitReport struct {
	Named bool    `json:"named,omitempty"`
	Rate  float64 `json:"rate,omitempty"` // requests a second
	Age   int64   `json:"age"`            // milliseconds since the answer that announced it
}

// SetLimit records the limit that a target announced in an answer, or that it announced none, and
// reports whether that is a change.
func (t *Table) SetLimit(now time.Time, x *Target, l Limit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !l.Announced && x.limit.answeredAt.IsZero() {
		return false
	}
	t.markSelfReported(x)
	return x.limit.update(now, now, l, true)
}

// update applies the limit that an answer at a given time announced, and reports whether the limit
// changed. The parameter direct says whether this node received that answer itself.
func (lim *targetLimit) update(now, answeredAt time.Time, l Limit, direct bool) bool {
	changed := lim.Limit != l
	if l.Announced && !lim.Announced {
		lim.bucket = jwbudget.LimitBucket{KnownSince: now}
	}
	if changed {
		lim.shareAt = time.Time{}
	}
	lim.Limit, lim.answeredAt, lim.direct = l, answeredAt, direct
	return changed
}

// ReportLimits returns, by target ID, the limits in the region that other nodes should know: those
// from answers to this node and, for a relay, also those reported by others.
func (t *Table) ReportLimits(now time.Time, relay bool) map[string]LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports map[string]LimitReport
	for x := range t.selfReporting() {
		lim := &x.limit
		if lim.Announced {
			t.limitAllows(now, x) // updates the bucket, so that a change of the owner is noticed in time
		}
		age := now.Sub(lim.answeredAt)
		if lim.answeredAt.IsZero() || x.Region != t.Region || !lim.direct && !relay || !lim.Announced && age > limitEndReportPeriod {
			continue
		}
		if reports == nil {
			reports = make(map[string]LimitReport)
		}
		reports[x.ID] = LimitReport{Named: lim.Announced, Rate: lim.Rate, Age: age.Milliseconds()}
	}
	return reports
}

// MergeLimits merges another node's report of limits.
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

// LimitedTargets returns how many registered targets of the region announce a limit.
func (t *Table) LimitedTargets() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for x := range t.selfReporting() {
		if x.limit.Announced && x.goneAt.IsZero() && x.Region == t.Region {
			n++
		}
	}
	return n
}

// LimitWait returns the shortest time until a target of the region, which by its own answers takes
// no request of this node now, takes one again. It returns false if there is no such target.
func (t *Table) LimitWait(now time.Time, service string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := time.Duration(0)
	for _, x := range t.knownTargets(service) {
		if x.Region != t.Region || !x.goneAt.IsZero() || x.Draining || x.Leaving || t.evacuated[x.DataCentre] {
			continue
		}
		wait := max(x.closedUntil.Sub(now), 0)
		if x.limit.Announced && !t.limitAllows(now, x) {
			wait = max(wait, x.limit.bucket.Wait(now, t.limitShare(now, x)))
		}
		if wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest, shortest > 0
}

// limitAllows reports whether this node may send one more request to a target that announces a
// limit.
func (t *Table) limitAllows(now time.Time, x *Target) bool {
	return x.limit.bucket.Allows(now, t.limitShare(now, x))
}

// limitShare returns this node's share of the limit of a target.
func (t *Table) limitShare(now time.Time, x *Target) jwbudget.LimitShare {
	lim := &x.limit
	if t.LimitShare == nil {
		return jwbudget.LimitShareOf(lim.Rate, true, 1)
	}
	if age := now.Sub(lim.shareAt); lim.shareAt.IsZero() || age < 0 || age >= shareCacheDuration {
		lim.share = t.LimitShare(lim.Rate, x.ID, func(node string) bool { return t.knownBy(x, node) })
		lim.shareAt = now
	}
	return lim.share
}

// knownBy reports whether a target is in the subset that a node of the region chooses from.
func (t *Table) knownBy(x *Target, node string) bool {
	k := subsetKey{x.Service, x.Region, node}
	if list := t.subset(k); len(list) == len(t.byRegion[k.service][k.region]) {
		return true
	}
	scores := t.subsets[k].scores
	return jwtarget.Mix(x.nameHash, jwtarget.NameKey(node)) >= scores[len(scores)-1]
}
