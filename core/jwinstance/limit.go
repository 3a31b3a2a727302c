package jwinstance

import (
	"time"

	"jujubewheel/core/jwbudget"
	"jujubewheel/core/jwtarget"
)

const (
	// limitEndAge is how long it is reported that a target names no limit any more.
	limitEndAge = 5 * time.Second
	// limitDrift is by how much another node's answer must be later than the last known
	// one to count: ages that are reported lack the way between the nodes.
	limitDrift = 100 * time.Millisecond
	// partAge is how long a node's part in a limit serves: to find the owner all nodes of the
	// region are compared, and each request asks of each target.
	partAge = 100 * time.Millisecond
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
	at     time.Time // of the answer that said so, zero if none ever named a limit
	own    bool      // this node had that answer
	bucket jwbudget.LimitBucket
	part   jwbudget.LimitPart // of this node
	partAt time.Time          // when it was asked for
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
	if !l.Named && x.limit.at.IsZero() {
		return false
	}
	t.declare(x)
	return x.limit.take(now, now, l, true)
}

// take keeps what an answer said at a time.
func (k *targetLimit) take(now, at time.Time, l Limit, own bool) bool {
	changed := k.Limit != l
	if l.Named && !k.Named {
		k.bucket = jwbudget.LimitBucket{Begun: now}
	}
	if changed {
		k.partAt = time.Time{}
	}
	k.Limit, k.at, k.own = l, at, own
	return changed
}

// ReportLimits returns what the other nodes of the region should know of the limits of its
// targets: what answers to this node said, and for a relay what others reported too.
func (t *Table) ReportLimits(now time.Time, relay bool) map[string]LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports map[string]LimitReport
	for x := range t.declarers() {
		k := &x.limit
		if k.Named {
			t.limitRoom(now, x) // so that it is noticed in time whether this node owns it
		}
		age := now.Sub(k.at)
		if k.at.IsZero() || x.Region != t.Region || !k.own && !relay || !k.Named && age > limitEndAge {
			continue
		}
		if reports == nil {
			reports = make(map[string]LimitReport)
		}
		reports[x.ID] = LimitReport{Named: k.Named, Rate: k.Rate, Age: age.Milliseconds()}
	}
	return reports
}

// MergeLimits merges what another node of the region reports of limits.
func (t *Table) MergeLimits(now time.Time, reports map[string]LimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range reports {
		at := now.Add(-time.Duration(r.Age) * time.Millisecond)
		if x := t.targets[id]; x != nil && at.Sub(x.limit.at) > limitDrift {
			t.declare(x)
			x.limit.take(now, at, Limit{r.Named, r.Rate}, false)
		}
	}
}

// LimitedTargets returns how many targets of the region name a limit.
func (t *Table) LimitedTargets() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for x := range t.declarers() {
		if x.limit.Named && x.gone.IsZero() && x.Region == t.Region {
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
	least := time.Duration(0)
	for _, x := range t.of(service) {
		if x.Region != t.Region || !x.gone.IsZero() || x.Draining || x.Leaving || t.evacuated[x.DataCentre] {
			continue
		}
		wait := max(x.closed.Sub(now), 0)
		if x.limit.Named && !t.limitRoom(now, x) {
			wait = max(wait, x.limit.bucket.Wait(now, t.limitPart(now, x)))
		}
		if wait > 0 && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least, least > 0
}

// limitRoom reports whether this node may send one more request to a target that names a
// limit.
func (t *Table) limitRoom(now time.Time, x *Target) bool {
	return x.limit.bucket.Room(now, t.limitPart(now, x))
}

// limitPart returns this node's part in the limit of a target.
func (t *Table) limitPart(now time.Time, x *Target) jwbudget.LimitPart {
	k := &x.limit
	if t.LimitPart == nil {
		return jwbudget.PartOf(k.Rate, true, 1)
	}
	if age := now.Sub(k.partAt); k.partAt.IsZero() || age < 0 || age >= partAge {
		k.part = t.LimitPart(k.Rate, x.ID, func(node string) bool { return t.knownBy(x, node) })
		k.partAt = now
	}
	return k.part
}

// knownBy reports whether a node of the region chooses among others and a target.
func (t *Table) knownBy(x *Target, node string) bool {
	k := subsetKey{x.Service, x.Region, node}
	if list := t.subset(k); len(list) == len(t.places[k.service][k.region]) {
		return true
	}
	ranks := t.subsets[k].ranks
	return jwtarget.Mix(x.key, jwtarget.NameKey(node)) >= ranks[len(ranks)-1]
}
